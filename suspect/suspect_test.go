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

func (clock *clock) pass(millis int) {
	clock.now = clock.now.Add(time.Duration(millis) * time.Millisecond)
}

func newLedger() (*suspect.Ledger, *clock) {
	clock := &clock{now: time.Unix(1000, 0)}
	return &suspect.Ledger{Now: clock.Now}, clock
}

// A late request alone, or a pause, makes no suspicion; a row of late requests
// does, until one is in time or the row is old.
func TestSuspected(t *testing.T) {
	const late, timely = 'l', 't'
	tests := []struct {
		name string
		// steps are what happens, 200 ms apart.
		steps     string
		wait      int
		suspected bool
	}{
		{name: "nothing known", steps: ""},
		{name: "late once", steps: "l"},
		{name: "late through a pause", steps: "ll"},
		{name: "late in a row", steps: "lll", suspected: true},
		{name: "in time once more", steps: "lllt"},
		{name: "late, in time, late", steps: "lltll"},
		{name: "late again in a row", steps: "ltlll", suspected: true},
		{name: "an old row", steps: "lll", wait: 2000},
		{name: "a row that began long after the last", steps: "lll          l", wait: 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ledger, clock := newLedger()
			for _, step := range test.steps {
				clock.pass(200)
				switch step {
				case late:
					ledger.Late("r")
				case timely:
					ledger.Timely("r")
				}
			}
			clock.pass(test.wait)
			qt.Assert(t, ledger.Suspected("r"), qt.Equals, test.suspected)
			qt.Assert(t, ledger.Suspected("other"), qt.IsFalse)
		})
	}
}

// Hosts that each saw a replica late once know together that it is late in a
// row, whichever tells first, and one answer in time ends it for all.
func TestMerge(t *testing.T) {
	one, clock := newLedger()
	two := &suspect.Ledger{Now: clock.Now}
	one.Late("r")
	clock.pass(350)
	two.Late("r")
	qt.Assert(t, one.Suspected("r") || two.Suspected("r"), qt.IsFalse)
	one.Merge(two.Streaks())
	two.Merge(one.Streaks())
	qt.Assert(t, one.Suspected("r") && two.Suspected("r"), qt.IsTrue)
	again := one.Streaks()
	one.Merge(two.Streaks())
	qt.Assert(t, one.Streaks(), qt.DeepEquals, again)
	clock.pass(50)
	two.Timely("r")
	one.Merge(two.Streaks())
	qt.Assert(t, one.Suspected("r") || two.Suspected("r"), qt.IsFalse)
	// What was late before is not late in a row with what comes now.
	clock.pass(10)
	one.Late("r")
	two.Merge(one.Streaks())
	qt.Assert(t, one.Suspected("r") || two.Suspected("r"), qt.IsFalse)
}

// A suspicion is told once when it begins, also when it comes from another host.
func TestChanged(t *testing.T) {
	ledger, clock := newLedger()
	told := 0
	ledger.Changed = func(string, time.Duration) { told++ }
	for range 5 {
		ledger.Late("r")
		clock.pass(200)
	}
	ledger.Merge([]message.Streak{{Name: "s", FirstMillis: 900, LastMillis: 100, TimelyMillis: -1}})
	qt.Assert(t, told, qt.Equals, 2)
	ledger.Timely("r")
	qt.Assert(t, ledger.Suspected("r"), qt.IsFalse)
	ledger.Forget("s")
	qt.Assert(t, ledger.Suspected("s"), qt.IsFalse)
}

// A message holds the latest streaks and stays small.
func TestStreaksAreBounded(t *testing.T) {
	ledger, clock := newLedger()
	for name := range 500 {
		ledger.Late(string(rune('a' + name)))
		clock.pass(1)
	}
	streaks := ledger.Streaks()
	qt.Assert(t, streaks, qt.HasLen, 48)
	qt.Assert(t, streaks[0].LastMillis, qt.Equals, int64(1))
}
