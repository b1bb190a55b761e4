package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/dispatch"
	"fescuehall/logbook"
	"fescuehall/metric"
	"fescuehall/reach"
	"fescuehall/replica"
	"fescuehall/roster"
	"fescuehall/route"
	"fescuehall/shard"
	"fescuehall/shutdown"
	"fescuehall/verdict"
)

// newExplained returns a dispatcher that fails the test when it sends, logs or counts a
// request.
func newExplained(t *testing.T, replicas *roster.Roster) *dispatch.Dispatcher {
	dispatcher := newDispatcher(&fakeReplicas{})
	dispatcher.Domain, dispatcher.Regions = "north1", regions
	dispatcher.Replicas, dispatcher.Listed = replicas.Available, replicas.Listed
	dispatcher.Send = func(context.Context, *dispatch.Attempt) *dispatch.Reply {
		t.Error("an attempt was sent")
		return &dispatch.Reply{}
	}
	dispatcher.Event = func(event string, _ logbook.Fields) { t.Error("an event was logged:", event) }
	dispatcher.Observe = func(metric.Request) { t.Error("a request was counted") }
	return dispatcher
}

// listOf returns a roster with replicas a, b and so on of service s0, in the given
// failure domains.
func listOf(domains ...string) (*roster.Roster, []string) {
	list, ids := make([]roster.Replica, len(domains)), make([]string, len(domains))
	for i, domain := range domains {
		ids[i] = "s0" + string(rune('a'+i))
		list[i] = roster.Replica{ID: ids[i], Service: "s0", FailureDomain: domain}
	}
	replicas := &roster.Roster{Now: time.Now}
	replicas.Update(list)
	return replicas, ids
}

// Each replica that gets no request has its reason, and the first attempt of a request
// goes where the explanation said that it would. Explanations leave no trace.
func TestExplainReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas, ids := listOf("north1", "north1", "north1", "north1", "south1", "east1", "north1", "north1", "north1", "north1")
		dispatcher := newExplained(t, replicas)
		dispatcher.Picker.Distance = func(string) time.Duration { return 0 }
		list := replicas.Listed([]string{"s0"})["s0"]
		update := make([]roster.Replica, len(list))
		for i, listed := range list {
			update[i] = listed.Replica
		}
		update[1].Leaving = true
		replicas.Update(update)
		replicas.ReportLeaving(update[2])
		replicas.ReportMisplaced("s0d")
		replicas.SetEvacuated("south1", true)
		picker := dispatcher.Picker
		picker.Pause("s0g", time.Now().Add(time.Second))
		fail := func(id string) {
			picker.Start(id)
			picker.Done(id, replica.Result{Failed: true, Unreachable: true})
		}
		fail("s0i")
		time.Sleep(600 * time.Millisecond)
		fail("s0h")
		picker.Start("s0a")
		picker.Done("s0a", replica.Result{Latency: 5 * time.Millisecond})
		time.Sleep(100 * time.Millisecond)
		request := newRequest(singleRoute(true))
		request.Route.Homes = []string{"north"}
		picker.Suspected = func(id string) bool { return id == "s0j" }
		before := picker.Explain(ids)
		explanation := dispatcher.Explain(request)
		for range 50 {
			qt.Assert(t, dispatcher.Explain(request), qt.DeepEquals, explanation)
		}
		qt.Assert(t, picker.Explain(ids), qt.DeepEquals, before)
		qt.Assert(t, explanation.Refusal, qt.IsNil)
		reasons := make(map[string]roster.Exclusion)
		for i, explained := range explanation.Parts[0].Replicas {
			reasons[explained.ID] = explained.Excluded
			qt.Check(t, explained.Candidate, qt.DeepEquals, before[i])
		}
		qt.Check(t, reasons, qt.DeepEquals, map[string]roster.Exclusion{
			"s0a": "", "s0b": roster.Leaving, "s0c": roster.SaidLeaving, "s0d": roster.Misplaced, "s0e": roster.Evacuated,
			"s0f": dispatch.OutsideHomes, "s0g": dispatch.AskedToPause, "s0h": dispatch.Ejected, "s0i": "", "s0j": "",
		})
		explained := explanation.Parts[0].Replicas
		qt.Check(t, explained[0].Candidate.Parts.OwnAge, qt.Equals, 100*time.Millisecond)
		qt.Check(t, explained[6].PausedFor, qt.Equals, 300*time.Millisecond)
		qt.Check(t, explained[8].Candidate.Ramp < 1, qt.IsTrue)
		qt.Check(t, explained[9].Candidate.Suspected, qt.IsTrue)
		var sent []string
		dispatcher.Send = func(_ context.Context, attempt *dispatch.Attempt) *dispatch.Reply {
			sent = append(sent, attempt.Replica.ID)
			return (&fakeReplicas{}).send(t.Context(), attempt)
		}
		dispatcher.Event, dispatcher.Observe = func(string, logbook.Fields) {}, nil
		qt.Assert(t, dispatcher.Serve(t.Context(), request).Failure == nil, qt.IsTrue)
		qt.Check(t, sent, qt.DeepEquals, []string{explanation.Parts[0].Chosen})
		time.Sleep(time.Second)
	})
}

// A cold replica without a token is excluded, unless all are cold, and so is one that
// names a limit. No token is taken or asked for.
func TestExplainCold(t *testing.T) {
	for _, test := range []struct {
		tokens  coldTokens
		want    map[string]roster.Exclusion
		awaited bool
	}{
		{coldTokens{cold: []string{"s0a"}}, map[string]roster.Exclusion{"s0a": dispatch.Cold, "s0b": "", "s0c": ""}, false},
		{coldTokens{cold: []string{"s0a", "s0b"}, tokens: []string{"s0a"}}, map[string]roster.Exclusion{"s0a": "", "s0b": dispatch.Cold, "s0c": ""}, false},
		{coldTokens{cold: []string{"s0a"}, reason: dispatch.Limited}, map[string]roster.Exclusion{"s0a": dispatch.Limited, "s0b": "", "s0c": ""}, false},
		{coldTokens{cold: []string{"s0a", "s0b", "s0c"}}, map[string]roster.Exclusion{"s0a": "", "s0b": "", "s0c": ""}, true},
	} {
		replicas, _ := listOf("north1", "north1", "north1")
		dispatcher := newExplained(t, replicas)
		peek := test.tokens.limits().TakeNow
		dispatcher.Limits = &dispatch.ReplicaLimits{Limited: test.tokens.limits().Limited, PeekNow: peek}
		part := dispatcher.Explain(newRequest(singleRoute(true))).Parts[0]
		reasons := make(map[string]roster.Exclusion)
		for _, explained := range part.Replicas {
			reasons[explained.ID] = explained.Excluded
		}
		qt.Check(t, reasons, qt.DeepEquals, test.want)
		qt.Check(t, part.AwaitsToken, qt.Equals, test.awaited)
		qt.Check(t, test.want[part.Chosen], qt.Equals, roster.Exclusion(""))
	}
}

// A request that waits for the end of a pause is explained so.
func TestExplainWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas, _ := listOf("north1", "north1")
		dispatcher := newExplained(t, replicas)
		dispatcher.Picker.Pause("s0a", time.Now().Add(400*time.Millisecond))
		dispatcher.Picker.Pause("s0b", time.Now().Add(200*time.Millisecond))
		part := dispatcher.Explain(newRequest(singleRoute(true))).Parts[0]
		qt.Check(t, part.Wait, qt.Equals, 200*time.Millisecond)
		qt.Check(t, part.Chosen, qt.Equals, "")
	})
}

// The shards that peers gather are told from those of this host.
func TestExplainBundles(t *testing.T) {
	replicas, _ := listOf("north1")
	dispatcher := newExplained(t, replicas)
	bundles := []dispatch.Bundle{{Peer: "large", Shards: []string{"s1", "s2"}, Domain: "north1"}}
	dispatcher.Preview = func(*dispatch.Request, func(string) bool) []dispatch.Bundle { return bundles }
	dispatcher.Plan = func(*dispatch.Request, func(string) bool) []dispatch.Bundle {
		t.Error("bundles were planned")
		return nil
	}
	list := []roster.Replica{}
	for shard := range 4 {
		list = append(list, roster.Replica{ID: fmt.Sprint("r", shard), Service: fmt.Sprint("s", shard)})
	}
	replicas.Update(list)
	explanation := dispatcher.Explain(newRequest(gatherRoute(4, 1)))
	qt.Check(t, explanation.Bundles, qt.DeepEquals, bundles)
	var got []string
	for _, part := range explanation.Parts {
		got = append(got, part.Service+" "+part.Peer+" "+part.Chosen)
	}
	qt.Check(t, got, qt.DeepEquals, []string{"s0  r0", "s1 large ", "s2 large ", "s3  r3"})
	large := gatherRoute(2000, 0)
	explanation = dispatcher.Explain(newRequest(large))
	qt.Check(t, len(explanation.Parts)+explanation.PartsLeftOut, qt.Equals, 2000)
	qt.Check(t, len(explanation.Parts) < 1000, qt.IsTrue)
}

// Each refusal is that of Serve, and explanations neither log it nor use up the trial of
// an isolated host.
func TestExplainRefusals(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(t *testing.T, dispatcher *dispatch.Dispatcher)
		route   *route.Route
		code    verdict.Code
	}{
		{"stopping", func(_ *testing.T, dispatcher *dispatch.Dispatcher) {
			dispatcher.Stop = shutdown.New()
			dispatcher.Stop.Begin(shutdown.NewSchedule(time.Now().Add(-10*time.Second), 6*time.Second))
		}, singleRoute(true), verdict.Stopping},
		{"isolated", isolate, gatherRoute(1, 1), verdict.Unreachable},
		{"unservable", func(*testing.T, *dispatch.Dispatcher) {}, gatherRoute(2, 1), verdict.NoReplica},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				replicas, _ := listOf("south1", "south2")
				dispatcher := newExplained(t, replicas)
				test.prepare(t, dispatcher)
				request := newRequest(test.route)
				explanation := dispatcher.Explain(request)
				qt.Assert(t, explanation.Refusal, qt.IsNotNil)
				qt.Check(t, explanation.Refusal.Failure.Code, qt.Equals, test.code)
				qt.Check(t, explanation.Parts[0].Replicas, qt.HasLen, 2)
				qt.Check(t, explanation.Bundles, qt.HasLen, 0)
				dispatcher.Event, dispatcher.Observe = func(string, logbook.Fields) {}, nil
				qt.Check(t, dispatcher.Serve(t.Context(), request), qt.DeepEquals, explanation.Refusal)
				time.Sleep(time.Second)
				if dispatcher.Reach != nil {
					qt.Check(t, dispatcher.Explain(request).Refusal, qt.IsNil)
					qt.Check(t, dispatcher.Reach.TakeTrial(), qt.IsTrue)
					qt.Check(t, dispatcher.Explain(request).Refusal, qt.IsNotNil)
				}
			})
		})
	}
}

// isolate makes a dispatcher's host one that reaches no other failure domain.
func isolate(t *testing.T, dispatcher *dispatch.Dispatcher) {
	dispatcher.Reach = &reach.Monitor{
		Domain: "north1", Now: time.Now,
		Peers:   func() []shard.Host { return []shard.Host{{Name: "lost", FailureDomain: "south1"}} },
		Probe:   func(context.Context, shard.Host) error { return errors.New("no answer") },
		Shuffle: func(int, func(i, j int)) {},
		Changed: func(bool) {},
	}
	go dispatcher.Reach.Run(t.Context())
	for range 4 {
		dispatcher.Reach.RecordMiss()
	}
	time.Sleep(400 * time.Millisecond)
}

// The probability of a refusal for overload is told, and stays as it is.
func TestExplainOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas, _ := listOf("north1")
		dispatcher := newExplained(t, replicas)
		dispatcher.Event, dispatcher.Observe = func(string, logbook.Fields) {}, nil
		dispatcher.Send = func(context.Context, *dispatch.Attempt) *dispatch.Reply {
			return &dispatch.Reply{Failure: newFailure(verdict.NotRun, verdict.Shed)}
		}
		request := newRequest(singleRoute(false))
		qt.Check(t, dispatcher.Explain(request).RefusalProbability, qt.Equals, 0.0)
		for range 20 {
			dispatcher.Serve(t.Context(), newRequest(singleRoute(false)))
		}
		first := dispatcher.Explain(request)
		qt.Check(t, first.RefusalProbability > 0.3, qt.IsTrue)
		qt.Check(t, first.Overload.Failure.Code, qt.Equals, verdict.Overload)
		for range 20 {
			qt.Assert(t, dispatcher.Explain(request).RefusalProbability, qt.Equals, first.RefusalProbability)
		}
		time.Sleep(2 * time.Second)
	})
}
