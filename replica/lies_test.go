package replica_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fescuehall/estimate"
	"fescuehall/replica"
)

// lieStep is the time between picks, and that of honest replicas.
const lieStep = 10 * time.Millisecond

// picksWithLiar counts picks of three replicas, one of which reports what loadOf
// returns.
func picksWithLiar(picks int, latency time.Duration, loadOf func() estimate.Load) map[string]int {
	picker, clock := newPicker()
	picker.Distance = func(string) time.Duration { return 0 }
	addresses := []string{"liar", "first", "second"}
	counts := make(map[string]int)
	for range picks {
		picked := addresses[picker.Pick(addresses)]
		counts[picked]++
		clock.now = clock.now.Add(lieStep)
		result := replica.Result{Latency: lieStep, Load: estimate.Load{Running: 1, Slots: 2, Slowness: 100}}
		if picked == "liar" {
			result = replica.Result{Latency: latency, Load: loadOf()}
		}
		picker.Done(picked, result)
	}
	return counts
}

func TestFalseLoadReports(t *testing.T) {
	tests := []struct {
		name    string
		load    estimate.Load
		latency time.Duration
		// min and max bound the liar's picks.
		min, max int
	}{
		{name: "none", latency: lieStep, min: 1000, max: 3000},
		{name: "frozen at idle", load: estimate.Load{Slots: 2, Slowness: 100}, latency: lieStep, min: 1000, max: 3000},
		{name: "idle and slow", load: estimate.Load{Slots: 100, Slowness: 100}, latency: 10 * lieStep, min: 3, max: 100},
		{name: "fast and slow", load: estimate.Load{Slots: 100, Slowness: 1}, latency: 10 * lieStep, min: 3, max: 100},
		{name: "negative", load: estimate.Load{Running: math.MinInt, Waiting: math.MinInt, Slots: math.MinInt, Slowness: math.MinInt}, latency: lieStep, min: 1000, max: 3000},
		{name: "huge queue", load: estimate.Load{Waiting: math.MaxInt}, latency: lieStep, min: 3, max: 100},
		{name: "huge slowness", load: estimate.Load{Slowness: math.MaxInt}, latency: lieStep, min: 1000, max: 5800},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			counts := picksWithLiar(6000, test.latency, func() estimate.Load { return test.load })
			qt.Assert(t, counts["liar"] >= test.min && counts["liar"] <= test.max, qt.IsTrue, qt.Commentf("%v", counts))
			qt.Assert(t, min(counts["first"], counts["second"]) >= 3, qt.IsTrue, qt.Commentf("%v", counts))
		})
	}
}

// Whatever a replica reports, each replica gets some requests within 15 s.
func TestNoReportStarvesAReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) estimate.Load {
			return estimate.Load{Running: rapid.Int().Draw(t, "running"), Waiting: rapid.Int().Draw(t, "waiting"), Slots: rapid.Int().Draw(t, "slots"), Slowness: rapid.Int().Draw(t, "slowness")}
		}), 1, 20).Draw(t, "loads")
		next := 0
		counts := picksWithLiar(1500, lieStep, func() estimate.Load {
			next++
			return loads[next%len(loads)]
		})
		for _, name := range []string{"liar", "first", "second"} {
			if counts[name] < 1 {
				t.Fatalf("picks %v", counts)
			}
		}
	})
}

// A replica that is silent while it has requests gets no more than the others, and one
// that has replied since gets its share again.
func TestPickAvoidsASilentReplica(t *testing.T) {
	picker, clock := newPicker()
	picker.Distance = func(string) time.Duration { return 0 }
	addresses := []string{"silent", "good"}
	result := replica.Result{Latency: 10 * time.Millisecond}
	for _, address := range addresses {
		picker.Start(address)
		picker.Done(address, result)
	}
	picker.Start("silent")
	picker.Start("good")
	picker.Start("good")
	// With fresh figures, the one with fewer requests is preferred.
	clock.now = clock.now.Add(5 * time.Millisecond)
	qt.Assert(t, picker.Pick(addresses), qt.Equals, 0)
	clock.now = clock.now.Add(100 * time.Millisecond)
	picker.Done("good", result)
	for range 2 {
		qt.Assert(t, picker.Pick(addresses), qt.Equals, 1)
	}
	for range 2 {
		picker.Done("silent", result)
	}
	qt.Assert(t, picker.Pick(addresses), qt.Equals, 0)
}

// A request that never ends doesn't keep all others away.
func TestSilenceIsBounded(t *testing.T) {
	picker, clock := newPicker()
	picker.Start("stuck")
	clock.now = clock.now.Add(time.Hour)
	qt.Assert(t, picker.Status("stuck").Silence, qt.Equals, time.Second)
}

// Explain and Status change no state, and say what Pick does.
func TestExplain(t *testing.T) {
	picker, clock := newPicker()
	picker.Distance = func(address string) time.Duration { return time.Duration(len(address)) * time.Millisecond }
	picker.Suspected = func(address string) bool { return address == "late" }
	addresses := []string{"new", "slow", "late", "gone"}
	picker.Start("slow")
	picker.Done("slow", replica.Result{Latency: 40 * time.Millisecond, Load: estimate.Load{Running: 1, Waiting: 2, Slots: 2}})
	picker.Start("slow")
	picker.Start("gone")
	picker.Done("gone", replica.Result{Failed: true, Unreachable: true})
	clock.now = clock.now.Add(30 * time.Millisecond)
	first := picker.Explain(addresses)
	qt.Assert(t, picker.Explain(addresses), qt.DeepEquals, first)
	qt.Assert(t, first[0].Outstanding == 0 && first[0].Parts.OwnAge < 0 && first[0].Ramp == 1, qt.IsTrue)
	qt.Assert(t, []any{first[1].Outstanding, first[1].Silence, first[1].Parts.OwnAge, first[1].Average, first[1].Parts.Waiting}, qt.DeepEquals,
		[]any{1, 30 * time.Millisecond, 30 * time.Millisecond, 40 * time.Millisecond, 2.0})
	qt.Assert(t, first[2].Suspected && first[2].Score > 80*time.Millisecond, qt.IsTrue)
	qt.Assert(t, first[3].Ejected && first[3].Distance == 4*time.Millisecond, qt.IsTrue)
	qt.Assert(t, picker.Pick(addresses), qt.Equals, 0)
}
