package dispatch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/dispatch"
	"fescuehall/exchange"
	"fescuehall/route"
	"fescuehall/verdict"
)

// failingFirst refuses the first attempt of each request, or answers it late, and counts
// the further ones by the first letter of the request's ID.
type failingFirst struct {
	late     bool
	mu       sync.Mutex
	attempts map[string]int
	extra    map[string]int
}

// count returns the number of an attempt of a request.
func (replicas *failingFirst) count(id string) int {
	replicas.mu.Lock()
	defer replicas.mu.Unlock()
	replicas.attempts[id]++
	if replicas.attempts[id] > 1 {
		replicas.extra[id[:1]]++
	}
	return replicas.attempts[id]
}

func (replicas *failingFirst) send(ctx context.Context, attempt *dispatch.Attempt) *dispatch.Reply {
	success := &dispatch.Reply{Response: &exchange.Response{Status: 200, Body: make([]byte, 16)}, Receipt: attempt.Request.ID}
	if replicas.count(attempt.Request.ID) > 1 {
		return success
	}
	if !replicas.late {
		return &dispatch.Reply{Failure: newFailure(verdict.NotRun, verdict.Shed)}
	}
	select {
	case <-time.After(300 * time.Millisecond):
		return success
	case <-ctx.Done():
		return &dispatch.Reply{Failure: newFailure(verdict.MayHaveRun, verdict.Cancelled)}
	}
}

// Load: one workspace sends five times as much as another, and the first attempt of each
// request is refused, or late. The budget has tokens for a quarter of the extra attempts
// that are wanted. The workspace that sends less gets all of its own, the other one what
// is left above half of the budget, also for bundles of peers. Without workspaces both
// share it as before.
func TestExtraAttemptsOfWorkspaceAboveItsShare(t *testing.T) {
	tests := []struct {
		name     string
		late     bool
		fromPeer bool
		unnamed  bool
	}{{name: "retries"}, {name: "hedges", late: true}, {name: "retries for peers", fromPeer: true}, {name: "without workspaces", unnamed: true}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				replicas := &failingFirst{late: test.late, attempts: make(map[string]int), extra: make(map[string]int)}
				dispatcher := newDispatcher(&fakeReplicas{})
				dispatcher.Send = replicas.send
				dispatcher.Random = func() float64 { return 1 }
				dispatcher.SetRetryBudget(0.25, 10)
				const steps, times = 40, 5
				for step := range steps {
					for number := range times + 1 {
						request := newRequest(singleRoute(true))
						workspace := "hot"
						if number == 0 {
							workspace = "small"
						}
						request.ID = fmt.Sprint(workspace, step, number)
						// A route of its own, whose hedge delay is not learned from the others.
						request.Route.Name = request.ID
						if !test.unnamed {
							request.Workspace = &route.Workspace{Name: workspace}
						}
						if test.fromPeer {
							request.Report = func(*dispatch.Answer) {}
						}
						go dispatcher.Serve(t.Context(), request)
						time.Sleep(10 * time.Millisecond)
					}
				}
				time.Sleep(time.Second)
				replicas.mu.Lock()
				defer replicas.mu.Unlock()
				small, hot := replicas.extra["s"], replicas.extra["h"]
				t.Logf("small %d, hot %d", small, hot)
				if test.unnamed {
					qt.Assert(t, small < steps/2, qt.IsTrue)
					return
				}
				qt.Assert(t, small >= steps*9/10, qt.IsTrue)
				qt.Assert(t, hot > 0 && hot < steps, qt.IsTrue)
			})
		})
	}
}
