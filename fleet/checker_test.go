package fleet_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/answer"
	"fescuehall/fleet"
	"fescuehall/patch"
	"fescuehall/service"
	"fescuehall/standin"
	"fescuehall/verdict"
)

const (
	testShards = 6
	limit      = 8
)

// layout is a small fleet: 4 hosts in 2 failure domains, 6 shards.
func layout() fleet.Layout {
	return fleet.Layout{
		Domains: []string{"Kochi", "Kollam"},
		Hosts:   4,
		Ranks:   []service.Rank{{Name: "Urgent", SharePercent: 20}, {Name: "Late", SharePercent: 10}},
		Services: map[string]fleet.ServiceLayout{"Desk": {
			Shards: testShards, Replicas: 2, Slots: 4, Connections: 25,
			Kinds: []service.Kind{
				{Name: "Lookup", Rank: "Urgent", DeadlineMillis: 400, Idempotent: true, MinCoveragePercent: 50},
				{Name: "Pull", Rank: "Late", DeadlineMillis: 400, Idempotent: true, MinCoveragePercent: 100},
				{Name: "Seal", Rank: "Urgent", DeadlineMillis: 400, Idempotent: false, MinCoveragePercent: 100},
			},
			Model: standin.Model{Keep: true, Queue: 4, ServiceTime: 2 * time.Millisecond, Spread: 0.5, Seed: 11},
		}},
	}
}

func start(t *testing.T) *fleet.Fleet {
	running, err := fleet.Start(layout())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(running.Close)
	return running
}

// replicas returns the backend servers in the order of shards.
func replicas(running *fleet.Fleet) []*standin.Server {
	var all []*standin.Server
	for _, replica := range running.Configuration.Services["Desk"].Snapshots[0].Replicas {
		all = append(all, running.Servers[replica.Address])
	}
	return all
}

// checker asks, and holds each answer against what has to be true of it.
type checker struct {
	running *fleet.Fleet
	// shards holds the number of shards of each snapshot.
	shards map[string]int

	mu      sync.Mutex
	wrong   []string
	whole   int
	answers map[string][]*answer.Answer
	sealed  map[string]bool
}

func newChecker(running *fleet.Fleet) *checker {
	return &checker{running: running, shards: map[string]int{"S1": testShards}, answers: make(map[string][]*answer.Answer), sealed: make(map[string]bool)}
}

func (checker *checker) blame(format string, args ...any) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.wrong = append(checker.wrong, fmt.Sprintf(format, args...))
}

// ask sends one request to a host.
func (checker *checker) ask(place int, request answer.Request) *answer.Answer {
	request.Service = "Desk"
	request.Limit = limit
	got, err := checker.running.Hosts[place].Ask(request)
	if err != nil {
		got = &answer.Answer{RequestID: request.RequestID, Verdict: verdict.MayHaveRun.String(), Code: string(verdict.ConnectionLost)}
	}
	checker.check(request, got)
	return got
}

// check holds what an answer says against itself and against the results that
// its shards give.
func (checker *checker) check(request answer.Request, got *answer.Answer) {
	checker.mu.Lock()
	checker.answers[request.RequestID] = append(checker.answers[request.RequestID], got)
	if request.Kind == "Seal" {
		checker.sealed[request.RequestID] = true
	}
	shards := checker.shards[got.Snapshot]
	if got.Code == "" && got.ShardsCovered == got.ShardsAsked {
		checker.whole++
	}
	checker.mu.Unlock()
	if got.RequestID != request.RequestID {
		checker.blame("request %s got the answer to %s", request.RequestID, got.RequestID)
	}
	if got.Code != "" {
		if len(got.Results) > 0 {
			checker.blame("request %s failed and has results", request.RequestID)
		}
		return
	}
	if request.Kind == "Seal" {
		shards = 1
	}
	if got.ShardsAsked != shards || got.ShardsCovered+len(got.Missing) != shards {
		checker.blame("request %s: %d covered and %d missing of %d shards, asked %d", request.RequestID, got.ShardsCovered, len(got.Missing), shards, got.ShardsAsked)
	}
	if request.Kind != "Seal" {
		checker.results(request, got)
	}
}

// results checks that an answer holds the best results of just the shards it
// says it covers, from the one snapshot it names, for the text it was asked.
func (checker *checker) results(request answer.Request, got *answer.Answer) {
	missing := make(map[int]bool)
	for _, shard := range got.Missing {
		missing[shard.Shard] = true
	}
	var want []answer.Result
	for shard := range got.ShardsAsked {
		if missing[shard] {
			continue
		}
		for place := range limit {
			hit := standin.Hit(got.Snapshot, shard, place, request.Text)
			want = append(want, answer.Result{ID: hit.ID, Score: hit.Score, Shard: shard, Snapshot: got.Snapshot})
		}
	}
	slices.SortFunc(want, func(a, b answer.Result) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	want = want[:min(limit, len(want))]
	if !slices.Equal(got.Results, want) {
		checker.blame("request %s: results %v, want %v", request.RequestID, got.Results, want)
	}
}

// runs returns how often a request ran on all backend servers.
func (checker *checker) runs() map[string]int {
	total := make(map[string]int)
	for _, server := range checker.running.Servers {
		for id, count := range server.Record().Requests {
			total[id] += count
		}
	}
	return total
}

// settle compares verdicts with the backend servers' own records.
func (checker *checker) settle() {
	runs := checker.runs()
	for id, answers := range checker.answers {
		notRun, ran := true, false
		for _, got := range answers {
			notRun = notRun && got.Verdict == verdict.NotRun.String()
			ran = ran || got.Verdict == verdict.Ran.String()
		}
		if notRun && runs[id] > 0 {
			checker.blame("request %s was said not to run and ran %d times", id, runs[id])
		}
		if ran && runs[id] == 0 {
			checker.blame("request %s was said to have run and did not", id)
		}
		if checker.sealed[id] && runs[id] > 1 {
			checker.blame("request %s is not idempotent and ran %d times", id, runs[id])
		}
	}
}

// traffic sends a mix of requests through all hosts at once. Each fifth seal
// is sent again with its identity through another host.
func (checker *checker) traffic(name string, rounds int) {
	var group sync.WaitGroup
	for client := range 8 {
		group.Go(func() {
			for round := range rounds {
				id := fmt.Sprintf("%s-%d-%d", name, client, round)
				kind := []string{"Lookup", "Pull", "Seal", "Lookup"}[round%4]
				request := answer.Request{RequestID: id, Kind: kind, Text: id, Key: id}
				place := (client + round) % len(checker.running.Hosts)
				checker.ask(place, request)
				if kind == "Seal" && (client+round)%5 == 0 {
					checker.ask((place+1)%len(checker.running.Hosts), request)
				}
			}
		})
	}
	group.Wait()
}

// assert fails the test with all that was wrong, or when nothing was answered.
func (checker *checker) assert(t *testing.T, leastWhole int) {
	checker.settle()
	qt.Assert(t, checker.wrong, qt.HasLen, 0)
	qt.Assert(t, checker.whole >= leastWhole, qt.IsTrue, qt.Commentf("%d whole answers, want %d", checker.whole, leastWhole))
}

// roll puts a configuration in force in which a snapshot with another number
// of shards comes first, on the same backend servers.
func roll(t *testing.T, running *fleet.Fleet, against uint64, name string, shards int) {
	spec := running.Configuration.Services["Desk"]
	newest := service.Snapshot{Name: name, Shards: shards}
	for place, replica := range spec.Snapshots[0].Replicas {
		replica.Shard = place % shards
		newest.Replicas = append(newest.Replicas, replica)
	}
	spec.Snapshots = append([]service.Snapshot{newest}, spec.Snapshots...)
	merge, err := json.Marshal(map[string]any{"Services": map[string]any{"Desk": spec}})
	qt.Assert(t, err, qt.IsNil)
	reply, err := running.Patch(0, patch.Patch{PatchID: name, Against: against, Merge: merge})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Outcome, qt.Equals, patch.Accepted, qt.Commentf("%+v", reply))
}
