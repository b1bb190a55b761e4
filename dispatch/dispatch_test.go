package dispatch_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/dispatch"
	"fescuehall/exchange"
	"fescuehall/logbook"
	"fescuehall/replica"
	"fescuehall/roster"
	"fescuehall/route"
	"fescuehall/verdict"
)

// fakeReplicas stands for the replicas of all services. Service s3 has the
// replicas s3a and s3b.
type fakeReplicas struct {
	mu sync.Mutex
	// attempts lists the replicas' IDs in the order in which they were sent
	// attempts.
	attempts []string
	// cancelled counts the attempts whose context ended before their reply.
	cancelled int
	// respond returns the duration and the failure of an attempt, nil for a
	// success.
	respond func(id string, attempt int) (time.Duration, *verdict.Failure)
	// emptyService names a service without replicas.
	emptyService string
	// extraReplicas adds replicas c, d and so on to each service.
	extraReplicas int
}

func (fakeReplicas *fakeReplicas) send(ctx context.Context, attempt *dispatch.Attempt) *dispatch.Reply {
	fakeReplicas.mu.Lock()
	fakeReplicas.attempts = append(fakeReplicas.attempts, attempt.Replica.ID)
	number := len(fakeReplicas.attempts)
	fakeReplicas.mu.Unlock()
	latency, failure := 5*time.Millisecond, (*verdict.Failure)(nil)
	if fakeReplicas.respond != nil {
		latency, failure = fakeReplicas.respond(attempt.Replica.ID, number)
	}
	select {
	case <-time.After(latency):
	case <-ctx.Done():
		fakeReplicas.mu.Lock()
		fakeReplicas.cancelled++
		fakeReplicas.mu.Unlock()
		return &dispatch.Reply{Failure: verdict.New(verdict.MayHaveRun, verdict.Cancelled, "test")}
	}
	if failure != nil {
		reply := &dispatch.Reply{Failure: failure}
		if failure.Verdict == verdict.Ran {
			reply.Response = &exchange.Response{Status: 500}
		}
		return reply
	}
	return &dispatch.Reply{Response: &exchange.Response{Status: 200, Body: []byte(strings.Repeat(attempt.Replica.Service[:1], 16))}, Receipt: attempt.Replica.ID}
}

func (fakeReplicas *fakeReplicas) replicas(service string) []roster.Replica {
	if service == fakeReplicas.emptyService {
		return nil
	}
	list := []roster.Replica{{ID: service + "a", Service: service}, {ID: service + "b", Service: service}}
	for number := range fakeReplicas.extraReplicas {
		list = append(list, roster.Replica{ID: service + string(rune('c'+number)), Service: service})
	}
	return list
}

// attemptCount returns the number of attempts sent to replicas whose ID begins
// with prefix.
func (fakeReplicas *fakeReplicas) attemptCount(prefix string) int {
	fakeReplicas.mu.Lock()
	defer fakeReplicas.mu.Unlock()
	count := 0
	for _, id := range fakeReplicas.attempts {
		if strings.HasPrefix(id, prefix) {
			count++
		}
	}
	return count
}

func (fakeReplicas *fakeReplicas) cancelledCount() int {
	fakeReplicas.mu.Lock()
	defer fakeReplicas.mu.Unlock()
	return fakeReplicas.cancelled
}

func newDispatcher(fakeReplicas *fakeReplicas) *dispatch.Dispatcher {
	picker := replica.New()
	// Makes the choice predictable: replica a is preferred to replica b.
	picker.Random = func(int) int { return 0 }
	picker.Distance = func(id string) time.Duration {
		if strings.HasSuffix(id, "b") {
			return time.Second
		}
		return 0
	}
	dispatcher := &dispatch.Dispatcher{
		Send:            fakeReplicas.send,
		Replicas:        fakeReplicas.replicas,
		ReportMisplaced: func(string) {},
		Hosts:           func() int { return 1 },
		Picker:          picker,
		Random:          func() float64 { return 0.5 },
		Event:           func(string, logbook.Fields) {},
	}
	dispatcher.SetRetryBudget(0.2, 100)
	return dispatcher
}

const (
	target   = 100 * time.Millisecond
	deadline = time.Second
)

func gatherRoute(shards int, minShare float64) *route.Route {
	route := &route.Route{Name: "gather", Idempotent: true, LatencyTarget: target, Timeout: deadline, MaxAttempts: 2, TopK: 2, MinShardShare: minShare}
	for shard := range shards {
		route.Shards = append(route.Shards, fmt.Sprint("s", shard))
	}
	return route
}

func singleRoute(idempotent bool) *route.Route {
	return &route.Route{Name: "plain", Idempotent: idempotent, LatencyTarget: target, Timeout: deadline, MaxAttempts: 2, Services: []route.WeightedService{{Service: "s0", Weight: 1}}}
}

func newRequest(route *route.Route) *dispatch.Request {
	now := time.Now()
	return &dispatch.Request{ID: "r", Route: route, Received: now, Deadline: now.Add(deadline), Content: &exchange.Request{}}
}

func newFailure(certainty verdict.Verdict, code verdict.Code) *verdict.Failure {
	return verdict.New(certainty, code, "test")
}

// A gathered request is answered with all shards when their replicas reply in
// time, and with some of them missing if the route allows it.
func TestGather(t *testing.T) {
	slowReplicas := func(prefixes ...string) func(string, int) (time.Duration, *verdict.Failure) {
		return func(id string, _ int) (time.Duration, *verdict.Failure) {
			for _, prefix := range prefixes {
				if strings.HasPrefix(id, prefix) {
					return 400 * time.Millisecond, nil
				}
			}
			return 5 * time.Millisecond, nil
		}
	}
	tests := []struct {
		name         string
		minShare     float64
		respond      func(string, int) (time.Duration, *verdict.Failure)
		emptyService string
		answered     int
		within       time.Duration
		verdict      verdict.Verdict
	}{
		{name: "all shards answer", minShare: 1, answered: 4, within: 10 * time.Millisecond},
		{name: "a late replica is hedged", minShare: 1, respond: slowReplicas("s2a"), answered: 4, within: 50 * time.Millisecond},
		{name: "a late shard is left out at the target", minShare: 0.75, respond: slowReplicas("s2"), answered: 3, within: target},
		{name: "a late shard that is needed delays the answer", minShare: 1, respond: slowReplicas("s2"), answered: 4, within: 410 * time.Millisecond},
		{name: "a shard without replicas is left out at once", minShare: 0.75, emptyService: "s1", answered: 3, within: 10 * time.Millisecond},
		{name: "a shard without replicas that is needed fails the request", minShare: 1, emptyService: "s1", within: 10 * time.Millisecond, verdict: verdict.NotRun},
		{name: "all replicas refuse", minShare: 0.25, respond: func(string, int) (time.Duration, *verdict.Failure) {
			return time.Millisecond, newFailure(verdict.NotRun, verdict.Shed)
		}, within: 10 * time.Millisecond, verdict: verdict.NotRun},
		{name: "a failed attempt is retried", minShare: 1, respond: func(id string, _ int) (time.Duration, *verdict.Failure) {
			if id == "s0a" {
				return time.Millisecond, newFailure(verdict.MayHaveRun, verdict.ConnectionLost)
			}
			return 5 * time.Millisecond, nil
		}, answered: 4, within: 10 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				answer := newDispatcher(&fakeReplicas{respond: test.respond, emptyService: test.emptyService}).Serve(t.Context(), newRequest(gatherRoute(4, test.minShare)))
				defer time.Sleep(2 * time.Second)
				qt.Check(t, time.Since(started) <= test.within, qt.IsTrue, qt.Commentf("took %v", time.Since(started)))
				if test.verdict != 0 {
					qt.Assert(t, answer.Failure != nil, qt.IsTrue)
					qt.Assert(t, answer.Failure.Verdict, qt.Equals, test.verdict)
					qt.Assert(t, answer.RetryAfter > 0, qt.IsTrue)
				} else {
					qt.Assert(t, answer.Failure == nil, qt.IsTrue, qt.Commentf("%v", answer.Failure))
					qt.Assert(t, answer.Receipts, qt.HasLen, test.answered)
					qt.Assert(t, answer.Missing, qt.Equals, 4-test.answered)
					qt.Assert(t, answer.Records, qt.HasLen, 32)
				}
			})
		})
	}
}

// Whether a failed request is retried depends on the route and on the verdict
// of the first attempt.
func TestRetries(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		failure    *verdict.Failure
		attempts   int
		verdict    verdict.Verdict
		// passedOn is set when the replica's own failure is passed on.
		passedOn bool
	}{
		{name: "idempotent, may have run", idempotent: true, failure: newFailure(verdict.MayHaveRun, verdict.ConnectionLost), attempts: 2, verdict: verdict.MayHaveRun},
		{name: "idempotent, ran and failed", idempotent: true, failure: newFailure(verdict.Ran, verdict.BackendError), attempts: 2, passedOn: true},
		{name: "idempotent, not run", idempotent: true, failure: newFailure(verdict.NotRun, verdict.Shed), attempts: 2, verdict: verdict.NotRun},
		{name: "not idempotent, may have run", failure: newFailure(verdict.MayHaveRun, verdict.ConnectionLost), attempts: 1, verdict: verdict.MayHaveRun},
		{name: "not idempotent, ran and failed", failure: newFailure(verdict.Ran, verdict.BackendError), attempts: 1, passedOn: true},
		{name: "not idempotent, not run", failure: newFailure(verdict.NotRun, verdict.Shed), attempts: 2, verdict: verdict.NotRun},
		{name: "not idempotent, not reached", failure: newFailure(verdict.NotRun, verdict.Unreachable), attempts: 2, verdict: verdict.NotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fakeReplicas := &fakeReplicas{respond: func(string, int) (time.Duration, *verdict.Failure) { return time.Millisecond, test.failure }}
				answer := newDispatcher(fakeReplicas).Serve(t.Context(), newRequest(singleRoute(test.idempotent)))
				qt.Assert(t, fakeReplicas.attemptCount("s0"), qt.Equals, test.attempts)
				if test.passedOn {
					qt.Assert(t, answer.ReplicaResponse, qt.IsNotNil)
					qt.Assert(t, answer.ReplicaResponse.Status, qt.Equals, 500)
					return
				}
				qt.Assert(t, answer.Failure.Verdict, qt.Equals, test.verdict)
			})
		})
	}
}

// Retries and hedges together never let more replicas run a request than its
// route allows. Attempts that were refused do not count.
func TestMaxAttempts(t *testing.T) {
	tests := []struct {
		name     string
		respond  func(string, int) (time.Duration, *verdict.Failure)
		attempts int
	}{
		{name: "all fail", respond: func(string, int) (time.Duration, *verdict.Failure) {
			return time.Millisecond, newFailure(verdict.MayHaveRun, verdict.ConnectionLost)
		}, attempts: 2},
		{name: "no replica replies", respond: func(string, int) (time.Duration, *verdict.Failure) { return time.Hour, nil }, attempts: 2},
		{name: "late and failing", respond: func(string, int) (time.Duration, *verdict.Failure) {
			return 60 * time.Millisecond, newFailure(verdict.Ran, verdict.BackendError)
		}, attempts: 2},
		{name: "all refuse", respond: func(string, int) (time.Duration, *verdict.Failure) {
			return time.Millisecond, newFailure(verdict.NotRun, verdict.Shed)
		}, attempts: 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fakeReplicas := &fakeReplicas{respond: test.respond, extraReplicas: 3}
				newDispatcher(fakeReplicas).Serve(t.Context(), newRequest(singleRoute(true)))
				qt.Assert(t, fakeReplicas.attemptCount("s0"), qt.Equals, test.attempts)
				synctest.Wait()
			})
		})
	}
}

// A slow request that is not idempotent is not hedged. When its deadline
// passes, it may still run, so its verdict must not be NotRun.
func TestSlowNonIdempotentRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fakeReplicas := &fakeReplicas{respond: func(string, int) (time.Duration, *verdict.Failure) { return time.Hour, nil }}
		started := time.Now()
		answer := newDispatcher(fakeReplicas).Serve(t.Context(), newRequest(singleRoute(false)))
		qt.Assert(t, fakeReplicas.attemptCount("s0"), qt.Equals, 1)
		qt.Assert(t, answer.Failure.Verdict, qt.Equals, verdict.MayHaveRun)
		qt.Assert(t, answer.Failure.Code, qt.Equals, verdict.DeadlinePassed)
		qt.Assert(t, time.Since(started) <= deadline, qt.IsTrue)
		synctest.Wait()
	})
}

// When a caller leaves, all attempts for its request are cancelled at once.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fakeReplicas := &fakeReplicas{respond: func(string, int) (time.Duration, *verdict.Failure) { return time.Hour, nil }}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		newDispatcher(fakeReplicas).Serve(ctx, newRequest(gatherRoute(4, 1)))
		synctest.Wait()
		qt.Assert(t, fakeReplicas.cancelledCount(), qt.Equals, fakeReplicas.attemptCount("s"))
	})
}

// The slower attempts of a hedged part are cancelled soon after the part is
// answered, not at the end of the request.
func TestLosingAttemptsAreCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fakeReplicas := &fakeReplicas{respond: func(id string, _ int) (time.Duration, *verdict.Failure) {
			switch {
			case id == "s0a":
				return time.Hour, nil
			case strings.HasPrefix(id, "s1"):
				return 300 * time.Millisecond, nil
			}
			return 5 * time.Millisecond, nil
		}}
		done := make(chan *dispatch.Answer)
		go func() { done <- newDispatcher(fakeReplicas).Serve(t.Context(), newRequest(gatherRoute(2, 1))) }()
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		qt.Check(t, fakeReplicas.cancelledCount(), qt.Equals, 1)
		qt.Check(t, (<-done).Receipts, qt.HasLen, 2)
		time.Sleep(time.Second)
	})
}

// A peer's replies answer the shards of its bundle as soon as they arrive.
// Shards that have not run at the peer are requested from their replicas;
// shards that may have run are not, unless the peer is gone and the route allows
// another attempt.
func TestBundles(t *testing.T) {
	tests := []struct {
		name string
		// updates are the peer's replies before its last one. If there are any, the
		// last one is sent when the bundle is cancelled.
		updates []*dispatch.BundleReply
		last    *dispatch.BundleReply
		// direct is the number of attempts sent for the bundle's shards.
		direct   int
		answered int
		verdict  verdict.Verdict
		// early is set when the answer is sent by the target.
		early bool
	}{
		{name: "all answered", last: newBundleReply("x", "y"), answered: 4},
		{name: "one left out", last: newBundleReply("x"), answered: 3},
		{name: "answered one by one", updates: []*dispatch.BundleReply{newBundleReply("x"), newBundleReply("y")}, last: newBundleReply(), answered: 4, early: true},
		{name: "enough before the last", updates: []*dispatch.BundleReply{newBundleReply(), newBundleReply("x")}, last: newBundleReply("y"), answered: 3, early: true},
		{name: "one answered, then connection lost", updates: []*dispatch.BundleReply{newBundleReply("x")}, last: &dispatch.BundleReply{Failure: newFailure(verdict.MayHaveRun, verdict.ConnectionLost)}, answered: 3, early: true},
		{name: "more answers than shards", last: newBundleReply("x", "y", "z"), verdict: verdict.MayHaveRun},
		{name: "more answers than shards after the first", updates: []*dispatch.BundleReply{newBundleReply("x"), newBundleReply("y", "z")}, answered: 3, early: true},
		{name: "the same answer twice", last: newBundleReply("x", "x"), verdict: verdict.MayHaveRun},
		{name: "the same answer again", updates: []*dispatch.BundleReply{newBundleReply("x"), newBundleReply("x")}, answered: 3, early: true},
		{name: "not run", last: &dispatch.BundleReply{Failure: newFailure(verdict.NotRun, verdict.Unreachable)}, direct: 2, answered: 4},
		{name: "may have run", last: &dispatch.BundleReply{Failure: newFailure(verdict.MayHaveRun, verdict.BackendError)}, verdict: verdict.MayHaveRun},
		{name: "may have run before the peer stopped", last: &dispatch.BundleReply{Failure: newFailure(verdict.MayHaveRun, verdict.Stopping)}, direct: 2, answered: 4},
		{name: "may have run before the connection was lost", last: &dispatch.BundleReply{Failure: newFailure(verdict.MayHaveRun, verdict.ConnectionLost)}, direct: 2, answered: 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fakeReplicas := &fakeReplicas{}
				defer time.Sleep(2 * time.Second)
				dispatcher := newDispatcher(fakeReplicas)
				dispatcher.Plan = func(*dispatch.Request) []dispatch.Bundle {
					return []dispatch.Bundle{{Peer: "peer", Shards: []string{"s1", "s3"}}}
				}
				dispatcher.Delegate = func(ctx context.Context, _ *dispatch.Request, _ dispatch.Bundle, report func(*dispatch.BundleReply)) *dispatch.BundleReply {
					for _, bundleReply := range test.updates {
						report(bundleReply)
					}
					if len(test.updates) > 0 {
						<-ctx.Done()
					}
					return test.last
				}
				started := time.Now()
				answer := dispatcher.Serve(t.Context(), newRequest(gatherRoute(4, 0.75)))
				qt.Assert(t, fakeReplicas.attemptCount("s1")+fakeReplicas.attemptCount("s3"), qt.Equals, test.direct)
				if test.early {
					qt.Assert(t, time.Since(started) <= 100*time.Millisecond, qt.IsTrue)
				}
				if test.verdict != 0 {
					qt.Assert(t, answer.Failure.Verdict, qt.Equals, test.verdict)
					return
				}
				qt.Assert(t, answer.Failure == nil, qt.IsTrue, qt.Commentf("%v", answer.Failure))
				qt.Assert(t, answer.Receipts, qt.HasLen, test.answered)
				qt.Assert(t, answer.Missing, qt.Equals, 4-test.answered)
				slices.Sort(answer.Receipts)
				qt.Assert(t, slices.Compact(answer.Receipts), qt.HasLen, test.answered)
			})
		})
	}
}

func newBundleReply(receipts ...string) *dispatch.BundleReply {
	return &dispatch.BundleReply{Receipts: receipts, Records: make([]byte, 16*len(receipts))}
}

// Two peers each leave one shard out of their first reply, while the answer may
// lack only one shard in all. The request must not fail because of that, since
// the peers' last replies bring the other shards.
func TestSlowPartsOfTwoBundles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := newDispatcher(&fakeReplicas{})
		dispatcher.Plan = func(*dispatch.Request) []dispatch.Bundle {
			return []dispatch.Bundle{{Peer: "one", Shards: []string{"s0", "s1"}}, {Peer: "two", Shards: []string{"s2", "s3"}}}
		}
		dispatcher.Delegate = func(_ context.Context, _ *dispatch.Request, bundle dispatch.Bundle, report func(*dispatch.BundleReply)) *dispatch.BundleReply {
			time.Sleep(20 * time.Millisecond)
			report(newBundleReply(bundle.Peer + "a"))
			time.Sleep(300 * time.Millisecond)
			return newBundleReply(bundle.Peer + "b")
		}
		answer := dispatcher.Serve(t.Context(), newRequest(gatherRoute(4, 0.75)))
		qt.Assert(t, answer.Failure == nil, qt.IsTrue, qt.Commentf("%v", answer.Failure))
		qt.Assert(t, answer.Missing <= 1, qt.IsTrue)
		time.Sleep(time.Second)
	})
}

// A host that serves another host's request reports the answered parts shortly
// before the target, and then each further part once, until the request is
// cancelled.
func TestReportsToRequestingPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fakeReplicas := &fakeReplicas{respond: func(id string, _ int) (time.Duration, *verdict.Failure) {
			switch id[:2] {
			case "s0":
				return 200 * time.Millisecond, nil
			case "s1":
				return 300 * time.Millisecond, nil
			case "s2":
				return time.Hour, nil
			}
			return 5 * time.Millisecond, nil
		}}
		request := newRequest(gatherRoute(6, 0))
		var reports []string
		var reportTimes []time.Duration
		started := time.Now()
		request.Report = func(answer *dispatch.Answer) {
			reports = append(reports, strings.Join(answer.Receipts, " "))
			reportTimes = append(reportTimes, time.Since(started))
		}
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		answer := newDispatcher(fakeReplicas).Serve(ctx, request)
		qt.Assert(t, answer.Failure.Code, qt.Equals, verdict.CallerLeft)
		qt.Assert(t, reports, qt.HasLen, 3)
		qt.Assert(t, strings.Count(reports[0], " "), qt.Equals, 2)
		qt.Assert(t, reportTimes[0] < 100*time.Millisecond, qt.IsTrue)
		qt.Assert(t, reportTimes[1:], qt.DeepEquals, []time.Duration{200 * time.Millisecond, 300 * time.Millisecond})
		synctest.Wait()
		time.Sleep(time.Second)
	})
}

// When hardly any request is answered in time, some requests are refused at
// once with NotRun, and no attempts are sent for them.
func TestOverloadRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fakeReplicas := &fakeReplicas{respond: func(string, int) (time.Duration, *verdict.Failure) { return 500 * time.Millisecond, nil }}
		dispatcher := newDispatcher(fakeReplicas)
		const requests = 200
		answers := make(chan *dispatch.Answer, requests)
		for range requests {
			go func() {
				started := time.Now()
				answer := dispatcher.Serve(t.Context(), newRequest(singleRoute(false)))
				if answer.Failure != nil {
					qt.Check(t, time.Since(started), qt.Equals, time.Duration(0))
				}
				answers <- answer
			}()
			time.Sleep(20 * time.Millisecond)
		}
		refused := 0
		for range requests {
			if answer := <-answers; answer.Failure != nil {
				refused++
				qt.Check(t, answer.Failure.Verdict, qt.Equals, verdict.NotRun)
				qt.Check(t, answer.RetryAfter > 0, qt.IsTrue)
			}
		}
		qt.Assert(t, refused > 0, qt.IsTrue)
		qt.Assert(t, fakeReplicas.attemptCount("s0"), qt.Equals, requests-refused)
	})
}

// An answer is due at the target minus the network delay between the caller and
// this host. When another host requested it, it is due earlier than the target
// by the time that host needs to merge it.
func TestAnswerWithin(t *testing.T) {
	const target = 100 * time.Millisecond
	ignoreReport := func(*dispatch.Answer) {}
	tests := []struct {
		name         string
		target       time.Duration
		networkDelay time.Duration
		report       func(*dispatch.Answer)
		want         time.Duration
	}{
		{name: "no target", want: 0},
		{name: "unknown network delay", target: target, want: 86 * time.Millisecond},
		{name: "short network delay", target: target, networkDelay: 2 * time.Millisecond, want: 90 * time.Millisecond},
		{name: "long network delay", target: target, networkDelay: 20 * time.Millisecond, want: 72 * time.Millisecond},
		{name: "network delay longer than the target", target: target, networkDelay: time.Second, want: 50 * time.Millisecond},
		{name: "for another host", target: target, report: ignoreReport, want: 90 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			request := newRequest(gatherRoute(4, 0.5))
			route := *request.Route
			route.LatencyTarget = test.target
			request.Route, request.NetworkDelay, request.Report = &route, test.networkDelay, test.report
			qt.Assert(t, request.AnswerWithin(), qt.Equals, test.want)
		})
	}
}

// The log tells why a failed attempt was not retried.
func TestReasonWithoutRetryIsLogged(t *testing.T) {
	tests := []struct {
		reason     string
		idempotent bool
		failure    *verdict.Failure
		// budget is the number of extra attempts allowed.
		budget float64
	}{
		{reason: "not idempotent", failure: newFailure(verdict.MayHaveRun, verdict.ConnectionLost), budget: 10},
		{reason: "budget spent", idempotent: true, failure: newFailure(verdict.MayHaveRun, verdict.ConnectionLost)},
		{reason: "maximum of attempts", idempotent: true, failure: newFailure(verdict.MayHaveRun, verdict.ConnectionLost), budget: 10},
		{reason: "no other replica", idempotent: true, failure: newFailure(verdict.NotRun, verdict.Shed), budget: 10},
	}
	for _, test := range tests {
		t.Run(test.reason, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var missing string
				dispatcher := newDispatcher(&fakeReplicas{respond: func(string, int) (time.Duration, *verdict.Failure) { return time.Millisecond, test.failure }})
				dispatcher.SetRetryBudget(0, test.budget)
				dispatcher.Event = func(_ string, fields logbook.Fields) { missing = fmt.Sprint(fields["missing"]) }
				dispatcher.Serve(t.Context(), newRequest(singleRoute(test.idempotent)))
				qt.Assert(t, strings.HasSuffix(missing, "not retried: "+test.reason), qt.IsTrue, qt.Commentf("%s", missing))
			})
		})
	}
}
