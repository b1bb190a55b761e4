package dispatch_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/allowance"
	"fescuehall/dispatch"
	"fescuehall/roster"
	"fescuehall/verdict"
)

// namedLimits are the limits of replicas that name one, by ID.
type namedLimits struct {
	// tickets are what this host has for the limited replicas.
	tickets map[string]allowance.Ticket
	// wait is how long the keepers' reply is awaited, until ctx ends if it is negative.
	// awaited is that reply.
	wait    time.Duration
	awaited allowance.Ticket
	// full are the replicas whose limit no longer admits an attempt when it is sent.
	full string
}

var (
	hasToken = allowance.Ticket{Decision: allowance.Allowed}
	asking   = allowance.Ticket{Asking: true}
	usedUp   = allowance.Ticket{Decision: allowance.UsedUp, RetryAfter: 700 * time.Millisecond}
)

func (limits *namedLimits) replicaLimits() *dispatch.ReplicaLimits {
	return &dispatch.ReplicaLimits{
		Limited: func(replica roster.Replica) roster.Exclusion {
			if _, ok := limits.tickets[replica.ID]; ok {
				return dispatch.Limited
			}
			return ""
		},
		TakeNow: func(replica roster.Replica) allowance.Ticket { return limits.tickets[replica.ID] },
		Await: func(ctx context.Context, _ roster.Replica) allowance.Ticket {
			if limits.wait < 0 {
				<-ctx.Done()
				return limits.awaited
			}
			time.Sleep(limits.wait)
			return limits.awaited
		},
		Return: func(roster.Replica, allowance.Ticket) {},
		Admits: func(replica roster.Replica, _ allowance.Ticket) bool {
			return !strings.Contains(limits.full, replica.ID)
		},
	}
}

// Guards against requests beyond the limit that a replica names, against requests that
// wait for such a replica while another is free, and against those that wait although
// none may be sent in time. Replica s0a is preferred.
func TestReplicasThatNameLimits(t *testing.T) {
	const answerIn, due = 5 * time.Millisecond, target - 14*time.Millisecond
	slow := func(string, int) (time.Duration, *verdict.Failure) { return 300 * time.Millisecond, nil }
	unreachable := func(id string, _ int) (time.Duration, *verdict.Failure) {
		if id == "s0g" {
			return time.Millisecond, newFailure(verdict.NotRun, verdict.Unreachable)
		}
		return answerIn, nil
	}
	tests := []struct {
		name    string
		limits  namedLimits
		respond func(string, int) (time.Duration, *verdict.Failure)
		// extra is the number of replicas besides s0a and s0b, all of which are preferred
		// to s0b.
		extra  int
		sent   string
		took   time.Duration
		failed bool
	}{
		{name: "a token", limits: namedLimits{tickets: map[string]allowance.Ticket{"s0a": hasToken}}, sent: "s0a", took: answerIn},
		{name: "no token, another is free", limits: namedLimits{tickets: map[string]allowance.Ticket{"s0a": usedUp}}, sent: "s0b", took: answerIn},
		{name: "a token comes", limits: namedLimits{tickets: map[string]allowance.Ticket{"s0a": asking}, wait: 3 * time.Millisecond, awaited: hasToken}, sent: "s0a", took: 3*time.Millisecond + answerIn},
		{name: "the keepers have none", limits: namedLimits{tickets: map[string]allowance.Ticket{"s0a": asking}, wait: 3 * time.Millisecond, awaited: usedUp}, sent: "s0b", took: 3*time.Millisecond + answerIn},
		{name: "several have none", limits: namedLimits{tickets: map[string]allowance.Ticket{"s0a": asking, "s0c": asking, "s0d": asking, "s0e": asking, "s0f": asking, "s0g": asking}, wait: 3 * time.Millisecond, awaited: usedUp}, extra: 5, sent: "s0b", took: 18*time.Millisecond + answerIn},
		{name: "several have none, the next is unreachable", limits: namedLimits{tickets: map[string]allowance.Ticket{"s0a": asking, "s0c": asking, "s0d": asking, "s0e": asking, "s0f": asking}, wait: 3 * time.Millisecond, awaited: usedUp}, respond: unreachable, extra: 5, sent: "s0g s0b", took: 16*time.Millisecond + answerIn},
		{name: "the keepers are silent", limits: namedLimits{tickets: map[string]allowance.Ticket{"s0a": asking}, wait: -1}, sent: "s0b", took: 40*time.Millisecond + answerIn},
		{name: "no longer admitted when sent", limits: namedLimits{tickets: map[string]allowance.Ticket{"s0a": hasToken}, full: "s0a"}, sent: "s0b", took: answerIn},
		{name: "the limit is named while the attempt waits", limits: namedLimits{full: "s0a"}, sent: "s0b", took: answerIn},
		{name: "all are limited, a token is expected", limits: namedLimits{tickets: map[string]allowance.Ticket{"s0a": usedUp, "s0b": usedUp}, wait: 30 * time.Millisecond, awaited: hasToken}, sent: "s0a", took: 30*time.Millisecond + answerIn},
		{name: "all are limited, none is expected", limits: namedLimits{tickets: map[string]allowance.Ticket{"s0a": usedUp, "s0b": usedUp}, awaited: usedUp}, failed: true},
		{name: "all are limited, none comes", limits: namedLimits{tickets: map[string]allowance.Ticket{"s0a": usedUp, "s0b": usedUp}, wait: -1, awaited: usedUp}, took: due, failed: true},
		{name: "hedges don't wait", limits: namedLimits{tickets: map[string]allowance.Ticket{"s0b": asking}, awaited: hasToken}, respond: slow, sent: "s0a", took: 300 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				replicas := &fakeReplicas{respond: test.respond, extraReplicas: test.extra}
				dispatcher := newDispatcher(replicas)
				dispatcher.Limits = test.limits.replicaLimits()
				dispatcher.Send = func(ctx context.Context, attempt *dispatch.Attempt) *dispatch.Reply {
					if !attempt.Admits() {
						return &dispatch.Reply{Failure: newFailure(verdict.NotRun, verdict.LimitReached)}
					}
					return replicas.send(ctx, attempt)
				}
				// Only hedges and retries need the budget.
				dispatcher.SetRetryBudget(0, 0)
				if test.respond != nil {
					dispatcher.SetRetryBudget(0.2, 100)
				}
				started := time.Now()
				answer := dispatcher.Serve(t.Context(), newRequest(singleRoute(true)))
				took := time.Since(started)
				time.Sleep(2 * time.Second)
				qt.Assert(t, strings.Join(replicas.attempts, " "), qt.Equals, test.sent)
				qt.Assert(t, took, qt.Equals, test.took)
				qt.Assert(t, answer.Failure != nil, qt.Equals, test.failed)
				if test.failed {
					qt.Assert(t, answer.Failure.Verdict, qt.Equals, verdict.NotRun)
					qt.Assert(t, answer.Failure.Code, qt.Equals, verdict.LimitReached)
					qt.Assert(t, answer.RetryAfter, qt.Equals, usedUp.RetryAfter)
				}
			})
		})
	}
}

// The rate that a reply names is reported, and that a reply names none, but not that a
// refusal names none.
func TestNamedRatesAreReported(t *testing.T) {
	for _, test := range []struct {
		reply dispatch.Reply
		want  []float64
	}{
		{dispatch.Reply{Receipt: "r", NamedRate: 30}, []float64{30}},
		{dispatch.Reply{Receipt: "r"}, []float64{0}},
		{dispatch.Reply{Failure: newFailure(verdict.NotRun, verdict.Shed), NamedRate: 30}, []float64{30}},
		{dispatch.Reply{Failure: newFailure(verdict.NotRun, verdict.Shed)}, nil},
		{dispatch.Reply{Receipt: "r", Failure: newFailure(verdict.Ran, verdict.BackendError)}, []float64{0}},
	} {
		synctest.Test(t, func(t *testing.T) {
			dispatcher := newDispatcher(&fakeReplicas{})
			dispatcher.Replicas = func(service string) []roster.Replica { return []roster.Replica{{ID: "a", Service: service}} }
			dispatcher.Send = func(context.Context, *dispatch.Attempt) *dispatch.Reply { return &test.reply }
			var rates []float64
			started := time.Now()
			dispatcher.ReportNamedRate = func(replica roster.Replica, rate float64, at time.Time) {
				qt.Check(t, replica.ID, qt.Equals, "a")
				qt.Check(t, at, qt.Equals, started)
				rates = append(rates, rate)
			}
			dispatcher.Serve(t.Context(), newRequest(singleRoute(true)))
			time.Sleep(2 * time.Second)
			qt.Check(t, rates, qt.DeepEquals, test.want)
		})
	}
}

// The time in which an attempt waits for a token is not counted as the replica's.
func TestWaitForTokenIsNotTheReplicasTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := newDispatcher(&fakeReplicas{})
		limits := namedLimits{tickets: map[string]allowance.Ticket{"s0a": asking}, wait: 30 * time.Millisecond, awaited: hasToken}
		dispatcher.Limits = limits.replicaLimits()
		dispatcher.Serve(t.Context(), newRequest(singleRoute(true)))
		time.Sleep(2 * time.Second)
		qt.Assert(t, dispatcher.Picker.Status("s0a").Parts.Own, qt.Equals, 5*time.Millisecond)
	})
}
