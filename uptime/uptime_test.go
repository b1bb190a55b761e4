package uptime_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/uptime"
)

// clocks are the clocks of a simulated machine.
type clocks struct {
	now       time.Time
	timeOfDay time.Time
	uptime    time.Time
	// uptimeReads counts the reads of the uptime.
	uptimeReads int
	pauses      []time.Duration
}

func newMonitor() (*uptime.Monitor, *clocks) {
	clocks := &clocks{now: time.Unix(1000, 0), timeOfDay: time.Unix(70_000, 0), uptime: time.Unix(50, 0)}
	monitor := &uptime.Monitor{
		Now:       func() time.Time { return clocks.now },
		TimeOfDay: func() time.Time { return clocks.timeOfDay },
		Uptime: func() time.Time {
			clocks.uptimeReads++
			return clocks.uptime
		},
		Resumed: func(pause time.Duration) { clocks.pauses = append(clocks.pauses, pause) },
	}
	monitor.Beat()
	return monitor, clocks
}

func (clocks *clocks) run(elapsed time.Duration) {
	clocks.now = clocks.now.Add(elapsed)
	clocks.timeOfDay = clocks.timeOfDay.Add(elapsed)
	clocks.uptime = clocks.uptime.Add(elapsed)
}

func (clocks *clocks) suspend(elapsed time.Duration) {
	clocks.timeOfDay = clocks.timeOfDay.Add(elapsed)
	clocks.uptime = clocks.uptime.Add(elapsed)
}

// A process that runs and beats is never stale.
func TestRunningProcess(t *testing.T) {
	monitor, clocks := newMonitor()
	for range 100 {
		clocks.run(time.Second)
		qt.Assert(t, monitor.Stale(), qt.IsFalse)
		monitor.Beat()
	}
	qt.Assert(t, monitor.Pauses(), qt.Equals, uint64(0))
}

// After a suspension, which the steady clock does not count, the process is
// stale until it has read new lists.
func TestSuspension(t *testing.T) {
	monitor, clocks := newMonitor()
	clocks.suspend(3 * time.Second)
	qt.Assert(t, monitor.Stale(), qt.IsTrue)
	qt.Assert(t, monitor.Pauses(), qt.Equals, uint64(1))
	clocks.run(500 * time.Millisecond)
	monitor.Beat()
	qt.Assert(t, monitor.Stale(), qt.IsTrue)
	monitor.Refresh()
	qt.Assert(t, monitor.Stale(), qt.IsFalse)
	qt.Assert(t, clocks.pauses, qt.DeepEquals, []time.Duration{3 * time.Second})
}

// Setting the time of day is not a pause, and hides none.
func TestClockStep(t *testing.T) {
	monitor, clocks := newMonitor()
	clocks.timeOfDay = clocks.timeOfDay.Add(time.Hour)
	qt.Assert(t, monitor.Stale(), qt.IsFalse)
	clocks.timeOfDay = clocks.timeOfDay.Add(-3 * time.Second)
	clocks.suspend(3 * time.Second)
	monitor.Beat()
	qt.Assert(t, monitor.Stale(), qt.IsTrue)
	qt.Assert(t, monitor.Pauses(), qt.Equals, uint64(1))
}

// Checks between beats don't read the uptime while the clocks agree.
func TestChecksAreCheap(t *testing.T) {
	monitor, clocks := newMonitor()
	reads := clocks.uptimeReads
	for range 100 {
		clocks.run(10 * time.Millisecond)
		monitor.Pauses()
	}
	qt.Assert(t, clocks.uptimeReads, qt.Equals, reads)
}

// A process that was stopped while the clocks ran is stale when it continues.
func TestStoppedProcess(t *testing.T) {
	monitor, clocks := newMonitor()
	clocks.run(5 * time.Second)
	qt.Assert(t, monitor.Stale(), qt.IsTrue)
	qt.Assert(t, monitor.Pauses(), qt.Equals, uint64(1))
	monitor.Refresh()
	qt.Assert(t, monitor.Stale(), qt.IsFalse)
	qt.Assert(t, monitor.Pauses(), qt.Equals, uint64(1))
}

// When no new lists can be read, the process goes on with the old ones.
func TestStaleEndsWithoutNewLists(t *testing.T) {
	monitor, clocks := newMonitor()
	clocks.suspend(3 * time.Second)
	monitor.Beat()
	for range 3 {
		qt.Assert(t, monitor.Stale(), qt.IsTrue)
		clocks.run(700 * time.Millisecond)
		monitor.Beat()
	}
	qt.Assert(t, monitor.Stale(), qt.IsFalse)
}

// The uptime never goes back.
func TestNow(t *testing.T) {
	first := uptime.Now()
	qt.Assert(t, uptime.Now().Before(first), qt.IsFalse)
}
