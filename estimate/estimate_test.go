package estimate_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fescuehall/estimate"
)

var now = time.Unix(1000, 0)

const msec = time.Millisecond

// sampled is an estimate after replies that took the given times, a millisecond apart.
func sampled(latencies ...time.Duration) estimate.Estimate {
	var sampled estimate.Estimate
	for i, latency := range latencies {
		sampled = sampled.WithSample(latency, now.Add(time.Duration(i-len(latencies)+1)*msec))
	}
	return sampled
}

func TestTime(t *testing.T) {
	steady := estimate.Load{Running: 1, Slots: 2, Slowness: 100}
	tests := []struct {
		name     string
		estimate estimate.Estimate
		after    time.Duration
		want     time.Duration
	}{
		{name: "nothing known", want: 0},
		{name: "one sample", estimate: sampled(40 * msec), want: 40 * msec},
		{name: "a sample of a steady replica counts an eighth", estimate: sampled(40*msec, 120*msec), want: 50 * msec},
		{name: "a sample counts whole for 2 s", estimate: sampled(40 * msec), after: 1900 * msec, want: 40 * msec},
		{name: "and then half", estimate: sampled(40 * msec), after: 2 * time.Second, want: 20 * msec},
		{name: "an hour later nothing is known", estimate: sampled(40 * msec), after: time.Hour, want: 0},
		{name: "slower now than when it was measured", estimate: sampled(40*msec).WithLoad(estimate.Load{Slowness: 250}, now), want: 100 * msec},
		{name: "as slow as when it was measured", estimate: estimate.Estimate{}.WithLoad(estimate.Load{Slowness: 250}, now).WithSample(100*msec, now), want: 100 * msec},
		{name: "slowness is soon over", estimate: sampled(40*msec).WithLoad(estimate.Load{Slowness: 250}, now), after: 250 * msec, want: 70 * msec},
		{name: "as usual", estimate: sampled(40*msec).WithLoad(steady, now), want: 40 * msec},
		{name: "slowness not told", estimate: sampled(40*msec).WithLoad(estimate.Load{Running: 2}, now), want: 40 * msec},
		{name: "negative slowness", estimate: sampled(40*msec).WithLoad(estimate.Load{Slowness: -1}, now), want: 40 * msec},
		{name: "huge slowness", estimate: sampled(40*msec).WithLoad(estimate.Load{Slowness: math.MaxInt}, now), want: 160 * msec},
		{name: "tiny slowness", estimate: sampled(40*msec).WithLoad(estimate.Load{Slowness: 1}, now), want: 20 * msec},
		{name: "huge sample", estimate: sampled(math.MaxInt64), want: 10 * time.Second},
		{name: "negative sample", estimate: sampled(-time.Second), want: 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := test.estimate.Time(now.Add(test.after))
			qt.Assert(t, got.Round(msec), qt.Equals, test.want)
		})
	}
}

func TestWaiting(t *testing.T) {
	tests := []struct {
		name    string
		waiting int
		after   time.Duration
		want    float64
	}{
		{name: "fresh", waiting: 4, want: 4},
		{name: "half a second old", waiting: 4, after: 500 * msec, want: 2},
		{name: "old", waiting: 4, after: time.Minute, want: 0},
		{name: "negative", waiting: math.MinInt, want: 0},
		{name: "huge", waiting: math.MaxInt, want: 1000},
		{name: "clock went back", waiting: 4, after: -time.Hour, want: 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			loaded := estimate.Estimate{}.WithLoad(estimate.Load{Waiting: test.waiting}, now)
			qt.Assert(t, loaded.Waiting(now.Add(test.after)), qt.Equals, test.want)
		})
	}
}

// Whatever is reported, an estimate stays within bounds, and forgets.
func TestEstimateIsBoundedAndForgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var drawn estimate.Estimate
		at := now
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			at = at.Add(time.Duration(rapid.Int64Range(-1e9, 5e9).Draw(t, "pause")))
			load := estimate.Load{Running: rapid.Int().Draw(t, "running"), Waiting: rapid.Int().Draw(t, "waiting"), Slots: rapid.Int().Draw(t, "slots"), Slowness: rapid.Int().Draw(t, "slowness")}
			latency := time.Duration(rapid.Int64().Draw(t, "latency"))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				drawn = drawn.WithLoad(load, at)
			case 1:
				drawn = drawn.WithSample(latency, at)
			case 2:
				drawn = drawn.WithLowerBound(latency, at)
			case 3:
				drawn = drawn.WithoutTimes()
			}
			if got, waiting := drawn.Time(at), drawn.Waiting(at); got < 0 || got > 80*time.Second || waiting < 0 || waiting > 1000 {
				t.Fatalf("time %v, waiting %v", got, waiting)
			}
		}
		later := at.Add(2 * time.Minute)
		if got, waiting := drawn.Time(later), drawn.Waiting(later); got > time.Microsecond || waiting > 0.001 {
			t.Fatalf("two minutes later: time %v, waiting %v", got, waiting)
		}
	})
}

func TestParts(t *testing.T) {
	unknown := estimate.Estimate{}.Parts(now)
	qt.Assert(t, unknown.OwnAge < 0 && unknown.LoadAge < 0 && unknown.SlownessAge < 0, qt.IsTrue)
	parts := sampled(40*msec).WithLoad(estimate.Load{Running: 2, Waiting: 1, Slots: 2, Slowness: 150}, now).Parts(now.Add(time.Second))
	qt.Assert(t, []time.Duration{parts.Own, parts.OwnAge, parts.LoadAge, parts.SlownessAge}, qt.DeepEquals, []time.Duration{40 * msec, time.Second, time.Second, time.Second})
	qt.Assert(t, []float64{parts.Running, parts.Waiting, parts.Slowness}, qt.DeepEquals, []float64{2, 1, 1.5})
}
