package command

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"

	"fescuehall/where"
)

func init() {
	register("where", "Explain where a request would go now, and why, without sending it.", &whereCommand{})
}

type whereCommand struct {
	Metrics   string `default:"127.0.0.1:9464" env:"FESCUEHALL_METRICS" help:"IP:port where an entry host serves metrics."`
	Authority string `arg:"" help:"Host name that the request is sent to."`
	Path      string `arg:"" help:"Path of the request. A query after it is ignored."`
	Workspace string `help:"Name of the workspace that sends the request, not its key."`
	JSON      bool   `help:"Print JSON."`
}

// Run prints where the request would go. A request that would be refused is no failure
// of the command.
func (whereCommand *whereCommand) Run() error {
	// A query is not needed to find the route, and may hold a key.
	path, _, _ := strings.Cut(whereCommand.Path, "?")
	parameters := url.Values{where.Authority: {whereCommand.Authority}, where.Target: {path}, where.Workspace: {whereCommand.Workspace}}
	client := &http.Client{Timeout: callTimeout}
	response, err := client.Get("http://" + whereCommand.Metrics + where.Path + "?" + parameters.Encode())
	var urlError *url.Error
	switch {
	case errors.As(err, &urlError):
		// The text of the error itself names the path.
		return fmt.Errorf("ask the host at %s: %w", whereCommand.Metrics, urlError.Err)
	case err != nil:
		return err
	}
	var explanation where.Explanation
	if err := decode(response, &explanation); err != nil {
		return err
	}
	if explanation.Host == "" {
		return fmt.Errorf("the host at %s is of an earlier release, which explains nothing", whereCommand.Metrics)
	}
	if whereCommand.JSON {
		return printJSON(&explanation)
	}
	return explanation.WriteText(os.Stdout)
}
