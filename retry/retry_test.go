package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fescuehall/retry"
)

// A budget that starts empty never allows more extra sub-requests than its
// ratio of the first ones, whatever the order of first and extra sub-requests.
func TestBudgetLimitsExtraLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := &retry.Budget{Ratio: 0.05, Burst: 20}
		for _, count := range rapid.SliceOf(rapid.IntRange(0, 40)).Draw(t, "counts") {
			budget.RecordFirst(count)
			for range count {
				budget.Take()
			}
		}
		first, extra, _ := budget.Counts()
		if float64(extra) > 0.05*float64(first) {
			t.Fatalf("%d extra sub-requests for %d first ones", extra, first)
		}
	})
}

func TestTokensAreLimitedToBurst(t *testing.T) {
	budget := &retry.Budget{Ratio: 0.5, Burst: 3}
	budget.RecordFirst(100)
	taken := 0
	for budget.Take() {
		taken++
	}
	qt.Assert(t, taken, qt.Equals, 3)
}

func TestRefundedTokenIsAvailable(t *testing.T) {
	budget := &retry.Budget{Ratio: 1, Burst: 1}
	budget.RecordFirst(1)
	qt.Assert(t, budget.Take(), qt.IsTrue)
	qt.Assert(t, budget.Take(), qt.IsFalse)
	budget.Refund()
	qt.Assert(t, budget.Take(), qt.IsTrue)
	_, extra, _ := budget.Counts()
	qt.Assert(t, extra, qt.Equals, uint64(1))
}

func TestHedgeDelayIsTheQuantile(t *testing.T) {
	hedgeDelay := &retry.HedgeDelay{Quantile: 95, Min: time.Millisecond}
	_, ok := hedgeDelay.Current()
	qt.Assert(t, ok, qt.IsFalse)
	for i := range 500 {
		hedgeDelay.Add(time.Duration(i%100) * time.Millisecond)
	}
	delay, ok := hedgeDelay.Current()
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, delay > 90*time.Millisecond && delay < 99*time.Millisecond, qt.IsTrue, qt.Commentf("%v", delay))
}

// Guards against more extra sub-requests than the ratio allows by chance: on one host
// that earns and spends fractions of a token, they add up to the tokens earned.
func TestFractionsOfOneHostAddUp(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const requests, ratio = 1000, 0.19
	budget := &retry.Budget{Ratio: ratio, Burst: 10, Random: random.Float64}
	taken := 0
	for first := range requests {
		budget.RecordFirst(1)
		if budget.Take() {
			taken++
		}
		qt.Assert(t, float64(taken) <= ratio*float64(first+1)+1, qt.IsTrue, qt.Commentf("%d taken after %d requests", taken, first+1))
	}
	qt.Assert(t, float64(taken) >= ratio*requests-1, qt.IsTrue, qt.Commentf("%d taken", taken))
}

// Hosts that share a budget begin with random fractions of a token. Over all hosts,
// the extra sub-requests add up to the tokens earned.
func TestFractionsOfManyHostsAddUp(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const hosts, burst, ratio = 1000, 0.3, 0.5
	taken := 0
	for range hosts {
		budget := &retry.Budget{Ratio: ratio, Burst: burst, StartFull: true, Random: random.Float64}
		for range 5 {
			budget.RecordFirst(1)
			for range 3 {
				if budget.Take() {
					taken++
				}
			}
		}
	}
	// Each of the five first sub-requests fills the budget up to its burst.
	const expected = hosts * 5 * burst
	qt.Assert(t, taken > expected*0.9 && taken < expected*1.1, qt.IsTrue, qt.Commentf("%d taken of %v", taken, expected))
	// Without Random a fraction of a token can't be spent.
	withoutRandom := &retry.Budget{Ratio: ratio, Burst: burst, StartFull: true}
	withoutRandom.RecordFirst(10)
	qt.Assert(t, withoutRandom.Take(), qt.IsFalse)
}

// A host may need an extra sub-request to a service before it has sent the
// first one, which a peer sends on its behalf.
func TestBudgetIsFullBeforeTheFirstSubRequest(t *testing.T) {
	budget := &retry.Budget{Ratio: 0.2, Burst: 2, StartFull: true}
	qt.Assert(t, []bool{budget.Take(), budget.Take(), budget.Take()}, qt.DeepEquals, []bool{true, true, false})
	budget.RecordFirst(1)
	qt.Assert(t, budget.Take(), qt.IsFalse)
}
