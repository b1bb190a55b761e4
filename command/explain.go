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
	register("explain", "Explain how a request was handled, from collected logs or from an entry host.", &explain{})
}

// standardInput is the argument that names standard input instead of a log
// file.
const standardInput = "-"

type explain struct {
	Target
	Request string   `arg:"" help:"Request ID."`
	Logs    []string `arg:"" optional:"" help:"Log files of hosts, - for standard input. Without log files the entry host is queried."`
}

// Run prints the hosts' logged decisions about the request.
func (explain *explain) Run() error {
	if len(explain.Logs) > 0 {
		return explain.fromLogs()
	}
	var lines []string
	if err := explain.get("/v1/explain/"+explain.Request, &lines); err != nil {
		return err
	}
	if len(lines) == 0 {
		return fmt.Errorf("host %s has no log line about request %q", explain.Host, explain.Request)
	}
	fmt.Println(strings.Join(lines, "\n"))
	return nil
}

// fromLogs explains the request from the logs of all hosts.
func (explain *explain) fromLogs() error {
	var lines []story.Line
	for _, path := range explain.Logs {
		logLines, err := readLog(path)
		if err != nil {
			return fmt.Errorf("log %s: %w", path, err)
		}
		lines = append(lines, logLines...)
	}
	story.Sort(lines)
	explanation := story.Explain(lines, explain.Request)
	if len(explanation) == 0 {
		return fmt.Errorf("no log line names request %q", explain.Request)
	}
	fmt.Println(strings.Join(explanation, "\n"))
	return nil
}

// readLog reads one log. Lines without a host field get the file's base name,
// without its extension, as the host.
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
		fmt.Fprintf(os.Stderr, "%s: skipped %d lines that have no JSON with a time\n", path, skipped)
	}
	return lines, err
}
