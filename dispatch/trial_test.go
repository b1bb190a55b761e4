package dispatch_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/dispatch"
	"fescuehall/quarantine"
	"fescuehall/verdict"
)

// suspectContents returns contents of which that of newRequest is suspect, and the
// states that other hosts are told.
func suspectContents(dispatcher *dispatch.Dispatcher) (contents *quarantine.Contents, told *[]quarantine.State) {
	var mu sync.Mutex
	told = new([]quarantine.State)
	contents = &quarantine.Contents{Now: time.Now, Share: func(_ quarantine.ID, state quarantine.State) {
		mu.Lock()
		defer mu.Unlock()
		*told = append(*told, state)
	}}
	dispatcher.Contents = contents
	content := newRequest(gatherRoute(1, 1)).Content
	contents.Learn(quarantine.Identify("", content.Host, content.Method, content.Target, string(content.Body)), quarantine.Suspect)
	return contents, told
}

// A gathered request of a suspect content goes to one replica, and to the others only
// once that has answered.
func TestTrial(t *testing.T) {
	lost := newFailure(verdict.MayHaveRun, verdict.ConnectionLost)
	for _, test := range []struct {
		name string
		// respond returns the failure of an attempt, by its number.
		respond func(attempt int) *verdict.Failure
		// before is the number of attempts 2 ms after the request, after that in all.
		before, after int
		answered      bool
		told          []quarantine.State
		// next is the number of attempts for a second request of the content.
		next int
	}{
		{name: "answered", respond: func(int) *verdict.Failure { return nil }, before: 1, after: 6, answered: true, told: []quarantine.State{quarantine.Clear}, next: 6},
		{name: "lost", respond: func(int) *verdict.Failure { return lost }, before: 1, after: 1, told: []quarantine.State{quarantine.Held}, next: 0},
		{name: "failed by the replica", respond: func(attempt int) *verdict.Failure {
			if attempt == 1 {
				return newFailure(verdict.Ran, verdict.BackendError)
			}
			return nil
		}, before: 1, after: 7, answered: true, told: []quarantine.State{quarantine.Clear}, next: 6},
		{name: "first replica not reached", respond: func(attempt int) *verdict.Failure {
			if attempt == 1 {
				return newFailure(verdict.NotRun, verdict.Unreachable)
			}
			return nil
		}, before: 1, after: 7, answered: true, told: []quarantine.State{quarantine.Clear}, next: 6},
		{name: "first replica not reached, second lost", respond: func(attempt int) *verdict.Failure {
			if attempt == 1 {
				return newFailure(verdict.NotRun, verdict.Unreachable)
			}
			return lost
		}, before: 1, after: 2, told: []quarantine.State{quarantine.Held}, next: 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fakeReplicas := &fakeReplicas{}
				fakeReplicas.respond = func(_ string, attempt int) (time.Duration, *verdict.Failure) {
					return 5 * time.Millisecond, test.respond(attempt)
				}
				dispatcher := newDispatcher(fakeReplicas)
				_, told := suspectContents(dispatcher)
				go func() {
					time.Sleep(2 * time.Millisecond)
					qt.Check(t, fakeReplicas.attemptCount("s"), qt.Equals, test.before)
				}()
				answer := dispatcher.Serve(t.Context(), newRequest(gatherRoute(6, 1)))
				qt.Assert(t, answer.Failure == nil, qt.Equals, test.answered)
				if !test.answered {
					qt.Assert(t, answer.Failure.Verdict, qt.Equals, verdict.MayHaveRun)
				}
				qt.Assert(t, fakeReplicas.attemptCount("s"), qt.Equals, test.after)
				qt.Assert(t, *told, qt.DeepEquals, test.told)
				answer = dispatcher.Serve(t.Context(), newRequest(gatherRoute(6, 1)))
				qt.Assert(t, fakeReplicas.attemptCount("s"), qt.Equals, test.after+test.next)
				if test.next == 0 {
					qt.Assert(t, answer.Failure.Code, qt.Equals, verdict.ContentHeld)
					qt.Assert(t, answer.Failure.Verdict, qt.Equals, verdict.NotRun)
					qt.Assert(t, answer.RetryAfter > time.Second, qt.IsTrue)
				}
			})
		})
	}
}

// While a trial runs, other requests of its content are refused as not run, and may come
// back soon. Requests from peers were admitted there.
func TestOneTrialAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fakeReplicas := &fakeReplicas{}
		dispatcher := newDispatcher(fakeReplicas)
		suspectContents(dispatcher)
		done := make(chan struct{})
		go func() {
			defer close(done)
			dispatcher.Serve(t.Context(), newRequest(gatherRoute(6, 1)))
		}()
		time.Sleep(time.Millisecond)
		answer := dispatcher.Serve(t.Context(), newRequest(gatherRoute(6, 1)))
		qt.Assert(t, answer.Failure.Code, qt.Equals, verdict.ContentHeld)
		qt.Assert(t, answer.RetryAfter <= 100*time.Millisecond, qt.IsTrue)
		request := newRequest(gatherRoute(2, 1))
		request.Report = func(*dispatch.Answer) {}
		qt.Assert(t, dispatcher.Serve(t.Context(), request).Failure == nil, qt.IsTrue)
		<-done
		qt.Assert(t, fakeReplicas.attemptCount("s"), qt.Equals, 8)
	})
}

// The shard of the trial is left out of bundles, which are sent after it.
func TestTrialAndBundles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fakeReplicas := &fakeReplicas{}
		dispatcher := newDispatcher(fakeReplicas)
		suspectContents(dispatcher)
		var shards []string
		dispatcher.Plan = func(request *dispatch.Request, _ func(string) bool) []dispatch.Bundle {
			return []dispatch.Bundle{{Peer: "p", Shards: request.Route.Shards}}
		}
		dispatcher.Delegate = func(_ context.Context, _ *dispatch.Request, bundle dispatch.Bundle, _ func(*dispatch.BundleReply)) *dispatch.BundleReply {
			qt.Check(t, fakeReplicas.attemptCount("s"), qt.Equals, 1)
			shards = bundle.Shards
			return &dispatch.BundleReply{Receipts: bundle.Shards}
		}
		answer := dispatcher.Serve(t.Context(), newRequest(gatherRoute(6, 1)))
		qt.Assert(t, answer.Failure == nil, qt.IsTrue)
		qt.Assert(t, shards, qt.HasLen, 5)
		qt.Assert(t, answer.Missing, qt.Equals, 0)
		qt.Assert(t, answer.Receipts, qt.HasLen, 6)
	})
}

// Once three replicas were lost under a request, it is neither retried nor hedged, and
// the other hosts know its content before its caller can send it to one of them.
func TestNoRetryAfterLostReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fakeReplicas := &fakeReplicas{extraReplicas: 2}
		fakeReplicas.respond = func(id string, _ int) (time.Duration, *verdict.Failure) {
			// One after the other, so that each is known before the next.
			return time.Duration(id[1]-'0'+1) * 5 * time.Millisecond, newFailure(verdict.MayHaveRun, verdict.ConnectionLost)
		}
		dispatcher := newDispatcher(fakeReplicas)
		told := false
		dispatcher.Contents = &quarantine.Contents{Now: time.Now, Share: func(quarantine.ID, quarantine.State) {
			time.Sleep(10 * time.Millisecond)
			told = true
		}}
		route := gatherRoute(6, 1)
		route.MaxAttempts = 3
		answer := dispatcher.Serve(t.Context(), newRequest(route))
		qt.Assert(t, answer.Failure, qt.IsNotNil)
		qt.Assert(t, told, qt.IsTrue)
		time.Sleep(100 * time.Millisecond)
		// Six first attempts, and a retry of each of the first two that were lost.
		qt.Assert(t, fakeReplicas.attemptCount("s") <= 8, qt.IsTrue, qt.Commentf("%d", fakeReplicas.attemptCount("s")))
	})
}
