package dispatch_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/dispatch"
	"fescuehall/roster"
	"fescuehall/route"
	"fescuehall/verdict"
)

// sent returns the IDs of the replicas in the order in which they were sent attempts.
func (fakeReplicas *fakeReplicas) sent() []string {
	fakeReplicas.mu.Lock()
	defer fakeReplicas.mu.Unlock()
	return slices.Clone(fakeReplicas.attempts)
}

// An attempt that was not sent, since its replica's failure domain was evacuated while
// it waited for a connection, goes elsewhere even when the budget is spent, and does
// not count as a failure of the replica.
func TestUnsentAttemptGoesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fakeReplicas := &fakeReplicas{respond: func(id string, _ int) (time.Duration, *verdict.Failure) {
			if id == "s0a" {
				return time.Millisecond, newFailure(verdict.NotRun, verdict.Draining)
			}
			return time.Millisecond, nil
		}}
		dispatcher := newDispatcher(fakeReplicas)
		dispatcher.SetRetryBudget(0, 0)
		for range 4 {
			answer := dispatcher.Serve(t.Context(), newRequest(singleRoute(false)))
			qt.Check(t, answer.Failure == nil, qt.IsTrue, qt.Commentf("%v", answer.Failure))
		}
		qt.Check(t, fakeReplicas.sent(), qt.DeepEquals, []string{"s0a", "s0b", "s0a", "s0b", "s0a", "s0b", "s0a", "s0b"})
	})
}

// A request whose only service has no replica is refused at once.
func TestServiceWithoutReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		answer := newDispatcher(&fakeReplicas{emptyService: "s0"}).Serve(t.Context(), newRequest(singleRoute(true)))
		qt.Assert(t, answer.Failure.Verdict, qt.Equals, verdict.NotRun)
		qt.Assert(t, answer.Failure.Code, qt.Equals, verdict.NoReplica)
		qt.Assert(t, answer.RetryAfter, qt.Equals, 800*time.Millisecond)
		qt.Assert(t, time.Since(began), qt.Equals, time.Duration(0))
		time.Sleep(time.Second)
	})
}

// A replica that said that it leaves is reported, whether it answered or failed.
func TestLeavingIsReported(t *testing.T) {
	for _, failure := range []*verdict.Failure{nil, newFailure(verdict.Ran, verdict.BackendError)} {
		synctest.Test(t, func(t *testing.T) {
			fakeReplicas, reported := &fakeReplicas{}, []string{}
			dispatcher := newDispatcher(fakeReplicas)
			dispatcher.Send = func(ctx context.Context, attempt *dispatch.Attempt) *dispatch.Reply {
				reply := fakeReplicas.send(ctx, attempt)
				reply.Leaving, reply.Failure = attempt.Replica.ID == "s0a", failure
				return reply
			}
			dispatcher.ReportLeaving = func(replica roster.Replica) { reported = append(reported, replica.ID) }
			dispatcher.Serve(t.Context(), newRequest(singleRoute(false)))
			qt.Check(t, reported, qt.DeepEquals, []string{"s0a"})
		})
	}
}

// A replica that asked for a pause gets no first attempt, retry or hedge before the
// pause ends. When all replicas are paused, a request waits for the first one if its
// deadline allows it.
func TestPausedReplicasGetNothing(t *testing.T) {
	for _, test := range []struct {
		name string
		// paused holds the pauses of replicas in milliseconds.
		paused map[string]int
		first  string
		// hedged is the replica that gets the hedge, empty if there is none.
		hedged string
		within time.Duration
	}{
		{"the first choice", map[string]int{"s0a": 500}, "s0c", "s0b", 0},
		{"the one for a hedge", map[string]int{"s0c": 500}, "s0a", "s0b", 0},
		{"all but one", map[string]int{"s0a": 500, "s0b": 500}, "s0c", "", 0},
		{"all", map[string]int{"s0a": 500, "s0b": 300, "s0c": 800}, "s0b", "", 300 * time.Millisecond},
		{"all beyond the deadline", map[string]int{"s0a": 1500, "s0b": 1300, "s0c": 1800}, "", "", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				fakeReplicas := &fakeReplicas{extraReplicas: 1, respond: func(string, int) (time.Duration, *verdict.Failure) { return 60 * time.Millisecond, nil }}
				dispatcher := newDispatcher(fakeReplicas)
				dispatcher.Picker.Distance = func(id string) time.Duration {
					// The order of preference is a, c, b.
					return time.Duration(slices.Index([]string{"s0a", "s0c", "s0b"}, id)) * time.Second
				}
				var sentAt []time.Duration
				var mu sync.Mutex
				dispatcher.Send = func(ctx context.Context, attempt *dispatch.Attempt) *dispatch.Reply {
					mu.Lock()
					sentAt = append(sentAt, time.Since(began))
					mu.Unlock()
					return fakeReplicas.send(ctx, attempt)
				}
				for id, millis := range test.paused {
					dispatcher.Picker.Pause(id, began.Add(time.Duration(millis)*time.Millisecond))
				}
				answer := dispatcher.Serve(t.Context(), newRequest(singleRoute(true)))
				defer time.Sleep(2 * time.Second)
				if test.first == "" {
					qt.Assert(t, answer.Failure.Verdict, qt.Equals, verdict.NotRun)
					qt.Assert(t, time.Since(began), qt.Equals, time.Duration(0))
					qt.Assert(t, fakeReplicas.sent(), qt.HasLen, 0)
					return
				}
				want := []string{test.first}
				if test.hedged != "" {
					want = append(want, test.hedged)
				}
				qt.Assert(t, answer.Failure == nil, qt.IsTrue, qt.Commentf("%v", answer.Failure))
				qt.Check(t, fakeReplicas.sent(), qt.DeepEquals, want)
				qt.Check(t, sentAt[0], qt.Equals, test.within)
			})
		})
	}
}

// A replica that asks for a pause in its refusal gets nothing during it, and the
// request goes to another one.
func TestRefusalWithPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fakeReplicas := &fakeReplicas{}
		dispatcher := newDispatcher(fakeReplicas)
		dispatcher.Send = func(ctx context.Context, attempt *dispatch.Attempt) *dispatch.Reply {
			reply := fakeReplicas.send(ctx, attempt)
			if attempt.Replica.ID == "s0a" {
				return &dispatch.Reply{Failure: newFailure(verdict.NotRun, verdict.Shed), Pause: 2 * time.Second}
			}
			return reply
		}
		for range 25 {
			qt.Check(t, dispatcher.Serve(t.Context(), newRequest(singleRoute(false))).Failure == nil, qt.IsTrue)
			time.Sleep(100 * time.Millisecond)
		}
		// Each request takes 105 ms, so that the pause lasts for 19 of them.
		qt.Assert(t, fakeReplicas.attemptCount("s0a"), qt.Equals, 2)
	})
}

var regions = map[string]string{"south1": "south", "south2": "south", "north1": "north", "blank": ""}

// Homes of the route and of the workspace both bind. Unknown regions and domains allow
// nothing.
func TestAllows(t *testing.T) {
	for _, test := range []struct {
		route, workspace []string
		allowed          []string
		homes            []string
	}{
		{nil, nil, []string{"blank", "north1", "south1", "south2", "unknown"}, nil},
		{[]string{}, []string{}, []string{"blank", "north1", "south1", "south2", "unknown"}, []string{}},
		{[]string{"south"}, nil, []string{"south1", "south2"}, []string{"south"}},
		{nil, []string{"north", "nowhere"}, []string{"north1"}, []string{"north", "nowhere"}},
		{[]string{"south", "north"}, []string{"north", "east"}, []string{"north1"}, []string{"north"}},
		{[]string{"south"}, []string{"north"}, []string{}, []string{""}},
		{[]string{"nowhere"}, nil, []string{}, []string{"nowhere"}},
		{[]string{""}, nil, []string{}, []string{""}},
	} {
		request := &dispatch.Request{Route: &route.Route{Homes: test.route}}
		if test.workspace != nil {
			request.Workspace = &route.Workspace{Homes: test.workspace}
		}
		allowed, onward := []string{}, []string{}
		for _, domain := range []string{"blank", "north1", "south1", "south2", "unknown"} {
			if request.Allows(domain, regions) {
				allowed = append(allowed, domain)
			}
			// A host that gets the homes with a bundle allows the same.
			if (&dispatch.Request{Route: &route.Route{Homes: request.Homes()}}).Allows(domain, regions) {
				onward = append(onward, domain)
			}
		}
		qt.Check(t, allowed, qt.DeepEquals, test.allowed, qt.Commentf("%v", test))
		qt.Check(t, onward, qt.DeepEquals, test.allowed, qt.Commentf("%v", test))
		qt.Check(t, fmt.Sprint(request.Homes()), qt.Equals, fmt.Sprint(test.homes))
	}
}

// No attempt of a request with homes reaches a replica in another region: neither the
// first one nor a retry or hedge.
func TestHomesBindAttempts(t *testing.T) {
	for _, test := range []struct {
		name    string
		respond func(string, int) (time.Duration, *verdict.Failure)
		homes   []string
		want    []string
		refused bool
	}{
		{"answered", nil, []string{"south"}, []string{"s0b"}, false},
		{"late", func(string, int) (time.Duration, *verdict.Failure) { return 300 * time.Millisecond, nil }, []string{"south"}, []string{"s0b", "s0c"}, false},
		{"failed", func(string, int) (time.Duration, *verdict.Failure) {
			return time.Millisecond, newFailure(verdict.MayHaveRun, verdict.ConnectionLost)
		}, []string{"south"}, []string{"s0b", "s0c"}, true},
		{"no replica at home", nil, []string{"east"}, nil, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fakeReplicas := &fakeReplicas{respond: test.respond, extraReplicas: 2}
				dispatcher := newDispatcher(fakeReplicas)
				dispatcher.Regions = regions
				dispatcher.Picker.Distance = func(id string) time.Duration { return time.Duration(id[2]-'a') * time.Second }
				dispatcher.Replicas = func(service string) []roster.Replica {
					list := fakeReplicas.replicas(service)
					for i, domain := range []string{"north1", "south1", "south2", "unknown"} {
						list[i].FailureDomain = domain
					}
					return list
				}
				request := newRequest(singleRoute(true))
				request.Route.MaxAttempts, request.Route.Homes = 4, test.homes
				answer := dispatcher.Serve(t.Context(), request)
				time.Sleep(2 * time.Second)
				qt.Check(t, answer.Failure != nil, qt.Equals, test.refused)
				qt.Check(t, fakeReplicas.sent(), qt.DeepEquals, test.want)
			})
		})
	}
}

func BenchmarkAllows(b *testing.B) {
	for _, homes := range [][]string{nil, {"north", "south"}} {
		b.Run(fmt.Sprint(len(homes), " homes"), func(b *testing.B) {
			request := &dispatch.Request{Route: &route.Route{Homes: homes}, Workspace: &route.Workspace{Homes: homes}}
			b.ReportAllocs()
			for b.Loop() {
				request.Allows("south1", regions)
			}
		})
	}
}

// Guards against shards that are left out when a peer refuses a bundle while their
// replicas are paused: their first attempts wait for the end of a pause as well.
func TestRefusedBundleWaitsForPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(2 * time.Second)
		dispatcher := newDispatcher(&fakeReplicas{})
		dispatcher.Plan = func(*dispatch.Request, func(string) bool) []dispatch.Bundle {
			return []dispatch.Bundle{{Peer: "peer", Shards: []string{"s1"}}}
		}
		dispatcher.Delegate = func(context.Context, *dispatch.Request, dispatch.Bundle, func(*dispatch.BundleReply)) *dispatch.BundleReply {
			return &dispatch.BundleReply{Failure: newFailure(verdict.NotRun, verdict.Unreachable)}
		}
		for _, id := range []string{"s1a", "s1b"} {
			dispatcher.Picker.Pause(id, time.Now().Add(20*time.Millisecond))
		}
		answer := dispatcher.Serve(t.Context(), newRequest(gatherRoute(2, 0.5)))
		qt.Assert(t, answer.Failure == nil, qt.IsTrue, qt.Commentf("%v", answer.Failure))
		qt.Assert(t, answer.Missing, qt.Equals, 0)
	})
}
