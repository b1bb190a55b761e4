package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fescuehall/retry"
)

// Whatever the order of first and extra sub-requests, the extra ones never
// exceed the ratio by more than the burst.
func TestBudgetBoundsExtraLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := &retry.Budget{Ratio: 0.05, Burst: 20}
		for _, count := range rapid.SliceOf(rapid.IntRange(0, 40)).Draw(t, "counts") {
			budget.First(count)
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

func TestBudgetSavesUpToItsBurst(t *testing.T) {
	budget := &retry.Budget{Ratio: 0.5, Burst: 3}
	budget.First(100)
	taken := 0
	for budget.Take() {
		taken++
	}
	qt.Assert(t, taken, qt.Equals, 3)
}

func TestRefundIsTakenAgain(t *testing.T) {
	budget := &retry.Budget{Ratio: 1, Burst: 1}
	budget.First(1)
	qt.Assert(t, budget.Take(), qt.IsTrue)
	qt.Assert(t, budget.Take(), qt.IsFalse)
	budget.Refund()
	qt.Assert(t, budget.Take(), qt.IsTrue)
	_, extra, _ := budget.Counts()
	qt.Assert(t, extra, qt.Equals, uint64(1))
}

func TestDelayFollowsTheQuantile(t *testing.T) {
	delay := &retry.Delay{Quantile: 95, Least: time.Millisecond}
	_, known := delay.After()
	qt.Assert(t, known, qt.IsFalse)
	for place := range 500 {
		delay.Add(time.Duration(place%100) * time.Millisecond)
	}
	after, known := delay.After()
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, after > 90*time.Millisecond && after < 99*time.Millisecond, qt.IsTrue, qt.Commentf("%v", after))
}

// Parts of a sub-request that many hosts save up are spent as chances, which add
// up to the whole and no more.
func TestPartsAreChances(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const hosts, burst, earned = 1000, 0.3, 0.5
	taken := 0
	for range hosts {
		budget := &retry.Budget{Ratio: earned, Burst: burst, Full: true, Random: random.Float64}
		for range 5 {
			budget.First(1)
			for range 3 {
				if budget.Take() {
					taken++
				}
			}
		}
	}
	// Each of the five requests fills the budget to its burst.
	const most = hosts * 5 * burst
	qt.Assert(t, taken > most*0.9 && taken < most*1.1, qt.IsTrue, qt.Commentf("%d taken of %v", taken, most))
	// Without chances a part of one is of no use.
	whole := &retry.Budget{Ratio: earned, Burst: burst, Full: true}
	whole.First(10)
	qt.Assert(t, whole.Take(), qt.IsFalse)
}
