package rank_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/rank"
)

// load runs requests of two ranks through a throttle, ten a second each, and
// returns the share of each rank that was admitted in the last five seconds.
// inTime says which admitted requests are.
func load(throttle *rank.Throttle, now *time.Time, seconds int, inTime func(rank int) bool) [2]float64 {
	var admitted, asked [2]float64
	for step := range seconds * 10 {
		for rank := range 2 {
			ok, _ := throttle.Admit(rank)
			if step >= (seconds-5)*10 {
				asked[rank]++
				if ok {
					admitted[rank]++
				}
			}
			if ok {
				throttle.Done(rank, inTime(rank))
			}
		}
		*now = now.Add(100 * time.Millisecond)
	}
	return [2]float64{admitted[0] / asked[0], admitted[1] / asked[1]}
}

func newThrottle() (*rank.Throttle, *time.Time) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	return &rank.Throttle{Now: func() time.Time { return now }, Random: random.Float64}, &now
}

func TestThrottle(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	chance := func(share float64) bool { return random.Float64() < share }
	tests := []struct {
		name   string
		inTime func(rank int) bool
		// least and most of each rank that is admitted.
		least, most [2]float64
	}{
		{name: "all in time", inTime: func(int) bool { return true }, least: [2]float64{1, 1}, most: [2]float64{1, 1}},
		{name: "chance misses", inTime: func(int) bool { return chance(0.8) }, least: [2]float64{1, 0.95}, most: [2]float64{1, 1}},
		{name: "less urgent late", inTime: func(rank int) bool { return rank == 0 }, least: [2]float64{1, 0.05}, most: [2]float64{1, 0.5}},
		{name: "urgent late", inTime: func(rank int) bool { return rank == 1 }, least: [2]float64{0.05, 0.05}, most: [2]float64{0.5, 0.5}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			throttle, now := newThrottle()
			got := load(throttle, now, 15, test.inTime)
			for rank := range 2 {
				qt.Check(t, got[rank] >= test.least[rank] && got[rank] <= test.most[rank], qt.IsTrue, qt.Commentf("rank %d: %.2f admitted", rank, got[rank]))
			}
		})
	}
}

// What was refused in a bad time is admitted again after it.
func TestThrottleRecovers(t *testing.T) {
	throttle, now := newThrottle()
	bad := load(throttle, now, 15, func(int) bool { return false })
	good := load(throttle, now, 15, func(int) bool { return true })
	qt.Assert(t, bad[1] < 0.5, qt.IsTrue, qt.Commentf("%v", bad))
	qt.Assert(t, good, qt.DeepEquals, [2]float64{1, 1})
}

// Requests that still run are not late: slow work is not refused because much
// of it runs at the same time.
func TestRunningRequestsAreNotLate(t *testing.T) {
	throttle, _ := newThrottle()
	for range 100 {
		admitted, _ := throttle.Admit(1)
		qt.Assert(t, admitted, qt.IsTrue)
	}
}
