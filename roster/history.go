package roster

import "time"

const (
	// maxOlder is how long an older entry is ignored. A write that was executed late
	// lasts until the replica's next write or the end of its lease, which is a few
	// seconds. One that lasts longer is that of a process whose clock was set back.
	maxOlder = 10 * time.Second
	// forgetAfter is how long the entry of a replica that is no longer listed is
	// remembered: the longest lease under which a late write can bring it back.
	forgetAfter = 10 * time.Minute
)

// history holds the newest entry of each replica. The list may hold older ones, since a
// write that the store executes late replaces those that came after it.
type history struct {
	newest map[string]*newestEntry
	// lists counts the lists that were resolved.
	lists uint64
	// ignored is called with each older entry when it first appears; it may be nil.
	ignored func(older Replica)
}

type newestEntry struct {
	replica Replica
	// lastList is the number of the last list that held the replica, and listedAt when
	// that was resolved.
	lastList uint64
	listedAt time.Time
	// olderSince is when the list began to hold an older entry, zero while it holds
	// none.
	olderSince time.Time
}

// resolve returns a list with the newest entries of its replicas. It leaves out those
// of which it holds an older entry that came back after the newest one was removed.
func (history *history) resolve(list []Replica, now time.Time) []Replica {
	if history.newest == nil {
		history.newest = make(map[string]*newestEntry)
	}
	history.lists++
	resolved := make([]Replica, 0, len(list))
	for _, listed := range list {
		newest := history.newest[listed.ID]
		if newest == nil {
			newest = &newestEntry{replica: listed}
			history.newest[listed.ID] = newest
		}
		if history.isOlder(newest, listed, now) {
			if listed.Incarnation == newest.replica.Incarnation && listed.Leaving {
				newest.replica.Leaving = true
			}
			if newest.lastList < history.lists-1 {
				continue
			}
		} else {
			newest.advance(listed)
		}
		newest.lastList, newest.listedAt = history.lists, now
		resolved = append(resolved, newest.replica)
	}
	for id, newest := range history.newest {
		if now.Sub(newest.listedAt) > forgetAfter {
			delete(history.newest, id)
		}
	}
	return resolved
}

// isOlder reports whether a listed entry is to be ignored, because it was written before
// the newest one.
func (history *history) isOlder(newest *newestEntry, listed Replica, now time.Time) bool {
	if !listed.isOlderThan(newest.replica) {
		newest.olderSince = time.Time{}
		return false
	}
	if newest.olderSince.IsZero() {
		newest.olderSince = now
		if history.ignored != nil {
			history.ignored(listed)
		}
	}
	return now.Sub(newest.olderSince) < maxOlder
}

// advance makes a listed entry the newest one. A replica that leaves does not accept
// requests again in the same incarnation.
func (newest *newestEntry) advance(listed Replica) {
	if previous := newest.replica; listed.Incarnation != 0 && listed.Incarnation == previous.Incarnation {
		listed.Leaving = listed.Leaving || previous.Leaving
		if listed.Sequence == 0 {
			listed.Sequence = previous.Sequence
		}
	}
	newest.replica = listed
}

// isOlderThan reports whether an entry was written before another one of the same
// replica. Entries are ordered by incarnation and then by sequence, as far as both are
// known.
func (replica Replica) isOlderThan(other Replica) bool {
	if replica.Incarnation == 0 || other.Incarnation == 0 {
		return false
	}
	if replica.Incarnation != other.Incarnation {
		return replica.Incarnation < other.Incarnation
	}
	return replica.Sequence != 0 && replica.Sequence < other.Sequence
}
