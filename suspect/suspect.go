// Package suspect detects replicas and hosts whose replies are consistently
// late, by combining what several hosts of a failure domain observed. In a large
// fleet, one host sends each of them too few requests to detect this alone.
//
// Routing avoids a suspected replica or host. That it is suspected does not say
// whether it has executed a request.
package suspect

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"fescuehall/message"
)

const (
	// minStreak is how long a streak of late replies must last before the replica
	// or host is suspected: longer than the occasional pauses of a healthy replica.
	minStreak = 300 * time.Millisecond
	// streakExpiry is how long after its last late reply a streak is ignored, so
	// that the replica or host gets requests again.
	streakExpiry = 2 * time.Second
	// maxStreaks limits the streaks in one message, at about 50 bytes each.
	maxStreaks = 48
)

// streak is a streak of consecutive late replies of one replica or host: the
// time of the last timely reply, and of the first and last late reply since.
type streak struct {
	lastTimely time.Time
	firstLate  time.Time
	lastLate   time.Time
}

// Ledger tracks the streaks of late replies of replicas and hosts. Set the
// fields before use.
type Ledger struct {
	// Now is the clock. Only differences are used.
	Now func() time.Time
	// Changed, if not nil, is called when a replica or host becomes suspected,
	// with the duration of its streak.
	Changed func(name string, late time.Duration)

	mu      sync.Mutex
	streaks map[string]*streak
	// reported contains the suspected names for which Changed has been called.
	reported map[string]bool
}

func (ledger *Ledger) streak(name string) *streak {
	if ledger.streaks == nil {
		ledger.streaks = make(map[string]*streak)
		ledger.reported = make(map[string]bool)
	}
	entry := ledger.streaks[name]
	if entry == nil {
		entry = &streak{}
		ledger.streaks[name] = entry
	}
	return entry
}

// Timely records a request that was answered in time.
func (ledger *Ledger) Timely(name string) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	ledger.streak(name).lastTimely = ledger.Now()
}

// Late records a request that failed, was answered late, or has been unanswered
// for too long.
func (ledger *Ledger) Late(name string) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	streak := ledger.streak(name)
	now := ledger.Now()
	if !streak.active(now) {
		streak.firstLate = now
	}
	streak.lastLate = now
	ledger.report(name, streak, now)
}

// active reports whether the last reply was late and the streak has not expired.
func (streak *streak) active(now time.Time) bool {
	return streak.lastLate.After(streak.lastTimely) && now.Sub(streak.lastLate) < streakExpiry
}

func (streak *streak) suspected(now time.Time) bool {
	return streak.active(now) && streak.lastLate.Sub(streak.firstLate) >= minStreak
}

// Suspected reports whether requests should avoid a replica or host.
func (ledger *Ledger) Suspected(name string) bool {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	streak := ledger.streaks[name]
	if streak == nil {
		return false
	}
	now := ledger.Now()
	ledger.report(name, streak, now)
	return streak.suspected(now)
}

// report calls Changed once for each time that a name becomes suspected.
func (ledger *Ledger) report(name string, streak *streak, now time.Time) {
	suspected := streak.suspected(now)
	if suspected == ledger.reported[name] {
		return
	}
	if !suspected {
		delete(ledger.reported, name)
		return
	}
	ledger.reported[name] = true
	if ledger.Changed != nil {
		ledger.Changed(name, streak.lastLate.Sub(streak.firstLate))
	}
}

// Streaks returns the most recent streaks, for another host to merge.
func (ledger *Ledger) Streaks() []message.Streak {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	now := ledger.Now()
	var streaks []message.Streak
	for name, streak := range ledger.streaks {
		if streak.lastLate.IsZero() || now.Sub(streak.lastLate) >= streakExpiry {
			continue
		}
		streaks = append(streaks, message.Streak{
			Name:         name,
			FirstMillis:  ageMillis(now, streak.firstLate),
			LastMillis:   ageMillis(now, streak.lastLate),
			TimelyMillis: ageMillis(now, streak.lastTimely),
		})
	}
	slices.SortFunc(streaks, func(a, b message.Streak) int {
		return cmp.Or(cmp.Compare(a.LastMillis, b.LastMillis), cmp.Compare(a.Name, b.Name))
	})
	return streaks[:min(len(streaks), maxStreaks)]
}

// Merge merges the streaks received from another host. It is idempotent.
func (ledger *Ledger) Merge(streaks []message.Streak) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	now := ledger.Now()
	for _, received := range streaks {
		local := ledger.streak(received.Name)
		local.merge(streak{lastTimely: timeOfAge(now, received.TimelyMillis), firstLate: timeOfAge(now, received.FirstMillis), lastLate: timeOfAge(now, received.LastMillis)})
		ledger.report(received.Name, local, now)
	}
}

// merge combines the observations of two hosts: the merged streak begins with
// the earliest late reply after the last timely one.
func (streak *streak) merge(other streak) {
	if other.lastTimely.After(streak.lastTimely) {
		streak.lastTimely = other.lastTimely
	}
	if streak.lastLate.IsZero() || !streak.firstLate.After(streak.lastTimely) || other.firstLate.After(streak.lastTimely) && other.firstLate.Before(streak.firstLate) {
		streak.firstLate = other.firstLate
	}
	if other.lastLate.After(streak.lastLate) {
		streak.lastLate = other.lastLate
	}
}

// neverMillis stands for the age of an event that has not happened.
const neverMillis = -1

func ageMillis(now, at time.Time) int64 {
	if at.IsZero() {
		return neverMillis
	}
	return now.Sub(at).Milliseconds()
}

// timeOfAge returns the time of an event from its age, or the zero time for
// neverMillis.
func timeOfAge(now time.Time, millis int64) time.Time {
	if millis < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(millis) * time.Millisecond)
}

// Forget removes the streak of a replica or host that has left.
func (ledger *Ledger) Forget(name string) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	delete(ledger.streaks, name)
	delete(ledger.reported, name)
}
