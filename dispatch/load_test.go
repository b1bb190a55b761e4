package dispatch_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/dispatch"
	"fescuehall/verdict"
)

// Load pattern: all replicas of more shards than an answer may lack are gone. The
// request is refused at once as not run, and loads no replica of the others.
func TestUnservableRequestIsRefusedAtOnce(t *testing.T) {
	tests := []struct {
		name     string
		minShare float64
		refused  bool
	}{
		{name: "the answer may lack the shard", minShare: 0.75},
		{name: "the answer may not lack the shard", minShare: 0.8, refused: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fakeReplicas := &fakeReplicas{emptyService: "s2"}
				answer := newDispatcher(fakeReplicas).Serve(t.Context(), newRequest(gatherRoute(4, test.minShare)))
				if !test.refused {
					qt.Assert(t, answer.Failure == nil, qt.IsTrue)
					return
				}
				qt.Assert(t, answer.Failure.Verdict, qt.Equals, verdict.NotRun)
				qt.Assert(t, answer.RetryAfter > 0, qt.IsTrue)
				qt.Assert(t, fakeReplicas.attemptCount("s"), qt.Equals, 0)
				time.Sleep(time.Second)
			})
		})
	}
}

// Load pattern: a failure domain is cut off without a reset, or a host loses
// power. The bundles at its hosts are never answered. Their shards are requested
// from the other replicas, within the route's attempts and the budget.
func TestSilentPeer(t *testing.T) {
	tests := []struct {
		name string
		// replicas is the number of replicas of each shard.
		replicas int
		// heard is set when the peer replies to other requests, seldom when it had
		// not replied to any for long.
		heard, seldom bool
		// failure is how the bundle ends; nil if it does not end.
		failure *verdict.Failure
		// reply is after which time the peer replies all the same; 0 for never.
		reply  time.Duration
		budget float64
		// answered is set when the request succeeds, within the time.
		answered bool
		within   time.Duration
		direct   int
	}{
		{name: "silent", replicas: 2, budget: 100, answered: true, within: target + 200*time.Millisecond, direct: 2},
		{name: "peer was killed", replicas: 2, budget: 100, failure: newFailure(verdict.MayHaveRun, verdict.ConnectionLost), answered: true, within: target, direct: 2},
		{name: "peer replies to other requests", replicas: 2, heard: true, budget: 100},
		{name: "peer is seldom asked", replicas: 2, seldom: true, budget: 100},
		{name: "more replicas than attempts", replicas: 3, budget: 100},
		{name: "no budget", replicas: 2, budget: 0},
		{name: "no budget, and the peer replies in the end", replicas: 2, budget: 0, reply: 400 * time.Millisecond, answered: true, within: 500 * time.Millisecond},
		{name: "reply of another request", replicas: 2, budget: 100, failure: newFailure(verdict.MayHaveRun, verdict.ReplyMismatch)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(2 * time.Second)
				fakeReplicas := &fakeReplicas{extraReplicas: test.replicas - 2}
				dispatcher := newDispatcher(fakeReplicas)
				dispatcher.SetRetryBudget(0, test.budget)
				dispatcher.Plan = func(*dispatch.Request) []dispatch.Bundle {
					return []dispatch.Bundle{{Peer: "peer", Shards: []string{"s1", "s3"}, Remote: true, Domain: "cut"}}
				}
				sentAt := time.Now()
				dispatcher.HeardFrom = func(_ string, since time.Time) bool {
					return test.heard || !test.seldom && since.Before(sentAt)
				}
				var cause error
				dispatcher.Delegate = func(ctx context.Context, _ *dispatch.Request, _ dispatch.Bundle, _ func(*dispatch.BundleReply)) *dispatch.BundleReply {
					if test.failure != nil {
						return &dispatch.BundleReply{Failure: test.failure}
					}
					if test.reply > 0 {
						time.Sleep(test.reply)
						return newBundleReply("x", "y")
					}
					<-ctx.Done()
					cause = context.Cause(ctx)
					return &dispatch.BundleReply{Failure: newFailure(verdict.MayHaveRun, verdict.Cancelled)}
				}
				started := time.Now()
				answer := dispatcher.Serve(t.Context(), newRequest(gatherRoute(4, 0.75)))
				qt.Assert(t, answer.Failure == nil, qt.Equals, test.answered)
				qt.Assert(t, fakeReplicas.attemptCount("s1")+fakeReplicas.attemptCount("s3"), qt.Equals, test.direct)
				if !test.answered {
					return
				}
				qt.Assert(t, answer.Missing <= 1, qt.IsTrue)
				qt.Assert(t, time.Since(started) < test.within, qt.IsTrue)
				if test.failure == nil && test.reply == 0 {
					synctest.Wait()
					qt.Assert(t, errors.Is(cause, dispatch.ErrSilent), qt.IsTrue)
				}
			})
		})
	}
}
