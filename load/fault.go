package load

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Fault is a JSON document that is posted to a stand-in during a run, to inject
// or clear a fault.
type Fault struct {
	// At is when the fault is posted, counted from the start of the run.
	At   time.Duration
	URL  string
	Body string
}

// ParseFault parses a fault of the form TIME=URL=JSON, such as
// 2s=http://127.0.0.1:20000/fault={"Drain":true}.
func ParseFault(text string) (Fault, error) {
	const fields = 3
	parts := strings.SplitN(text, "=", fields)
	if len(parts) != fields {
		return Fault{}, fmt.Errorf("fault %q is not TIME=URL=JSON", text)
	}
	at, err := time.ParseDuration(parts[0])
	if err != nil {
		return Fault{}, fmt.Errorf("fault %q has time %q, want a duration", text, parts[0])
	}
	return Fault{At: at, URL: parts[1], Body: parts[2]}, nil
}

// inject waits until the fault is due and posts it.
func (fault Fault) inject(ctx context.Context, client *http.Client, start time.Time) error {
	if !sleepUntil(ctx, start.Add(fault.At)) {
		return ctx.Err()
	}
	response, err := client.Post(fault.URL, "application/json", strings.NewReader(fault.Body))
	if err != nil {
		return fmt.Errorf("fault at %v: %w", fault.At, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("fault at %v: %s returned status %s", fault.At, fault.URL, response.Status)
	}
	return nil
}
