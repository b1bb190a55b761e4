package answer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/answer"
	"fescuehall/verdict"
)

func hit(shard int, id string, score float64) answer.Result {
	return answer.Result{ID: id, Score: score, Shard: shard, Snapshot: "S1"}
}

func ids(got *answer.Answer) []string {
	var all []string
	for _, result := range got.Results {
		all = append(all, result.ID)
	}
	return all
}

func ExampleMerger() {
	merger := answer.NewMerger("S1", 2, 2)
	if err := merger.Add(0, []answer.Result{{ID: "a", Score: 1, Shard: 0, Snapshot: "S1"}}); err != nil {
		fmt.Println(err)
	}
	merger.Miss(1, verdict.New(verdict.NotRun, verdict.Overload, "queue is full"))
	got := merger.Answer()
	fmt.Println(got.ShardsCovered, "of", got.ShardsAsked, got.Missing[0].Code)
	// Output: 1 of 2 Overload
}

// Ties are broken the same way whatever the order of arrival.
func TestMergeOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	want := []string{"b", "a", "c", "d"}
	for range 20 {
		merger := answer.NewMerger("S1", 4, 4)
		parts := [][]answer.Result{{hit(0, "a", 5)}, {hit(1, "b", 9)}, {hit(2, "c", 5)}, {hit(3, "d", 5), hit(3, "e", 1)}}
		for _, shard := range random.Perm(4) {
			qt.Assert(t, merger.Add(shard, parts[shard]), qt.IsNil)
		}
		qt.Assert(t, ids(merger.Answer()), qt.DeepEquals, want)
	}
}

func TestMergeRefuses(t *testing.T) {
	tests := []struct {
		name    string
		shard   int
		results []answer.Result
		want    string
	}{
		{name: "another snapshot", shard: 1, results: []answer.Result{{ID: "x", Shard: 1, Snapshot: "S2"}}, want: `result "x" is from shard 1 of snapshot "S2", want 1 of "S1"`},
		{name: "another shard", shard: 1, results: []answer.Result{hit(0, "x", 1)}, want: `result "x" is from shard 0 of snapshot "S1", want 1 of "S1"`},
		{name: "a shard again", shard: 0, results: []answer.Result{hit(0, "x", 1)}, want: `shard 0 of snapshot "S1" was merged before`},
		{name: "an unknown shard", shard: 2, want: `shard 2 does not exist in snapshot "S1"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			merger := answer.NewMerger("S1", 2, 10)
			qt.Assert(t, merger.Add(0, []answer.Result{hit(0, "first", 1)}), qt.IsNil)
			qt.Assert(t, merger.Add(test.shard, test.results), qt.ErrorMatches, test.want)
			qt.Assert(t, ids(merger.Answer()), qt.DeepEquals, []string{"first"})
			qt.Assert(t, merger.Covered(), qt.Equals, 1)
		})
	}
}

func TestMergedVerdict(t *testing.T) {
	notRun := verdict.New(verdict.NotRun, verdict.Overload, "")
	mayHave := verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "")
	tests := []struct {
		name   string
		missed []*verdict.Failure
		want   verdict.Verdict
	}{
		{name: "none has run", missed: []*verdict.Failure{notRun, notRun}, want: verdict.NotRun},
		{name: "one may have run", missed: []*verdict.Failure{notRun, mayHave}, want: verdict.MayHaveRun},
		{name: "one is not known", missed: []*verdict.Failure{notRun, nil}, want: verdict.MayHaveRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			merger := answer.NewMerger("S1", 2, 10)
			for shard, failure := range test.missed {
				if failure != nil {
					merger.Miss(shard, failure)
				}
			}
			qt.Assert(t, merger.Verdict(), qt.Equals, test.want)
		})
	}
}
