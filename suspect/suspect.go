// Package suspect detects replicas and hosts whose replies are consistently
// late, by combining what several hosts of a failure domain observed. In a
// large fleet, one host sends each of them too few requests to detect this
// alone.
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
	// minStreak is how long a streak of late replies must last before the
	// replica or host is suspected: longer than the occasional pauses of a
	// healthy replica.
	minStreak = 300 * time.Millisecond
	// streakExpiry is the time after a streak's last late reply from which the
	// streak is ignored, so that the replica or host gets requests again.
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
	// observed is set once this host itself has recorded a reply.
	observed bool
}

// Tracker tracks the streaks of late replies of replicas and hosts. Set the
// fields before use.
type Tracker struct {
	// Now is the clock. Only differences are used.
	Now func() time.Time
	// OnSuspected, if not nil, is called with the duration of the streak when a replica
	// or host becomes suspected to which this host has sent requests itself.
	OnSuspected func(name string, late time.Duration)

	mu      sync.Mutex
	streaks map[string]*streak
	// late holds the streaks that may have a recent late reply.
	late map[string]*streak
	// reported contains the suspected names for which OnSuspected has been called.
	reported map[string]bool
	// recent is the memory in which Streaks sorts.
	recent []message.Streak
}

func (tracker *Tracker) streak(name string) *streak {
	if tracker.streaks == nil {
		tracker.streaks = make(map[string]*streak)
		tracker.late = make(map[string]*streak)
		tracker.reported = make(map[string]bool)
	}
	tracked := tracker.streaks[name]
	if tracked == nil {
		tracked = &streak{}
		tracker.streaks[name] = tracked
	}
	return tracked
}

// RecordTimely records a request that was answered in time.
func (tracker *Tracker) RecordTimely(name string) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	streak := tracker.streak(name)
	streak.lastTimely, streak.observed = tracker.Now(), true
}

// RecordLate records a request that failed, was answered late, or has been
// unanswered for too long.
func (tracker *Tracker) RecordLate(name string) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	streak := tracker.streak(name)
	streak.observed = true
	now := tracker.Now()
	if !streak.active(now) {
		streak.firstLate = now
	}
	streak.lastLate = now
	tracker.late[name] = streak
	tracker.report(name, streak, now)
}

// active reports whether the last reply was late and the streak has not
// expired.
func (streak *streak) active(now time.Time) bool {
	return streak.lastLate.After(streak.lastTimely) && now.Sub(streak.lastLate) < streakExpiry
}

func (streak *streak) suspected(now time.Time) bool {
	return streak.active(now) && streak.lastLate.Sub(streak.firstLate) >= minStreak
}

// Suspected reports whether requests should avoid a replica or host. It changes no
// state.
func (tracker *Tracker) Suspected(name string) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	streak := tracker.streaks[name]
	if streak == nil {
		return false
	}
	return streak.suspected(tracker.Now())
}

// report calls OnSuspected once for each time that a name becomes suspected.
func (tracker *Tracker) report(name string, streak *streak, now time.Time) {
	suspected := streak.suspected(now)
	if suspected == tracker.reported[name] {
		return
	}
	if !suspected {
		delete(tracker.reported, name)
		return
	}
	tracker.reported[name] = true
	// Most hosts of a large fleet never choose among most of the replicas.
	if tracker.OnSuspected != nil && streak.observed {
		tracker.OnSuspected(name, streak.lastLate.Sub(streak.firstLate))
	}
}

// Streaks returns the most recent streaks, for another host to merge.
func (tracker *Tracker) Streaks() []message.Streak {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	now := tracker.Now()
	streaks := tracker.recent[:0]
	for name, streak := range tracker.late {
		if streak.lastLate.IsZero() || now.Sub(streak.lastLate) >= streakExpiry {
			delete(tracker.late, name)
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
	tracker.recent = streaks
	return slices.Clone(streaks[:min(len(streaks), maxStreaks)])
}

// Merge merges the streaks received from another host. It is idempotent.
func (tracker *Tracker) Merge(streaks []message.Streak) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	now := tracker.Now()
	for _, received := range streaks {
		local := tracker.streak(received.Name)
		tracker.late[received.Name] = local
		// A streak that has expired may be followed by another one.
		tracker.report(received.Name, local, now)
		local.merge(streak{lastTimely: timeOfAge(now, received.TimelyMillis), firstLate: timeOfAge(now, received.FirstMillis), lastLate: timeOfAge(now, received.LastMillis)})
		tracker.report(received.Name, local, now)
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
func (tracker *Tracker) Forget(name string) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	delete(tracker.streaks, name)
	delete(tracker.late, name)
	delete(tracker.reported, name)
}
