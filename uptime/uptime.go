// Package uptime provides a clock that also runs while the machine is
// suspended, and detects that this process was paused. A process that resumes
// holds lists, deadlines and roles that may have expired meanwhile.
package uptime

import (
	"sync"
	"time"
)

const (
	// maxDrift is the difference between the time of day and the steady clock
	// above which the machine may have been suspended: more than the clock
	// corrections between two checks.
	maxDrift = 200 * time.Millisecond
	// maxBeatGap is the time without a beat after which the process was paused:
	// more than the longest time between the background loops' reads.
	maxBeatGap = 4 * time.Second
	// refreshTimeout is how long after a pause the process waits for new lists.
	// Their source may be unavailable, and old ones are better than none.
	refreshTimeout = 2 * time.Second
)

// Monitor detects pauses. Set the exported fields before use.
type Monitor struct {
	// Now is the steady clock of deadlines, such as time.Now.
	Now func() time.Time
	// TimeOfDay is the clock that is set from time to time. It is cheaper to read
	// than Uptime.
	TimeOfDay func() time.Time
	// Uptime is the clock that also runs while the machine is suspended, such as
	// this package's Now.
	Uptime func() time.Time
	// Resumed is called with the duration of each pause; it may be nil.
	Resumed func(pause time.Duration)

	mu sync.Mutex
	// checkedAt, timeOfDayAt and uptimeAt are the readings of the clocks at the
	// last check of all.
	checkedAt   time.Time
	timeOfDayAt time.Time
	uptimeAt    time.Time
	lastBeat    time.Time
	pauses      uint64
	// resumedAt is when the last pause was detected, by Now, and refreshed is set
	// when lists were read since.
	resumedAt time.Time
	refreshed bool
}

// TimeOfDay returns the time of day without a steady reading.
func TimeOfDay() time.Time {
	return time.Now().Round(0)
}

// Beat records that the background loops run.
func (monitor *Monitor) Beat() {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	monitor.check(true)
	monitor.lastBeat = monitor.uptimeAt
}

// Refresh records that new lists were read.
func (monitor *Monitor) Refresh() {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	monitor.check(true)
	monitor.lastBeat = monitor.uptimeAt
	monitor.refreshed = true
}

// Pauses returns the number of pauses so far. A request that was received
// before a pause has another number than the one after it.
func (monitor *Monitor) Pauses() uint64 {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	monitor.check(false)
	return monitor.pauses
}

// Stale reports whether the process was paused and has not read new lists
// since.
func (monitor *Monitor) Stale() bool {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	monitor.check(false)
	return !monitor.resumedAt.IsZero() && !monitor.refreshed && monitor.Now().Sub(monitor.resumedAt) < refreshTimeout
}

// check counts a pause if there was one since the last check. Unless always is
// set, it reads Uptime only when the time of day has moved by another time than
// the steady clock, or when the last beat is long ago.
func (monitor *Monitor) check(always bool) {
	now, timeOfDay := monitor.Now(), monitor.TimeOfDay()
	steady := now.Sub(monitor.checkedAt)
	drift := timeOfDay.Sub(monitor.timeOfDayAt) - steady
	if !monitor.checkedAt.IsZero() && !always && drift.Abs() < maxDrift && steady < maxBeatGap {
		return
	}
	uptime := monitor.Uptime()
	if !monitor.checkedAt.IsZero() {
		elapsed := uptime.Sub(monitor.uptimeAt)
		if elapsed-steady >= maxDrift {
			monitor.recordPause(elapsed, now)
		} else if gap := uptime.Sub(monitor.lastBeat); !monitor.lastBeat.IsZero() && gap >= maxBeatGap {
			monitor.lastBeat = uptime
			monitor.recordPause(gap, now)
		}
	}
	monitor.checkedAt, monitor.timeOfDayAt, monitor.uptimeAt = now, timeOfDay, uptime
}

func (monitor *Monitor) recordPause(pause time.Duration, now time.Time) {
	monitor.pauses++
	monitor.resumedAt, monitor.refreshed = now, false
	if monitor.Resumed != nil {
		monitor.Resumed(pause)
	}
}
