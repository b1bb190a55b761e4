package dispatch_test

import (
	"context"
	"fmt"
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

// fleet is replicas whose answers a test decides. Shard s3 has the replicas
// s3a and s3b.
type fleet struct {
	mu    sync.Mutex
	tries []string
	// withdrawn counts the tries whose context ended first.
	withdrawn int
	// rule returns how long a try takes and how it ends, nil for a success.
	rule func(id string, try int) (time.Duration, *verdict.Failure)
	// gone names services without replicas.
	gone string
	// more adds replicas c, d and so on to each service.
	more int
}

func (fleet *fleet) send(ctx context.Context, try *dispatch.Try) *dispatch.Reply {
	fleet.mu.Lock()
	fleet.tries = append(fleet.tries, try.Replica.ID)
	number := len(fleet.tries)
	fleet.mu.Unlock()
	took, failure := 5*time.Millisecond, (*verdict.Failure)(nil)
	if fleet.rule != nil {
		took, failure = fleet.rule(try.Replica.ID, number)
	}
	select {
	case <-time.After(took):
	case <-ctx.Done():
		fleet.mu.Lock()
		fleet.withdrawn++
		fleet.mu.Unlock()
		return &dispatch.Reply{Failure: verdict.New(verdict.MayHaveRun, verdict.Cancelled, "test")}
	}
	if failure != nil {
		reply := &dispatch.Reply{Failure: failure}
		if failure.Verdict == verdict.Ran {
			reply.Answer = &exchange.Answer{Status: 500}
		}
		return reply
	}
	return &dispatch.Reply{Answer: &exchange.Answer{Status: 200, Body: []byte(strings.Repeat(try.Replica.Service[:1], 16))}, Receipt: try.Replica.ID}
}

func (fleet *fleet) replicas(service string) []roster.Replica {
	if service == fleet.gone {
		return nil
	}
	list := []roster.Replica{{ID: service + "a", Service: service}, {ID: service + "b", Service: service}}
	for number := range fleet.more {
		list = append(list, roster.Replica{ID: service + string(rune('c'+number)), Service: service})
	}
	return list
}

func (fleet *fleet) count(prefix string) int {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	count := 0
	for _, id := range fleet.tries {
		if strings.HasPrefix(id, prefix) {
			count++
		}
	}
	return count
}

func (fleet *fleet) lost() int {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.withdrawn
}

func newDispatcher(fleet *fleet) *dispatch.Dispatcher {
	picker := replica.New()
	// Equal replicas are taken in order, so that a comes before b.
	picker.Random = func(int) int { return 0 }
	picker.Distance = func(id string) time.Duration {
		if strings.HasSuffix(id, "b") {
			return time.Second
		}
		return 0
	}
	made := &dispatch.Dispatcher{
		Send:      fleet.send,
		Replicas:  fleet.replicas,
		Misplaced: func(string) {},
		Hosts:     func() int { return 1 },
		Picker:    picker,
		Random:    func() float64 { return 0.5 },
		Event:     func(string, logbook.Fields) {},
	}
	made.SetExtra(0.2, 100)
	return made
}

const (
	target   = 100 * time.Millisecond
	deadline = time.Second
)

func gather(shards int, least float64) *route.Route {
	made := &route.Route{Name: "gather", Idempotent: true, Target: target, Timeout: deadline, MaxTries: 2, TopK: 2, LeastShare: least}
	for shard := range shards {
		made.Shards = append(made.Shards, fmt.Sprint("s", shard))
	}
	return made
}

func plain(idempotent bool) *route.Route {
	return &route.Route{Name: "plain", Idempotent: idempotent, Target: target, Timeout: deadline, MaxTries: 2, Services: []route.Weighted{{Service: "s0", Weight: 1}}}
}

func ask(found *route.Route) *dispatch.Request {
	now := time.Now()
	return &dispatch.Request{ID: "r", Route: found, Received: now, Deadline: now.Add(deadline), Content: &exchange.Request{}}
}

func failure(certainty verdict.Verdict, code verdict.Code) *verdict.Failure {
	return verdict.New(certainty, code, "test")
}

func TestGather(t *testing.T) {
	slow := func(ids ...string) func(string, int) (time.Duration, *verdict.Failure) {
		return func(id string, _ int) (time.Duration, *verdict.Failure) {
			for _, prefix := range ids {
				if strings.HasPrefix(id, prefix) {
					return 400 * time.Millisecond, nil
				}
			}
			return 5 * time.Millisecond, nil
		}
	}
	tests := []struct {
		name    string
		least   float64
		rule    func(string, int) (time.Duration, *verdict.Failure)
		gone    string
		in      int
		within  time.Duration
		verdict verdict.Verdict
	}{
		{name: "all in", least: 1, in: 4, within: 10 * time.Millisecond},
		{name: "a late replica is hedged", least: 1, rule: slow("s2a"), in: 4, within: 50 * time.Millisecond},
		{name: "a shard that is late is left out at the target", least: 0.75, rule: slow("s2"), in: 3, within: target},
		{name: "a late answer is given when less may not", least: 1, rule: slow("s2"), in: 4, within: 410 * time.Millisecond},
		{name: "a shard without replicas is left out at once", least: 0.75, gone: "s1", in: 3, within: 10 * time.Millisecond},
		{name: "a shard without replicas that is needed", least: 1, gone: "s1", within: 10 * time.Millisecond, verdict: verdict.MayHaveRun},
		{name: "nothing runs", least: 0.25, rule: func(string, int) (time.Duration, *verdict.Failure) {
			return time.Millisecond, failure(verdict.NotRun, verdict.Shed)
		}, within: 10 * time.Millisecond, verdict: verdict.NotRun},
		{name: "a failed replica is made up for", least: 1, rule: func(id string, _ int) (time.Duration, *verdict.Failure) {
			if id == "s0a" {
				return time.Millisecond, failure(verdict.MayHaveRun, verdict.ConnectionLost)
			}
			return 5 * time.Millisecond, nil
		}, in: 4, within: 10 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				answer := newDispatcher(&fleet{rule: test.rule, gone: test.gone}).Serve(t.Context(), ask(gather(4, test.least)))
				defer time.Sleep(2 * time.Second)
				qt.Check(t, time.Since(started) <= test.within, qt.IsTrue, qt.Commentf("took %v", time.Since(started)))
				if test.verdict != 0 {
					qt.Assert(t, answer.Failure != nil, qt.IsTrue)
					qt.Assert(t, answer.Failure.Verdict, qt.Equals, test.verdict)
					qt.Assert(t, answer.RetryAfter > 0, qt.IsTrue)
				} else {
					qt.Assert(t, answer.Failure == nil, qt.IsTrue, qt.Commentf("%v", answer.Failure))
					qt.Assert(t, answer.Receipts, qt.HasLen, test.in)
					qt.Assert(t, answer.Missing, qt.Equals, 4-test.in)
					qt.Assert(t, answer.Records, qt.HasLen, 32)
				}
			})
		})
	}
}

// What may be sent again follows from the route and from what is known of the
// first try.
func TestRetries(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		failure    *verdict.Failure
		tries      int
		verdict    verdict.Verdict
		whole      bool
	}{
		{name: "idempotent, may have run", idempotent: true, failure: failure(verdict.MayHaveRun, verdict.ConnectionLost), tries: 2, verdict: verdict.MayHaveRun},
		{name: "idempotent, ran and failed", idempotent: true, failure: failure(verdict.Ran, verdict.BackendError), tries: 2, whole: true},
		{name: "idempotent, not run", idempotent: true, failure: failure(verdict.NotRun, verdict.Shed), tries: 2, verdict: verdict.NotRun},
		{name: "not idempotent, may have run", failure: failure(verdict.MayHaveRun, verdict.ConnectionLost), tries: 1, verdict: verdict.MayHaveRun},
		{name: "not idempotent, ran and failed", failure: failure(verdict.Ran, verdict.BackendError), tries: 1, whole: true},
		{name: "not idempotent, not run", failure: failure(verdict.NotRun, verdict.Shed), tries: 2, verdict: verdict.NotRun},
		{name: "not idempotent, not reached", failure: failure(verdict.NotRun, verdict.Unreachable), tries: 2, verdict: verdict.NotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := &fleet{rule: func(string, int) (time.Duration, *verdict.Failure) { return time.Millisecond, test.failure }}
				answer := newDispatcher(fleet).Serve(t.Context(), ask(plain(test.idempotent)))
				qt.Assert(t, fleet.count("s0"), qt.Equals, test.tries)
				if test.whole {
					qt.Assert(t, answer.Whole, qt.IsNotNil)
					qt.Assert(t, answer.Whole.Status, qt.Equals, 500)
					return
				}
				qt.Assert(t, answer.Failure.Verdict, qt.Equals, test.verdict)
			})
		})
	}
}

// No more replicas may have run a request than its route allows, with hedges and
// retries together; refusals do not count.
func TestMaxTries(t *testing.T) {
	tests := []struct {
		name string
		rule func(string, int) (time.Duration, *verdict.Failure)
		most int
	}{
		{name: "all fail", rule: func(string, int) (time.Duration, *verdict.Failure) {
			return time.Millisecond, failure(verdict.MayHaveRun, verdict.ConnectionLost)
		}, most: 2},
		{name: "all hang", rule: func(string, int) (time.Duration, *verdict.Failure) { return time.Hour, nil }, most: 2},
		{name: "late and failing", rule: func(string, int) (time.Duration, *verdict.Failure) {
			return 60 * time.Millisecond, failure(verdict.Ran, verdict.BackendError)
		}, most: 2},
		{name: "all refuse", rule: func(string, int) (time.Duration, *verdict.Failure) {
			return time.Millisecond, failure(verdict.NotRun, verdict.Shed)
		}, most: 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := &fleet{rule: test.rule, more: 3}
				newDispatcher(fleet).Serve(t.Context(), ask(plain(true)))
				qt.Assert(t, fleet.count("s0"), qt.Equals, test.most)
				synctest.Wait()
			})
		})
	}
}

// A request that is not idempotent is never hedged, and one that may still run
// is not said to have not run.
func TestSlowRequestThatIsNotIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := &fleet{rule: func(string, int) (time.Duration, *verdict.Failure) { return time.Hour, nil }}
		started := time.Now()
		answer := newDispatcher(fleet).Serve(t.Context(), ask(plain(false)))
		qt.Assert(t, fleet.count("s0"), qt.Equals, 1)
		qt.Assert(t, answer.Failure.Verdict, qt.Equals, verdict.MayHaveRun)
		qt.Assert(t, answer.Failure.Code, qt.Equals, verdict.DeadlinePassed)
		qt.Assert(t, time.Since(started) <= deadline, qt.IsTrue)
		synctest.Wait()
	})
}

// When a caller leaves, all its tries are withdrawn at once.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := &fleet{rule: func(string, int) (time.Duration, *verdict.Failure) { return time.Hour, nil }}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		newDispatcher(fleet).Serve(ctx, ask(gather(4, 1)))
		synctest.Wait()
		qt.Assert(t, fleet.lost(), qt.Equals, fleet.count("s"))
	})
}

// The losers of a hedge are withdrawn soon after the part is in, not at the end
// of the request.
func TestLosersAreWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := &fleet{rule: func(id string, _ int) (time.Duration, *verdict.Failure) {
			switch {
			case id == "s0a":
				return time.Hour, nil
			case strings.HasPrefix(id, "s1"):
				return 300 * time.Millisecond, nil
			}
			return 5 * time.Millisecond, nil
		}}
		done := make(chan *dispatch.Answer)
		go func() { done <- newDispatcher(fleet).Serve(t.Context(), ask(gather(2, 1))) }()
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		qt.Check(t, fleet.lost(), qt.Equals, 1)
		qt.Check(t, (<-done).Receipts, qt.HasLen, 2)
		time.Sleep(time.Second)
	})
}

// A peer's bundle counts for its shards; what has not run there is asked from
// here, and what may have run is not. Answers before the last one count at once.
func TestBundles(t *testing.T) {
	tests := []struct {
		name string
		// told is what the peer answers first, last what it ends with after a second.
		told    []*dispatch.Gathered
		last    *dispatch.Gathered
		direct  int
		in      int
		verdict verdict.Verdict
		early   bool
	}{
		{name: "all in", last: gathered("x", "y"), in: 4},
		{name: "one left out", last: gathered("x"), in: 3},
		{name: "one by one", told: []*dispatch.Gathered{gathered("x"), gathered("y")}, last: gathered(), in: 4, early: true},
		{name: "enough before the last", told: []*dispatch.Gathered{gathered(), gathered("x")}, last: gathered("y"), in: 3, early: true},
		{name: "one in, then lost", told: []*dispatch.Gathered{gathered("x")}, last: &dispatch.Gathered{Failure: failure(verdict.MayHaveRun, verdict.ConnectionLost)}, in: 3, early: true},
		{name: "more than asked", last: gathered("x", "y", "z"), in: 4},
		{name: "not run", last: &dispatch.Gathered{Failure: failure(verdict.NotRun, verdict.Unreachable)}, direct: 2, in: 4},
		{name: "may have run", last: &dispatch.Gathered{Failure: failure(verdict.MayHaveRun, verdict.ConnectionLost)}, verdict: verdict.MayHaveRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := &fleet{}
				defer time.Sleep(2 * time.Second)
				dispatcher := newDispatcher(fleet)
				dispatcher.Plan = func([]string) []dispatch.Bundle {
					return []dispatch.Bundle{{Peer: "peer", Shards: []string{"s1", "s3"}}}
				}
				dispatcher.Ask = func(ctx context.Context, _ *dispatch.Request, _ dispatch.Bundle, tell func(*dispatch.Gathered)) *dispatch.Gathered {
					for _, gathered := range test.told {
						tell(gathered)
					}
					if len(test.told) > 0 {
						<-ctx.Done()
					}
					return test.last
				}
				started := time.Now()
				answer := dispatcher.Serve(t.Context(), ask(gather(4, 0.75)))
				qt.Assert(t, fleet.count("s1")+fleet.count("s3"), qt.Equals, test.direct)
				if test.early {
					qt.Assert(t, time.Since(started) <= 100*time.Millisecond, qt.IsTrue)
				}
				if test.verdict != 0 {
					qt.Assert(t, answer.Failure.Verdict, qt.Equals, test.verdict)
					return
				}
				qt.Assert(t, answer.Failure == nil, qt.IsTrue, qt.Commentf("%v", answer.Failure))
				qt.Assert(t, answer.Receipts, qt.HasLen, test.in)
				qt.Assert(t, answer.Missing, qt.Equals, 4-test.in)
			})
		})
	}
}

func gathered(receipts ...string) *dispatch.Gathered {
	return &dispatch.Gathered{Receipts: receipts, Records: make([]byte, 16*len(receipts))}
}

// Two peers that each leave out as many shards as the whole answer may miss fail
// a request only if nothing more comes from them.
func TestSlowPartsOfTwoBundles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := newDispatcher(&fleet{})
		dispatcher.Plan = func([]string) []dispatch.Bundle {
			return []dispatch.Bundle{{Peer: "one", Shards: []string{"s0", "s1"}}, {Peer: "two", Shards: []string{"s2", "s3"}}}
		}
		dispatcher.Ask = func(_ context.Context, _ *dispatch.Request, bundle dispatch.Bundle, tell func(*dispatch.Gathered)) *dispatch.Gathered {
			time.Sleep(20 * time.Millisecond)
			tell(gathered(bundle.Peer + "a"))
			time.Sleep(300 * time.Millisecond)
			return gathered(bundle.Peer + "b")
		}
		answer := dispatcher.Serve(t.Context(), ask(gather(4, 0.75)))
		qt.Assert(t, answer.Failure == nil, qt.IsTrue, qt.Commentf("%v", answer.Failure))
		qt.Assert(t, answer.Missing <= 1, qt.IsTrue)
		time.Sleep(time.Second)
	})
}

// A host that gathers for another tells it what is in when the target is near,
// then each part once as it comes, until it is withdrawn.
func TestTell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := &fleet{rule: func(id string, _ int) (time.Duration, *verdict.Failure) {
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
		request := ask(gather(6, 0))
		var told []string
		var times []time.Duration
		started := time.Now()
		request.Tell = func(answer *dispatch.Answer) {
			told = append(told, strings.Join(answer.Receipts, " "))
			times = append(times, time.Since(started))
		}
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		answer := newDispatcher(fleet).Serve(ctx, request)
		qt.Assert(t, answer.Failure.Code, qt.Equals, verdict.CallerLeft)
		qt.Assert(t, told, qt.HasLen, 3)
		qt.Assert(t, strings.Count(told[0], " "), qt.Equals, 2)
		qt.Assert(t, times[0] < 100*time.Millisecond, qt.IsTrue)
		qt.Assert(t, times[1:], qt.DeepEquals, []time.Duration{200 * time.Millisecond, 300 * time.Millisecond})
		synctest.Wait()
		time.Sleep(time.Second)
	})
}

// When hardly any request is in time, a part is refused at once as not run, and
// nothing of it is sent.
func TestRefusedForLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := &fleet{rule: func(string, int) (time.Duration, *verdict.Failure) { return 500 * time.Millisecond, nil }}
		dispatcher := newDispatcher(fleet)
		const asked = 200
		answers := make(chan *dispatch.Answer, asked)
		for range asked {
			go func() {
				started := time.Now()
				answer := dispatcher.Serve(t.Context(), ask(plain(false)))
				if answer.Failure != nil {
					qt.Check(t, time.Since(started), qt.Equals, time.Duration(0))
				}
				answers <- answer
			}()
			time.Sleep(20 * time.Millisecond)
		}
		refused := 0
		for range asked {
			if answer := <-answers; answer.Failure != nil {
				refused++
				qt.Check(t, answer.Failure.Verdict, qt.Equals, verdict.NotRun)
				qt.Check(t, answer.RetryAfter > 0, qt.IsTrue)
			}
		}
		qt.Assert(t, refused > 0, qt.IsTrue)
		qt.Assert(t, fleet.count("s0"), qt.Equals, asked-refused)
	})
}

// An answer is due at the target less the ways between the caller and this host,
// and earlier where another host passes it on.
func TestAnswerIn(t *testing.T) {
	const target = 100 * time.Millisecond
	hop := func(*dispatch.Answer) {}
	tests := []struct {
		name   string
		target time.Duration
		ways   time.Duration
		tell   func(*dispatch.Answer)
		want   time.Duration
	}{
		{name: "no target", want: 0},
		{name: "ways unknown", target: target, want: 86 * time.Millisecond},
		{name: "short ways", target: target, ways: 2 * time.Millisecond, want: 90 * time.Millisecond},
		{name: "long ways", target: target, ways: 20 * time.Millisecond, want: 72 * time.Millisecond},
		{name: "ways that leave no time", target: target, ways: time.Second, want: 50 * time.Millisecond},
		{name: "for another host", target: target, tell: hop, want: 90 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			request := ask(gather(4, 0.5))
			route := *request.Route
			route.Target = test.target
			request.Route, request.Ways, request.Tell = &route, test.ways, test.tell
			qt.Assert(t, request.AnswerIn(), qt.Equals, test.want)
		})
	}
}
