package replica

import "time"

// absenceTime is how long a holder is not asked again for a snapshot that it
// did not have.
const absenceTime = time.Second

// Absences remembers which holders, replicas or whole services, lack which
// snapshots. Set Now before use.
type Absences struct {
	// Now is the clock.
	Now func() time.Time

	until sharded[map[string]time.Time]
}

// Add records that a holder lacks a snapshot.
func (absences *Absences) Add(holder, snapshot string) {
	now := absences.Now()
	absences.until.with(holder, func(holders map[string]map[string]time.Time) {
		snapshots := holders[holder]
		if snapshots == nil {
			snapshots = make(map[string]time.Time)
			holders[holder] = snapshots
		}
		for name, until := range snapshots {
			if now.After(until) {
				delete(snapshots, name)
			}
		}
		snapshots[snapshot] = now.Add(absenceTime)
	})
}

// Lacks reports whether a holder lacked a snapshot a short while ago.
func (absences *Absences) Lacks(holder, snapshot string) (lacks bool) {
	absences.until.with(holder, func(holders map[string]map[string]time.Time) {
		until, ok := holders[holder][snapshot]
		lacks = ok && absences.Now().Before(until)
	})
	return lacks
}
