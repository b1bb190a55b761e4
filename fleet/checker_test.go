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
	// resultLimit is the limit of results in all requests.
	resultLimit = 8
)

// layout describes a small fleet: 4 hosts in 2 failure domains, 6 shards.
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
			Model: standin.Model{RecordRequests: true, Queue: 4, ServiceTime: 2 * time.Millisecond, Spread: 0.5, Seed: 11},
		}},
	}
}

func start(t *testing.T) *fleet.Fleet {
	testFleet, err := fleet.Start(layout())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(testFleet.Close)
	return testFleet
}

// replicas returns the backend servers in order of their shards.
func replicas(testFleet *fleet.Fleet) []*standin.Server {
	var servers []*standin.Server
	for _, replica := range testFleet.Configuration.Services["Desk"].Snapshots[0].Replicas {
		servers = append(servers, testFleet.Servers[replica.Address])
	}
	return servers
}

// checker sends requests and checks that answers are consistent and contain the
// best results of the shards that they cover, that verdicts agree with the
// backend servers' records, and that requests that are not idempotent run at
// most once.
type checker struct {
	testFleet *fleet.Fleet
	// shards holds the number of shards of each snapshot.
	shards map[string]int

	mu         sync.Mutex
	violations []string
	// wholeAnswers counts answers that cover all shards.
	wholeAnswers int
	// answers holds all answers by request ID.
	answers map[string][]*answer.Answer
	// seals holds the IDs of requests of the kind Seal, which is not idempotent.
	seals map[string]bool
}

func newChecker(testFleet *fleet.Fleet) *checker {
	return &checker{testFleet: testFleet, shards: map[string]int{"S1": testShards}, answers: make(map[string][]*answer.Answer), seals: make(map[string]bool)}
}

func (checker *checker) addViolation(format string, args ...any) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.violations = append(checker.violations, fmt.Sprintf(format, args...))
}

// send sends one request to the host at hostIndex and checks the answer. A
// transport error counts as an answer with the verdict MayHaveRun.
func (checker *checker) send(hostIndex int, request answer.Request) *answer.Answer {
	request.Service = "Desk"
	request.Limit = resultLimit
	got, err := checker.testFleet.Hosts[hostIndex].Query(request)
	if err != nil {
		got = &answer.Answer{RequestID: request.RequestID, Verdict: verdict.MayHaveRun.String(), Code: string(verdict.ConnectionLost)}
	}
	checker.check(request, got)
	return got
}

// check checks that an answer is consistent in itself and has the results that
// its shards return.
func (checker *checker) check(request answer.Request, got *answer.Answer) {
	checker.mu.Lock()
	checker.answers[request.RequestID] = append(checker.answers[request.RequestID], got)
	if request.Kind == "Seal" {
		checker.seals[request.RequestID] = true
	}
	shards := checker.shards[got.Snapshot]
	if got.Code == "" && got.ShardsCovered == got.ShardsAsked {
		checker.wholeAnswers++
	}
	checker.mu.Unlock()
	if got.RequestID != request.RequestID {
		checker.addViolation("request %s got the answer to request %s", request.RequestID, got.RequestID)
	}
	if got.Code != "" {
		if len(got.Results) > 0 {
			checker.addViolation("request %s failed and has results", request.RequestID)
		}
		return
	}
	if request.Kind == "Seal" {
		shards = 1
	}
	if got.ShardsAsked != shards || got.ShardsCovered+len(got.Missing) != shards {
		checker.addViolation("request %s: %d covered and %d missing of %d shards, asked %d", request.RequestID, got.ShardsCovered, len(got.Missing), shards, got.ShardsAsked)
	}
	if request.Kind != "Seal" {
		checker.checkResults(request, got)
	}
}

// checkResults checks that an answer contains the best results of exactly the
// shards that it reports as covered, from the snapshot that it names and for
// the text of the request.
func (checker *checker) checkResults(request answer.Request, got *answer.Answer) {
	missing := make(map[int]bool)
	for _, shard := range got.Missing {
		missing[shard.Shard] = true
	}
	var want []answer.Result
	for shard := range got.ShardsAsked {
		if missing[shard] {
			continue
		}
		for index := range resultLimit {
			hit := standin.Hit(got.Snapshot, shard, index, request.Text)
			want = append(want, answer.Result{ID: hit.ID, Score: hit.Score, Shard: shard, Snapshot: got.Snapshot})
		}
	}
	slices.SortFunc(want, func(a, b answer.Result) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	want = want[:min(resultLimit, len(want))]
	if !slices.Equal(got.Results, want) {
		checker.addViolation("request %s: results %v, want %v", request.RequestID, got.Results, want)
	}
}

// countRuns returns, by request ID, how often requests ran on all backend
// servers.
func (checker *checker) countRuns() map[string]int {
	total := make(map[string]int)
	for _, server := range checker.testFleet.Servers {
		for id, count := range server.Record().Requests {
			total[id] += count
		}
	}
	return total
}

// checkVerdicts compares verdicts with the backend servers' records of runs.
func (checker *checker) checkVerdicts() {
	runs := checker.countRuns()
	for id, answers := range checker.answers {
		notRun, ran := true, false
		for _, got := range answers {
			notRun = notRun && got.Verdict == verdict.NotRun.String()
			ran = ran || got.Verdict == verdict.Ran.String()
		}
		if notRun && runs[id] > 0 {
			checker.addViolation("request %s has verdict NotRun but ran %d times", id, runs[id])
		}
		if ran && runs[id] == 0 {
			checker.addViolation("request %s has verdict Ran but did not run", id)
		}
		if checker.seals[id] && runs[id] > 1 {
			checker.addViolation("request %s is not idempotent but ran %d times", id, runs[id])
		}
	}
}

// sendTraffic sends a mix of requests through all hosts concurrently. About a
// fifth of the requests of the kind Seal are sent a second time with the same
// ID through another host, and must not run twice.
func (checker *checker) sendTraffic(idPrefix string, rounds int) {
	var group sync.WaitGroup
	for client := range 8 {
		group.Go(func() {
			for round := range rounds {
				id := fmt.Sprintf("%s-%d-%d", idPrefix, client, round)
				kind := []string{"Lookup", "Pull", "Seal", "Lookup"}[round%4]
				request := answer.Request{RequestID: id, Kind: kind, Text: id, Key: id}
				hostIndex := (client + round) % len(checker.testFleet.Hosts)
				checker.send(hostIndex, request)
				if kind == "Seal" && (client+round)%5 == 0 {
					checker.send((hostIndex+1)%len(checker.testFleet.Hosts), request)
				}
			}
		})
	}
	group.Wait()
}

// assert fails the test if there are violations or fewer whole answers than
// minWhole.
func (checker *checker) assert(t *testing.T, minWhole int) {
	checker.checkVerdicts()
	qt.Assert(t, checker.violations, qt.HasLen, 0)
	qt.Assert(t, checker.wholeAnswers >= minWhole, qt.IsTrue, qt.Commentf("%d whole answers, want %d", checker.wholeAnswers, minWhole))
}

// activateSnapshot submits a configuration in which a snapshot with another
// number of shards, on the same backend servers, comes first.
func activateSnapshot(t *testing.T, testFleet *fleet.Fleet, baseVersion uint64, name string, shards int) {
	spec := testFleet.Configuration.Services["Desk"]
	snapshot := service.Snapshot{Name: name, Shards: shards}
	for index, replica := range spec.Snapshots[0].Replicas {
		replica.Shard = index % shards
		snapshot.Replicas = append(snapshot.Replicas, replica)
	}
	spec.Snapshots = append([]service.Snapshot{snapshot}, spec.Snapshots...)
	merge, err := json.Marshal(map[string]any{"Services": map[string]any{"Desk": spec}})
	qt.Assert(t, err, qt.IsNil)
	reply, err := testFleet.Patch(0, patch.Patch{PatchID: name, Against: baseVersion, Merge: merge})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Outcome, qt.Equals, patch.Accepted, qt.Commentf("%+v", reply))
}
