package dispatch_test

import (
	"cmp"
	"context"
	"slices"
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

// coldTokens are the tokens of cold replicas, by ID.
type coldTokens struct {
	// cold are the IDs of cold replicas, tokens those for which this host has a token.
	cold, tokens []string
	// wait is how long a token is awaited, 0 if none comes.
	wait     time.Duration
	returned []string
	// reason is why the replicas in cold are limited, Cold if it is empty.
	reason roster.Exclusion
}

func (tokens *coldTokens) limits() *dispatch.ReplicaLimits {
	return &dispatch.ReplicaLimits{
		Limited: func(replica roster.Replica) roster.Exclusion {
			if slices.Contains(tokens.cold, replica.ID) {
				return cmp.Or(tokens.reason, dispatch.Cold)
			}
			return ""
		},
		TakeNow: func(replica roster.Replica) allowance.Ticket {
			if slices.Contains(tokens.tokens, replica.ID) {
				return allowance.Ticket{Decision: allowance.Allowed}
			}
			return allowance.Ticket{}
		},
		Await: func(ctx context.Context, _ roster.Replica) allowance.Ticket {
			if tokens.wait == 0 {
				<-ctx.Done()
				return allowance.Ticket{}
			}
			time.Sleep(tokens.wait)
			return allowance.Ticket{Decision: allowance.Allowed}
		},
		Return: func(replica roster.Replica, _ allowance.Ticket) {
			tokens.returned = append(tokens.returned, replica.ID)
		},
	}
}

// An attempt goes to a cold replica only with a token. It waits for one only if no other
// replica is left.
func TestColdReplicas(t *testing.T) {
	unreachable := func(string, int) (time.Duration, *verdict.Failure) {
		return time.Millisecond, newFailure(verdict.NotRun, verdict.Unreachable)
	}
	slow := func(string, int) (time.Duration, *verdict.Failure) { return 300 * time.Millisecond, nil }
	tests := []struct {
		name    string
		tokens  coldTokens
		respond func(string, int) (time.Duration, *verdict.Failure)
		// sent are the replicas that get attempts, returned those whose tokens are
		// given back. Replica s0a is preferred.
		sent, returned string
		took           time.Duration
		failed         bool
	}{
		{name: "none is cold", sent: "s0a", took: 5 * time.Millisecond},
		{name: "cold with a token", tokens: coldTokens{cold: []string{"s0a"}, tokens: []string{"s0a"}}, sent: "s0a", took: 5 * time.Millisecond},
		{name: "cold without a token", tokens: coldTokens{cold: []string{"s0a"}}, sent: "s0b", took: 5 * time.Millisecond},
		{name: "the other is cold and has a token", tokens: coldTokens{cold: []string{"s0b"}, tokens: []string{"s0b"}}, sent: "s0a", took: 5 * time.Millisecond},
		{name: "all are cold, a token comes", tokens: coldTokens{cold: []string{"s0a", "s0b"}, wait: 20 * time.Millisecond}, sent: "s0a", took: 25 * time.Millisecond},
		{name: "all are cold, none comes", tokens: coldTokens{cold: []string{"s0a", "s0b"}}, took: deadline - 10*time.Millisecond, failed: true},
		{name: "no hedge without a token", tokens: coldTokens{cold: []string{"s0b"}, wait: 20 * time.Millisecond}, respond: slow, sent: "s0a", took: 300 * time.Millisecond},
		{name: "not reached", tokens: coldTokens{cold: []string{"s0a", "s0b"}, tokens: []string{"s0a", "s0b"}}, respond: unreachable, sent: "s0a s0b", returned: "s0a s0b", took: 2 * time.Millisecond, failed: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				replicas := &fakeReplicas{respond: test.respond}
				dispatcher := newDispatcher(replicas)
				dispatcher.Limits = test.tokens.limits()
				started := time.Now()
				answer := dispatcher.Serve(t.Context(), newRequest(singleRoute(true)))
				took := time.Since(started)
				time.Sleep(2 * time.Second)
				qt.Assert(t, strings.Join(replicas.attempts, " "), qt.Equals, test.sent)
				qt.Assert(t, strings.Join(test.tokens.returned, " "), qt.Equals, test.returned)
				qt.Assert(t, took, qt.Equals, test.took)
				qt.Assert(t, answer.Failure != nil, qt.Equals, test.failed)
				if test.failed {
					qt.Assert(t, answer.Failure.Verdict, qt.Equals, verdict.NotRun)
				}
			})
		})
	}
}
