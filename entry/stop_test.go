package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/answer"
	"fescuehall/entry"
	"fescuehall/fleet"
	"fescuehall/service"
	"fescuehall/standin"
	"fescuehall/verdict"
)

// Guards against a host that cuts the requests that it holds when its stop may take no
// longer: with a server that never answers, those that wait for a slot are refused as
// not run, and those at the server are answered as unknown.
func TestStopAnswersHeldRequests(t *testing.T) {
	const slots, requests = 2, 8
	testFleet, err := fleet.Start(fleet.Layout{
		Domains: []string{"Kochi"},
		Hosts:   1,
		MaxStop: time.Second,
		Ranks:   []service.Rank{{Name: "Urgent", SharePercent: 10}},
		Services: map[string]fleet.ServiceLayout{"Desk": {Shards: 1, Replicas: 1, Slots: slots, Connections: 4, Model: standin.Model{RecordRequests: true}, Kinds: []service.Kind{
			{Name: "Pull", Rank: "Urgent", DeadlineMillis: 60_000, Idempotent: true, MinCoveragePercent: 100},
			{Name: "Seal", Rank: "Urgent", DeadlineMillis: 60_000},
		}}},
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(testFleet.Close)
	var server *standin.Server
	for _, server = range testFleet.Servers {
		server.SetFault(standin.ServerFault{Freeze: true})
	}
	host := testFleet.Hosts[0]
	type outcome struct {
		id     string
		status int
		answer answer.Answer
	}
	outcomes := make(chan outcome, requests)
	for number := range requests {
		kind := []string{"Pull", "Seal"}[number%2]
		go func() {
			outcome := outcome{id: fmt.Sprint("held-", number)}
			var err error
			outcome.status, err = host.Post("/v1/query", answer.Request{Service: "Desk", Kind: kind, Key: outcome.id, RequestID: outcome.id}, &outcome.answer)
			qt.Check(t, err, qt.IsNil)
			outcomes <- outcome
		}()
	}
	qt.Assert(t, testFleet.Await(func() bool {
		var status entry.Status
		qt.Assert(t, host.Get("/v1/status", &status), qt.IsNil)
		held := 0
		for _, replica := range status.Replicas {
			held += replica.Running + replica.Waiting
		}
		return held == requests
	}), qt.IsNil)
	host.Stop()
	counts := make(map[string]int)
	for range requests {
		outcome := <-outcomes
		counts[fmt.Sprintf("%d %s", outcome.status, outcome.answer.Verdict)]++
		if outcome.answer.Verdict == verdict.NotRun.String() {
			qt.Check(t, server.Record().Requests[outcome.id], qt.Equals, 0, qt.Commentf("request %s", outcome.id))
		}
	}
	qt.Assert(t, counts, qt.DeepEquals, map[string]int{
		fmt.Sprintf("%d NotRun", http.StatusServiceUnavailable): requests - slots,
		fmt.Sprintf("%d MayHaveRun", http.StatusBadGateway):     slots,
	})
}
