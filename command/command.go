// Package command implements the subcommands of the fescuehall program, one in
// each file.
package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"fescuehall/quota"
)

// Exit codes of the program, see docs/fescuehall.1.md.
const (
	ExitOK      = 0
	ExitFailed  = 1
	ExitUsage   = 2
	ExitRefused = 3
	ExitUnknown = 4
)

// ExitError is an error that makes the program exit with the given code.
type ExitError struct {
	Code   int
	Detail string
}

// Error implements error.
func (err *ExitError) Error() string {
	return err.Detail
}

// registration is one registered command.
type registration struct {
	name   string
	help   string
	target any
}

var registry []registration

// register adds a command; each command's file calls it from init.
func register(name, help string, target any) {
	registry = append(registry, registration{name: name, help: help, target: target})
}

// Run parses the arguments, runs the command and returns the exit code.
func Run(args []string) int {
	options := []kong.Option{
		kong.Name("fescuehall"),
		kong.Description("A query tier over many shards. Start hosts with serve, change the configuration with patch, send queries with query."),
		kong.UsageOnError(),
	}
	for _, command := range registry {
		options = append(options, kong.DynamicCommand(command.name, command.help, "", command.target))
	}
	parser, err := kong.New(&struct{}{}, options...)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailed
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "fescuehall: %v\nRun \"fescuehall --help\" for usage.\n", err)
		return ExitUsage
	}
	return exitCode(parsed.Run())
}

func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, "fescuehall:", err)
	var exitError *ExitError
	if errors.As(err, &exitError) {
		return exitError.Code
	}
	return ExitFailed
}

// signalContext returns a context that is cancelled by the first SIGINT or SIGTERM.
// Further ones have no effect until the process has ended, since they would end it
// before its log and its results are written.
func signalContext() context.Context {
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	return ctx
}

const (
	callTimeout = 30 * time.Second
	// maxAnswerBytes limits a host's answer to a command. The whole configuration
	// is the largest one.
	maxAnswerBytes = 64 << 20
)

// Target selects the entry host that a command calls.
type Target struct {
	Host string `default:"127.0.0.1:8080" env:"FESCUEHALL_HOST" help:"Caller address of an entry host."`
}

func (target Target) url(path string) string {
	return "http://" + target.Host + path
}

// get fetches a JSON document from the host.
func (target Target) get(path string, value any) error {
	client := &http.Client{Timeout: callTimeout}
	response, err := client.Get(target.url(path))
	if err != nil {
		return err
	}
	return decode(response, value)
}

// post sends a JSON document and decodes the JSON response.
func (target Target) post(path string, body, value any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPost, target.url(path), bytes.NewReader(content))
	if err != nil {
		return err
	}
	// Without GetBody net/http can't resend the request by itself after a
	// connection error.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: callTimeout}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	return decode(response, value)
}

func decode(response *http.Response, value any) error {
	defer response.Body.Close()
	content, err := quota.ReadAll(response.Body, "answer", maxAnswerBytes, nil)
	if err != nil {
		return fmt.Errorf("answer of the host: %w", err)
	}
	if err := json.Unmarshal(content, value); err != nil {
		return fmt.Errorf("host answered %s: %s", response.Status, bytes.TrimSpace(content))
	}
	return nil
}

func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
