package load

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Fault is a document that is posted to a stand-in during a run.
type Fault struct {
	// At is the time from the start of the run.
	At   time.Duration
	URL  string
	Body string
}

// ParseFault reads TIME=URL=JSON, such as
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

// inject posts the fault when its time has come. It returns what went wrong.
func (fault Fault) inject(ctx context.Context, client *http.Client, began time.Time) error {
	if !sleepUntil(ctx, began.Add(fault.At)) {
		return ctx.Err()
	}
	response, err := client.Post(fault.URL, "application/json", strings.NewReader(fault.Body))
	if err != nil {
		return fmt.Errorf("fault at %v: %w", fault.At, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("fault at %v: %s answered %s", fault.At, fault.URL, response.Status)
	}
	return nil
}
