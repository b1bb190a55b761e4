package rank_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/rank"
)

// runLoad sends ten requests a second of each of two ranks through a throttle.
// It returns the share of each rank's requests that was admitted in the last
// five seconds. inTime reports whether an admitted request is answered in time.
func runLoad(throttle *rank.Throttle, now *time.Time, seconds int, inTime func(rank int) bool) [2]float64 {
	var admitted, total [2]float64
	for step := range seconds * 10 {
		for rank := range 2 {
			ok, _ := throttle.Admit(rank)
			if step >= (seconds-5)*10 {
				total[rank]++
				if ok {
					admitted[rank]++
				}
			}
			if ok {
				throttle.RecordResult(rank, inTime(rank))
			}
		}
		*now = now.Add(100 * time.Millisecond)
	}
	return [2]float64{admitted[0] / total[0], admitted[1] / total[1]}
}

func newThrottle() (*rank.Throttle, *time.Time) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	return &rank.Throttle{Now: func() time.Time { return now }, Random: random.Float64}, &now
}

func TestThrottle(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	withProbability := func(probability float64) bool { return random.Float64() < probability }
	tests := []struct {
		name   string
		inTime func(rank int) bool
		// minAdmitted and maxAdmitted limit the admitted share of each rank.
		minAdmitted, maxAdmitted [2]float64
	}{
		{name: "all in time", inTime: func(int) bool { return true }, minAdmitted: [2]float64{1, 1}, maxAdmitted: [2]float64{1, 1}},
		{name: "some late at random", inTime: func(int) bool { return withProbability(0.8) }, minAdmitted: [2]float64{1, 0.95}, maxAdmitted: [2]float64{1, 1}},
		{name: "less urgent rank late", inTime: func(rank int) bool { return rank == 0 }, minAdmitted: [2]float64{1, 0.05}, maxAdmitted: [2]float64{1, 0.5}},
		{name: "more urgent rank late", inTime: func(rank int) bool { return rank == 1 }, minAdmitted: [2]float64{0.05, 0.05}, maxAdmitted: [2]float64{0.5, 0.5}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			throttle, now := newThrottle()
			shares := runLoad(throttle, now, 15, test.inTime)
			for rank := range 2 {
				qt.Check(t, shares[rank] >= test.minAdmitted[rank] && shares[rank] <= test.maxAdmitted[rank], qt.IsTrue, qt.Commentf("rank %d: %.2f admitted", rank, shares[rank]))
			}
		})
	}
}

// After a period in which all requests were late, all are admitted again.
func TestThrottleRecovers(t *testing.T) {
	throttle, now := newThrottle()
	duringOverload := runLoad(throttle, now, 15, func(int) bool { return false })
	afterOverload := runLoad(throttle, now, 15, func(int) bool { return true })
	qt.Assert(t, duringOverload[1] < 0.5, qt.IsTrue, qt.Commentf("%v", duringOverload))
	qt.Assert(t, afterOverload, qt.DeepEquals, [2]float64{1, 1})
}

// Running requests don't count as late: slow requests are not refused just
// because many of them run at the same time.
func TestRunningRequestsAreNotLate(t *testing.T) {
	throttle, _ := newThrottle()
	for range 100 {
		admitted, _ := throttle.Admit(1)
		qt.Assert(t, admitted, qt.IsTrue)
	}
}
