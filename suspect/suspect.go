// Package suspect finds replicas and hosts that leave one request after another
// late, from what several hosts of a failure domain saw. A host of a large fleet
// asks each of them too seldom to find out by itself.
//
// A suspicion steers where requests go. It says nothing of whether one has run.
package suspect

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"fescuehall/message"
)

const (
	// streakTime is how long all requests to a suspect came late: longer than the
	// pauses that a healthy replica makes now and then.
	streakTime = 300 * time.Millisecond
	// holdTime is how long a suspicion holds after the last late request. Then
	// requests try again.
	holdTime = 2 * time.Second
	// mostTold bounds the streaks in one message, at about 50 bytes each.
	mostTold = 48
)

// streak is what is known of one replica or host: when it was last in time, and
// when it was first and last late since then.
type streak struct {
	timely time.Time
	first  time.Time
	last   time.Time
}

// Ledger keeps streaks. Set the fields before use.
type Ledger struct {
	// Now is the clock. Only differences are used.
	Now func() time.Time
	// Changed is told when a suspicion begins; it may be nil.
	Changed func(name string, late time.Duration)

	mu      sync.Mutex
	streaks map[string]*streak
	// told holds the suspicions that Changed was told of.
	told map[string]bool
}

func (ledger *Ledger) streak(name string) *streak {
	if ledger.streaks == nil {
		ledger.streaks = make(map[string]*streak)
		ledger.told = make(map[string]bool)
	}
	known := ledger.streaks[name]
	if known == nil {
		known = &streak{}
		ledger.streaks[name] = known
	}
	return known
}

// Timely records a request that was answered in time.
func (ledger *Ledger) Timely(name string) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	ledger.streak(name).timely = ledger.Now()
}

// Late records a request that failed, or was not answered for long.
func (ledger *Ledger) Late(name string) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	known := ledger.streak(name)
	now := ledger.Now()
	if !known.open(now) {
		known.first = now
	}
	known.last = now
	ledger.tell(name, known, now)
}

// open reports whether requests were late since the last one in time, not long
// ago.
func (known *streak) open(now time.Time) bool {
	return known.last.After(known.timely) && now.Sub(known.last) < holdTime
}

func (known *streak) suspected(now time.Time) bool {
	return known.open(now) && known.last.Sub(known.first) >= streakTime
}

// Suspected reports whether a replica or host is better passed over.
func (ledger *Ledger) Suspected(name string) bool {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	known := ledger.streaks[name]
	if known == nil {
		return false
	}
	now := ledger.Now()
	ledger.tell(name, known, now)
	return known.suspected(now)
}

func (ledger *Ledger) tell(name string, known *streak, now time.Time) {
	suspected := known.suspected(now)
	if suspected == ledger.told[name] {
		return
	}
	if !suspected {
		delete(ledger.told, name)
		return
	}
	ledger.told[name] = true
	if ledger.Changed != nil {
		ledger.Changed(name, known.last.Sub(known.first))
	}
}

// Streaks returns the latest streaks for another host, which merges them.
func (ledger *Ledger) Streaks() []message.Streak {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	now := ledger.Now()
	var streaks []message.Streak
	for name, known := range ledger.streaks {
		if known.last.IsZero() || now.Sub(known.last) >= holdTime {
			continue
		}
		streaks = append(streaks, message.Streak{
			Name:         name,
			FirstMillis:  age(now, known.first),
			LastMillis:   age(now, known.last),
			TimelyMillis: age(now, known.timely),
		})
	}
	slices.SortFunc(streaks, func(a, b message.Streak) int {
		return cmp.Or(cmp.Compare(a.LastMillis, b.LastMillis), cmp.Compare(a.Name, b.Name))
	})
	return streaks[:min(len(streaks), mostTold)]
}

// Merge takes another host's streaks. Taking them again changes nothing.
func (ledger *Ledger) Merge(streaks []message.Streak) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	now := ledger.Now()
	for _, told := range streaks {
		known := ledger.streak(told.Name)
		known.merge(streak{timely: before(now, told.TimelyMillis), first: before(now, told.FirstMillis), last: before(now, told.LastMillis)})
		ledger.tell(told.Name, known, now)
	}
}

// merge joins two hosts' views: the streak begins with the first late request
// after the last one in time.
func (known *streak) merge(other streak) {
	if other.timely.After(known.timely) {
		known.timely = other.timely
	}
	if known.last.IsZero() || !known.first.After(known.timely) || other.first.After(known.timely) && other.first.Before(known.first) {
		known.first = other.first
	}
	if other.last.After(known.last) {
		known.last = other.last
	}
}

// never is the age of what has not happened.
const never = -1

func age(now, at time.Time) int64 {
	if at.IsZero() {
		return never
	}
	return now.Sub(at).Milliseconds()
}

// before returns the time of an age, zero for never.
func before(now time.Time, millis int64) time.Time {
	if millis < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(millis) * time.Millisecond)
}

// Forget drops what is known of a replica or host that is gone.
func (ledger *Ledger) Forget(name string) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	delete(ledger.streaks, name)
	delete(ledger.told, name)
}
