package command

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"fescuehall/story"
)

func init() {
	register("explain", "Tell what became of a request, from collected logs or from an entry host.", &explain{})
}

// standardInput stands for standard input among log files.
const standardInput = "-"

type explain struct {
	Target
	Request string   `arg:"" help:"Identity of the request."`
	Logs    []string `arg:"" optional:"" help:"Log files of hosts, - for standard input. Without any the entry host is asked."`
}

// Run prints the request's decision lines.
func (explain *explain) Run() error {
	if len(explain.Logs) > 0 {
		return explain.fromLogs()
	}
	var lines []string
	if err := explain.get("/v1/explain/"+explain.Request, &lines); err != nil {
		return err
	}
	if len(lines) == 0 {
		return fmt.Errorf("host %s has no line about request %q", explain.Host, explain.Request)
	}
	fmt.Println(strings.Join(lines, "\n"))
	return nil
}

// fromLogs prints the request's story from the logs of all hosts.
func (explain *explain) fromLogs() error {
	var lines []story.Line
	for _, path := range explain.Logs {
		found, err := readLog(path)
		if err != nil {
			return fmt.Errorf("log %s: %w", path, err)
		}
		lines = append(lines, found...)
	}
	story.Sort(lines)
	told := story.Tell(lines, explain.Request)
	if len(told) == 0 {
		return fmt.Errorf("no line names request %q", explain.Request)
	}
	fmt.Println(strings.Join(told, "\n"))
	return nil
}

// readLog reads one log. Lines that name no host get the file's name.
func readLog(path string) ([]story.Line, error) {
	reader := io.Reader(os.Stdin)
	if path != standardInput {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		reader = file
	}
	lines, skipped, err := story.Read(reader, strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)))
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "%s: passed over %d lines without JSON and a time\n", path, skipped)
	}
	return lines, err
}
