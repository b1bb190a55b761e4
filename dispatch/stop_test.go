package dispatch_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/route"
	"fescuehall/shutdown"
	"fescuehall/verdict"
)

// slowRoute is a route whose requests may last longer than a stop.
func slowRoute(base *route.Route) *route.Route {
	base.LatencyTarget, base.Timeout = 0, 15*time.Second
	return base
}

// Guards against a stop that closes the connections of callers whose requests are at
// servers: each gets an answer, which does not promise more than is known.
func TestStopAnswersEveryRequest(t *testing.T) {
	neverReplies := func(string, int) (time.Duration, *verdict.Failure) { return time.Minute, nil }
	refused := func(string, int) (time.Duration, *verdict.Failure) {
		return time.Millisecond, newFailure(verdict.NotRun, verdict.Stopping)
	}
	lastShardSilent := func(id string, _ int) (time.Duration, *verdict.Failure) {
		if id == "s3a" || id == "s3b" {
			return time.Minute, nil
		}
		return time.Millisecond, nil
	}
	schedule := shutdown.NewSchedule(time.Time{}, 6*time.Second)
	lastSend, lastAnswer := schedule.LastSend.Sub(time.Time{}), schedule.LastAnswer.Sub(time.Time{})
	for _, test := range []struct {
		name    string
		route   *route.Route
		respond func(id string, attempt int) (time.Duration, *verdict.Failure)
		// sentAfter is how long after the stop began the request arrives.
		sentAfter time.Duration
		verdict   verdict.Verdict
		missing   int
		within    time.Duration
	}{
		{name: "sent and not idempotent", route: singleRoute(false), respond: neverReplies, verdict: verdict.MayHaveRun, within: lastAnswer},
		{name: "sent and idempotent", route: singleRoute(true), respond: neverReplies, verdict: verdict.MayHaveRun, within: lastAnswer},
		{name: "refused by the pool", route: singleRoute(false), respond: refused, verdict: verdict.NotRun, within: time.Second},
		{name: "some shards answered, enough", route: gatherRoute(4, 0.5), respond: lastShardSilent, missing: 1, within: lastAnswer},
		{name: "some shards answered, too few", route: gatherRoute(4, 1), respond: lastShardSilent, verdict: verdict.Ran, within: lastAnswer},
		{name: "arrived after the last send", route: singleRoute(false), respond: neverReplies, sentAfter: lastSend, verdict: verdict.NotRun, within: lastSend},
		{name: "gathered, arrived after the last send", route: gatherRoute(4, 0.5), respond: neverReplies, sentAfter: lastSend, verdict: verdict.NotRun, within: lastSend},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dispatcher := newDispatcher(&fakeReplicas{respond: test.respond})
				dispatcher.Stop = shutdown.New()
				request := newRequest(slowRoute(test.route))
				request.Deadline = time.Now().Add(15 * time.Second)
				began := time.Now()
				dispatcher.Stop.Begin(shutdown.NewSchedule(began, 6*time.Second))
				time.Sleep(test.sentAfter)
				answer := dispatcher.Serve(context.Background(), request)
				// The attempts that are left are cancelled.
				defer time.Sleep(time.Second)
				qt.Check(t, time.Since(began) <= test.within, qt.IsTrue, qt.Commentf("answered %v after the stop began", time.Since(began)))
				if test.verdict == 0 {
					qt.Assert(t, answer.Failure == nil, qt.IsTrue)
					qt.Assert(t, answer.Missing, qt.Equals, test.missing)
					return
				}
				qt.Assert(t, answer.Failure, qt.Not(qt.IsNil))
				qt.Check(t, answer.Failure.Verdict, qt.Equals, test.verdict)
				qt.Check(t, answer.Failure.Code, qt.Equals, verdict.Stopping)
				qt.Check(t, answer.RetryAfter > 0, qt.IsTrue)
			})
		})
	}
}

// Guards against a stop that begins hundreds of answers when a slow processor no longer
// has time for them.
func TestStopAnswersManyRequestsSooner(t *testing.T) {
	const requests = 400
	neverReplies := func(string, int) (time.Duration, *verdict.Failure) { return time.Minute, nil }
	synctest.Test(t, func(t *testing.T) {
		dispatcher := newDispatcher(&fakeReplicas{respond: neverReplies})
		dispatcher.Stop = shutdown.New()
		schedule := shutdown.NewSchedule(time.Now(), 6*time.Second)
		var group sync.WaitGroup
		for range requests {
			group.Go(func() {
				request := newRequest(slowRoute(singleRoute(false)))
				request.Deadline = time.Now().Add(15 * time.Second)
				answer := dispatcher.Serve(context.Background(), request)
				qt.Check(t, answer.Failure.Code, qt.Equals, verdict.Stopping)
				qt.Check(t, time.Now(), qt.Equals, schedule.FirstAnswer)
			})
		}
		synctest.Wait()
		dispatcher.Stop.Begin(schedule)
		group.Wait()
		// The attempts that are left are cancelled.
		time.Sleep(time.Second)
	})
}

// A stop that refuses many requests at once does not have their callers return at the
// same time, and has the urgent ones return first.
func TestStopSpreadsReturningCallers(t *testing.T) {
	refusedAfter := func(rank int, random float64) time.Duration {
		dispatcher := newDispatcher(&fakeReplicas{})
		dispatcher.Random = func() float64 { return random }
		dispatcher.Stop = shutdown.New()
		dispatcher.Stop.Begin(shutdown.Schedule{})
		slow := singleRoute(true)
		slow.Rank = rank
		return dispatcher.Serve(context.Background(), newRequest(slow)).RetryAfter
	}
	qt.Check(t, refusedAfter(0, 0) < refusedAfter(0, 0.9), qt.IsTrue)
	qt.Check(t, refusedAfter(0, 0.9) < refusedAfter(1, 0.1), qt.IsTrue)
	qt.Check(t, refusedAfter(3, 0), qt.Equals, refusedAfter(9, 0))
}
