package intake_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/intake"
)

// recorder returns limits with a clock, and the events reported so far.
func recorder() (limits *intake.Limits, clock *time.Time, events *[]string) {
	now := time.Unix(1000, 0)
	events = new([]string)
	limits = &intake.Limits{Now: func() time.Time { return now }, Report: func(event, replica string, limit intake.Limit, before float64) {
		*events = append(*events, fmt.Sprintf("%s %s %v from %v, %d sent", event, replica, limit.Rate, before, limit.Counts.Sent))
	}}
	return limits, &now, events
}

// A limit holds from the first answer that names it until an answer to an attempt that
// was started after the last one that did.
func TestRateOfNamedLimit(t *testing.T) {
	limits, clock, events := recorder()
	begin := *clock
	steps := []struct {
		// at and started are in seconds; rate is what the answer names.
		at, started, rate, want float64
	}{
		{at: 1, started: 0.9, rate: 0, want: 0},
		{at: 2, started: 1.9, rate: 30, want: 30},
		{at: 2.1, started: 2.0, rate: 31, want: 31},
		{at: 2.2, started: 2.05, rate: 0, want: 31},
		{at: 4, started: 3.9, rate: 20, want: 20},
		{at: 5, started: 4.5, rate: 0, want: 0},
		{at: 6, started: 5.5, rate: 0.25, want: 0.25},
	}
	second := func(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }
	for _, step := range steps {
		*clock = second(step.at)
		limits.Record("a", step.rate, second(step.started))
		limits.RecordSent("a", false, false)
		qt.Assert(t, limits.Rate("a"), qt.Equals, step.want, qt.Commentf("at %v s", step.at))
		qt.Assert(t, limits.Rate("b"), qt.Equals, 0.0)
		qt.Assert(t, limits.Any(), qt.Equals, step.want > 0)
	}
	qt.Assert(t, strings.Join(*events, "; "), qt.Equals, "limit named a 30 from 0, 0 sent; limit changed a 20 from 30, 3 sent; limit lifted a 20 from 20, 4 sent; limit named a 0.25 from 0, 0 sent")
}

func TestForgottenReplicaHasNoLimit(t *testing.T) {
	limits, clock, _ := recorder()
	limits.Record("a", 5, *clock)
	limits.Record("b", 5, *clock)
	limits.Forget("a")
	limits.Forget("a")
	qt.Assert(t, limits.Rate("a"), qt.Equals, 0.0)
	qt.Assert(t, limits.Rate("b"), qt.Equals, 5.0)
	limits.Forget("b")
	qt.Assert(t, limits.Any(), qt.IsFalse)
}

func TestFiguresCountWhatWasSent(t *testing.T) {
	limits, clock, _ := recorder()
	limits.RecordSent("a", false, false)
	limits.Record("a", 5, *clock)
	limits.Record("b", 3, *clock)
	limits.RecordSent("a", true, false)
	limits.RecordSent("a", false, true)
	*clock = clock.Add(40 * time.Millisecond)
	qt.Assert(t, limits.Figures(), qt.DeepEquals, []intake.Figures{
		{Replica: "b", Rate: 3, NamedAgeMillis: 40},
		{Replica: "a", Rate: 5, NamedAgeMillis: 40, Counts: intake.Counts{Sent: 2, Extra: 1, ForPeers: 1}},
	})
}
