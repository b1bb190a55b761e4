package answer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/answer"
	"fescuehall/verdict"
)

func result(shard int, id string, score float64) answer.Result {
	return answer.Result{ID: id, Score: score, Shard: shard, Snapshot: "S1"}
}

func resultIDs(got *answer.Answer) []string {
	var ids []string
	for _, result := range got.Results {
		ids = append(ids, result.ID)
	}
	return ids
}

func ExampleMerger() {
	merger := answer.NewMerger("S1", 2, 2)
	if err := merger.Add(0, []answer.Result{{ID: "a", Score: 1, Shard: 0, Snapshot: "S1"}}); err != nil {
		fmt.Println(err)
	}
	merger.AddFailure(1, verdict.New(verdict.NotRun, verdict.Overload, "queue is full"))
	got := merger.Answer()
	fmt.Println(got.ShardsCovered, "of", got.ShardsAsked, got.Missing[0].Code)
	// Output: 1 of 2 Overload
}

// Results with equal scores have the same order whatever the order in which the
// shards arrive.
func TestOrderDoesNotDependOnArrival(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	want := []string{"b", "a", "c", "d"}
	for range 20 {
		merger := answer.NewMerger("S1", 4, 4)
		results := [][]answer.Result{{result(0, "a", 5)}, {result(1, "b", 9)}, {result(2, "c", 5)}, {result(3, "d", 5), result(3, "e", 1)}}
		for _, shard := range random.Perm(4) {
			qt.Assert(t, merger.Add(shard, results[shard]), qt.IsNil)
		}
		qt.Assert(t, resultIDs(merger.Answer()), qt.DeepEquals, want)
	}
}

func TestAddRejectsWrongResults(t *testing.T) {
	tests := []struct {
		name    string
		shard   int
		results []answer.Result
		want    string
	}{
		{name: "result of another snapshot", shard: 1, results: []answer.Result{{ID: "x", Shard: 1, Snapshot: "S2"}}, want: `result "x" is from shard 1 of snapshot "S2", want 1 of "S1"`},
		{name: "result of another shard", shard: 1, results: []answer.Result{result(0, "x", 1)}, want: `result "x" is from shard 0 of snapshot "S1", want 1 of "S1"`},
		{name: "shard that was already merged", shard: 0, results: []answer.Result{result(0, "x", 1)}, want: `shard 0 of snapshot "S1" was already merged`},
		{name: "unknown shard", shard: 2, want: `shard 2 does not exist in snapshot "S1"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			merger := answer.NewMerger("S1", 2, 10)
			qt.Assert(t, merger.Add(0, []answer.Result{result(0, "first", 1)}), qt.IsNil)
			qt.Assert(t, merger.Add(test.shard, test.results), qt.ErrorMatches, test.want)
			qt.Assert(t, resultIDs(merger.Answer()), qt.DeepEquals, []string{"first"})
			qt.Assert(t, merger.CoveredCount(), qt.Equals, 1)
		})
	}
}

func TestCombinedVerdict(t *testing.T) {
	notRun := verdict.New(verdict.NotRun, verdict.Overload, "")
	mayHaveRun := verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "")
	tests := []struct {
		name     string
		failures []*verdict.Failure
		want     verdict.Verdict
	}{
		{name: "no shard ran", failures: []*verdict.Failure{notRun, notRun}, want: verdict.NotRun},
		{name: "one shard may have run", failures: []*verdict.Failure{notRun, mayHaveRun}, want: verdict.MayHaveRun},
		{name: "one shard has not replied", failures: []*verdict.Failure{notRun, nil}, want: verdict.MayHaveRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			merger := answer.NewMerger("S1", 2, 10)
			for shard, failure := range test.failures {
				if failure != nil {
					merger.AddFailure(shard, failure)
				}
			}
			qt.Assert(t, merger.Verdict(), qt.Equals, test.want)
		})
	}
}
