package replica

import "time"

// missingSnapshotTTL is how long a holder gets no further requests for a
// snapshot that it did not have.
const missingSnapshotTTL = time.Second

// MissingSnapshots records which holders lack which snapshots. A holder is a
// replica or a whole service. Set Now before use.
type MissingSnapshots struct {
	// Now is the clock.
	Now func() time.Time

	expiry sharded[map[string]time.Time]
}

// Add records that a holder lacks a snapshot.
func (missingSnapshots *MissingSnapshots) Add(holder, snapshot string) {
	now := missingSnapshots.Now()
	missingSnapshots.expiry.withShard(holder, func(holders map[string]map[string]time.Time) {
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
func (missingSnapshots *MissingSnapshots) Lacks(holder, snapshot string) (lacks bool) {
	missingSnapshots.expiry.withShard(holder, func(holders map[string]map[string]time.Time) {
		expiry, ok := holders[holder][snapshot]
		lacks = ok && missingSnapshots.Now().Before(expiry)
	})
	return lacks
}
