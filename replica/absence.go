package replica

import (
	"sync"
	"time"
)

// absenceTime is how long a replica is not asked again for a snapshot that it
// did not have.
const absenceTime = time.Second

// Absences remembers which replicas lack which snapshots. Set Now before use.
type Absences struct {
	// Now is the clock.
	Now func() time.Time

	mu    sync.Mutex
	until map[absence]time.Time
}

type absence struct {
	address  string
	snapshot string
}

// Add records that a replica lacks a snapshot.
func (absences *Absences) Add(address, snapshot string) {
	absences.mu.Lock()
	defer absences.mu.Unlock()
	now := absences.Now()
	if absences.until == nil {
		absences.until = make(map[absence]time.Time)
	}
	for key, until := range absences.until {
		if now.After(until) {
			delete(absences.until, key)
		}
	}
	absences.until[absence{address, snapshot}] = now.Add(absenceTime)
}

// Lacks reports whether a replica lacked a snapshot a short while ago.
func (absences *Absences) Lacks(address, snapshot string) bool {
	absences.mu.Lock()
	defer absences.mu.Unlock()
	until, ok := absences.until[absence{address, snapshot}]
	return ok && absences.Now().Before(until)
}
