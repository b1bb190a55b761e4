package replica

import "time"

// missingSnapshotTTL is how long a holder is not asked again for a snapshot
// that it did not have.
const missingSnapshotTTL = time.Second

// Absences records which holders lack which snapshots. A holder is a replica or
// a whole service. Set Now before use.
type Absences struct {
	// Now is the clock.
	Now func() time.Time

	expiry sharded[map[string]time.Time]
}

// Add records that a holder lacks a snapshot.
func (absences *Absences) Add(holder, snapshot string) {
	now := absences.Now()
	absences.expiry.withShard(holder, func(holders map[string]map[string]time.Time) {
		snapshots := holders[holder]
		if snapshots == nil {
			snapshots = make(map[string]time.Time)
			holders[holder] = snapshots
		}
		for name, expiry := range snapshots {
			if now.After(expiry) {
				delete(snapshots, name)
			}
		}
		snapshots[snapshot] = now.Add(missingSnapshotTTL)
	})
}

// Lacks reports whether Add recorded the snapshot as missing at the holder
// within missingSnapshotTTL.
func (absences *Absences) Lacks(holder, snapshot string) (lacks bool) {
	absences.expiry.withShard(holder, func(holders map[string]map[string]time.Time) {
		expiry, ok := holders[holder][snapshot]
		lacks = ok && absences.Now().Before(expiry)
	})
	return lacks
}
