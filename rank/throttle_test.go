package rank_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fescuehall/rank"
)

// runLoad sends ten requests a second of each of two ranks through a throttle.
// It returns the share of each rank's requests that was admitted in the last
// five seconds. inTime reports whether an admitted request is answered in time.
func runLoad(throttle *rank.Throttle, now *time.Time, seconds int, inTime func(rank int) bool) [2]float64 {
	var admitted, total [2]float64
	for step := range seconds * 10 {
		for rank := range 2 {
			ok, _ := throttle.Admit(rank, "")
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
		admitted, _ := throttle.Admit(1, "")
		qt.Assert(t, admitted, qt.IsTrue)
	}
}

// formerThrottle is the throttle of release fd48fb6, which knew no workspaces.
type formerThrottle struct {
	now    func() time.Time
	random func() float64
	ranks  map[int]*formerCounts
}

type formerCounts struct {
	refused, completed, inTime float64
	updatedAt                  time.Time
}

func (throttle *formerThrottle) counts(rank int) *formerCounts {
	now := throttle.now()
	counts := throttle.ranks[rank]
	if counts == nil {
		counts = &formerCounts{updatedAt: now}
		throttle.ranks[rank] = counts
	}
	factor := math.Exp2(-float64(now.Sub(counts.updatedAt)) / float64(1500*time.Millisecond))
	counts.refused *= factor
	counts.completed *= factor
	counts.inTime *= factor
	counts.updatedAt = now
	return counts
}

func (throttle *formerThrottle) admit(rank int) (bool, float64) {
	counts := throttle.counts(rank)
	factor := 1.0
	for other := range throttle.ranks {
		if other >= rank {
			continue
		}
		if urgent := throttle.counts(other); urgent.completed >= 3 {
			factor = min(factor, 2.2*urgent.inTime/urgent.completed)
		}
	}
	accepted := counts.inTime * 2.2 * factor
	total := counts.completed + counts.refused
	chance := max(0, (total-accepted-3)/(total+1))
	if throttle.random() < chance {
		counts.refused++
		return false, chance
	}
	return true, chance
}

func (throttle *formerThrottle) recordResult(rank int, inTime bool) {
	counts := throttle.counts(rank)
	counts.completed++
	if inTime {
		counts.inTime++
	}
}

// Without workspaces, every decision is that of the former throttle, to the last bit of
// the probability, with the same random numbers.
func TestThrottleWithoutWorkspacesIsAsBefore(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		throttle, now := newThrottle()
		throttle.Random = rand.New(rand.NewPCG(seed, 1)).Float64
		former := &formerThrottle{now: throttle.Now, random: rand.New(rand.NewPCG(seed, 1)).Float64, ranks: make(map[int]*formerCounts)}
		for range rapid.IntRange(1, 300).Draw(r, "steps") {
			rank := rapid.IntRange(0, 2).Draw(r, "rank")
			admitted, chance := throttle.Admit(rank, "")
			wantAdmitted, wantChance := former.admit(rank)
			if admitted != wantAdmitted || chance != wantChance {
				r.Fatalf("%v with %v, want %v with %v", admitted, chance, wantAdmitted, wantChance)
			}
			if admitted {
				inTime := rapid.IntRange(0, 3).Draw(r, "in time") == 0
				throttle.RecordResult(rank, inTime)
				former.recordResult(rank, inTime)
			}
			*now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(r, "ms")) * time.Millisecond)
		}
	})
}

// Load: two ranks, of which the less urgent one has room for 2 of 11; in each, one workspace sends ten
// times as much as another. The more urgent rank is admitted whole, also the requests of
// the workspace that sends most; of the other rank, that workspace is refused first.
func TestRankGoesBeforeShares(t *testing.T) {
	throttle, now := newThrottle()
	type sender struct {
		rank      int
		workspace string
	}
	sent, admitted := make(map[sender]float64), make(map[sender]float64)
	for range 3000 {
		done := 0
		for _, sender := range []sender{{0, "small"}, {0, "hot"}, {1, "small"}, {1, "hot"}} {
			times := 1
			if sender.workspace == "hot" {
				times = 10
			}
			for range times {
				sent[sender]++
				if ok, _ := throttle.Admit(sender.rank, sender.workspace); ok {
					admitted[sender]++
					done += sender.rank
					throttle.RecordResult(sender.rank, done <= 2)
				}
			}
		}
		*now = now.Add(20 * time.Millisecond)
	}
	share := func(rank int, workspace string) float64 {
		return admitted[sender{rank, workspace}] / sent[sender{rank, workspace}]
	}
	qt.Check(t, share(0, "small"), qt.Equals, 1.0)
	qt.Check(t, share(0, "hot"), qt.Equals, 1.0)
	qt.Check(t, share(1, "small") > 0.95, qt.IsTrue, qt.Commentf("%.3f", share(1, "small")))
	qt.Check(t, share(1, "hot") > 0.2 && share(1, "hot") < 0.6, qt.IsTrue, qt.Commentf("%.3f", share(1, "hot")))
}

// Load: workspaces with ten thousand ranks, each used once a minute. Ranks without recent
// requests leave nothing.
func TestIdleRanksLeaveNothing(t *testing.T) {
	throttle, now := newThrottle()
	for number := range 10_000 {
		throttle.Admit(number, "w")
		throttle.RecordResult(number, true)
		*now = now.Add(100 * time.Millisecond)
	}
	qt.Assert(t, throttle.Ranks() < 400, qt.IsTrue, qt.Commentf("%d ranks", throttle.Ranks()))
}

// RefusalProbability is that of the next request, and asking for it changes nothing.
func TestRefusalProbability(t *testing.T) {
	throttle, now := newThrottle()
	for step := range 400 {
		*now = now.Add(10 * time.Millisecond)
		number := step % 3
		workspace := []string{"", "small", "large", "large"}[step%4]
		if step%40 == 0 {
			workspace = "new"
		}
		var expected float64
		for range 5 {
			expected = throttle.RefusalProbability(number, workspace)
		}
		admitted, probability := throttle.Admit(number, workspace)
		qt.Assert(t, probability, qt.Equals, expected)
		if admitted {
			throttle.RecordResult(number, step%5 == 0)
		}
	}
	ranks := throttle.Ranks()
	throttle.RefusalProbability(77, "other")
	qt.Assert(t, throttle.Ranks(), qt.Equals, ranks)
}
