package suspect_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/message"
	"fescuehall/suspect"
)

// clock is a fake clock.
type clock struct{ now time.Time }

func (clock *clock) Now() time.Time { return clock.now }

func (clock *clock) advance(millis int) {
	clock.now = clock.now.Add(time.Duration(millis) * time.Millisecond)
}

func newTracker() (*suspect.Tracker, *clock) {
	clock := &clock{now: time.Unix(1000, 0)}
	return &suspect.Tracker{Now: clock.Now}, clock
}

// A single late reply or a short pause does not make a replica suspected. A
// longer streak of consecutive late replies does, until a reply is in time or
// the streak expires.
func TestSuspected(t *testing.T) {
	const late, timely = 'l', 't'
	tests := []struct {
		name string
		// steps are the replies, 200 ms apart. Any other character is a pause.
		steps string
		// wait is the pause after the last step, in milliseconds.
		wait      int
		suspected bool
	}{
		{name: "no replies", steps: ""},
		{name: "one late reply", steps: "l"},
		{name: "late replies during a short pause", steps: "ll"},
		{name: "consecutive late replies", steps: "lll", suspected: true},
		{name: "streak ended by a timely reply", steps: "lllt"},
		{name: "short streaks with a timely reply between", steps: "lltll"},
		{name: "streak after a timely reply", steps: "ltlll", suspected: true},
		{name: "expired streak", steps: "lll", wait: 2000},
		{name: "new streak after an expired one", steps: "lll          l", wait: 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tracker, clock := newTracker()
			for _, step := range test.steps {
				clock.advance(200)
				switch step {
				case late:
					tracker.RecordLate("r")
				case timely:
					tracker.RecordTimely("r")
				}
			}
			clock.advance(test.wait)
			qt.Assert(t, tracker.Suspected("r"), qt.Equals, test.suspected)
			qt.Assert(t, tracker.Suspected("other"), qt.IsFalse)
		})
	}
}

// Two hosts that each saw one late reply of a replica both suspect it after
// they exchange streaks, in either order. A timely reply to one host ends the
// streak at both.
func TestMerge(t *testing.T) {
	first, clock := newTracker()
	second := &suspect.Tracker{Now: clock.Now}
	first.RecordLate("r")
	clock.advance(350)
	second.RecordLate("r")
	qt.Assert(t, first.Suspected("r") || second.Suspected("r"), qt.IsFalse)
	first.Merge(second.Streaks())
	second.Merge(first.Streaks())
	qt.Assert(t, first.Suspected("r") && second.Suspected("r"), qt.IsTrue)
	merged := first.Streaks()
	first.Merge(second.Streaks())
	qt.Assert(t, first.Streaks(), qt.DeepEquals, merged)
	clock.advance(50)
	second.RecordTimely("r")
	first.Merge(second.Streaks())
	qt.Assert(t, first.Suspected("r") || second.Suspected("r"), qt.IsFalse)
	// Late replies before the timely one don't count towards a new streak.
	clock.advance(10)
	first.RecordLate("r")
	second.Merge(first.Streaks())
	qt.Assert(t, first.Suspected("r") || second.Suspected("r"), qt.IsFalse)
}

// OnSuspected is called once when a replica becomes suspected, also through streaks
// received from another host, if this host has sent requests to it.
func TestOnSuspected(t *testing.T) {
	tracker, clock := newTracker()
	calls := 0
	tracker.OnSuspected = func(string, time.Duration) { calls++ }
	for range 5 {
		tracker.RecordLate("r")
		clock.advance(200)
	}
	streaks := []message.Streak{{Name: "s", FirstMillis: 900, LastMillis: 100, TimelyMillis: -1}}
	tracker.Merge(streaks)
	qt.Assert(t, tracker.Suspected("s"), qt.IsTrue)
	qt.Assert(t, calls, qt.Equals, 1)
	tracker.RecordTimely("s")
	clock.advance(1000)
	tracker.RecordLate("r")
	for range 2 {
		tracker.Merge(streaks)
		qt.Assert(t, calls, qt.Equals, 2)
	}
	tracker.RecordTimely("r")
	qt.Assert(t, tracker.Suspected("r"), qt.IsFalse)
	tracker.Forget("s")
	qt.Assert(t, tracker.Suspected("s"), qt.IsFalse)
}

// A message contains only the most recent streaks, up to a maximum.
func TestStreaksAreLimited(t *testing.T) {
	tracker, clock := newTracker()
	for name := range 500 {
		tracker.RecordLate(string(rune('a' + name)))
		clock.advance(1)
	}
	streaks := tracker.Streaks()
	qt.Assert(t, streaks, qt.HasLen, 48)
	qt.Assert(t, streaks[0].LastMillis, qt.Equals, int64(1))
}

// A host passes on the streaks that it received, until they expire or their
// replica has left.
func TestStreaksArePassedOn(t *testing.T) {
	names := func(tracker *suspect.Tracker) []string {
		names := []string{}
		for _, streak := range tracker.Streaks() {
			names = append(names, streak.Name)
		}
		return names
	}
	tracker, clock := newTracker()
	tracker.Merge([]message.Streak{{Name: "r", FirstMillis: 900, LastMillis: 100, TimelyMillis: -1}, {Name: "s", FirstMillis: 900, LastMillis: 200, TimelyMillis: -1}})
	qt.Assert(t, names(tracker), qt.DeepEquals, []string{"r", "s"})
	tracker.Forget("s")
	qt.Assert(t, names(tracker), qt.DeepEquals, []string{"r"})
	clock.advance(2000)
	qt.Assert(t, names(tracker), qt.DeepEquals, []string{})
	tracker.RecordLate("r")
	qt.Assert(t, names(tracker), qt.DeepEquals, []string{"r"})
}

// Asking whether a replica is suspected changes nothing: OnSuspected is called as often
// with as without it, also for a streak that follows an expired or an ended one.
func TestSuspectedChangesNothing(t *testing.T) {
	for _, asks := range []bool{false, true} {
		tracker, clock := newTracker()
		calls := 0
		tracker.OnSuspected = func(string, time.Duration) { calls++ }
		streak := []message.Streak{{Name: "r", FirstMillis: 500, LastMillis: 0, TimelyMillis: -1}}
		tracker.RecordTimely("r")
		clock.advance(1000)
		for step := range 3 {
			tracker.Merge(streak)
			if asks {
				qt.Assert(t, tracker.Suspected("r"), qt.IsTrue)
			}
			clock.advance(100)
			if step == 0 {
				tracker.RecordTimely("r")
			}
			clock.advance(3000)
			if asks {
				qt.Assert(t, tracker.Suspected("r"), qt.IsFalse)
			}
		}
		qt.Assert(t, calls, qt.Equals, 3)
	}
}
