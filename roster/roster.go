// Package roster keeps the replicas that may be sent work, from a list that
// replicas enter themselves and that may be out of reach for a while.
package roster

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// returnTime is how long replicas have to enter a list again that lost them
	// while it was out. The platform's promise is about two seconds.
	returnTime = 2200 * time.Millisecond
	// outageTime is the silence of the list that counts as an outage: three
	// readings missed.
	outageTime = 2500 * time.Millisecond
	// misplacedTime is how long a replica that was not found at its address is
	// passed over. A crashed one leaves the list within three heartbeats.
	misplacedTime = 5 * time.Second
)

// Gone is the change that Changed is told of last for a replica.
const Gone = "gone"

// Replica is one process of a service.
type Replica struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Slots is the number of requests it runs at a time.
	Slots int
	// Leaving replicas get no new work.
	Leaving bool
	// Warmup is how much longer the replica is slow after its start.
	Warmup time.Duration
	// Born is the start of the process, in Unix milliseconds.
	Born int64
}

// Roster is the replicas known. Set the fields before use.
type Roster struct {
	// Now is the clock.
	Now func() time.Time
	// Changed is told of each replica that came, left or changed state; it may
	// be nil.
	Changed func(replica Replica, change string)

	mu    sync.Mutex
	known map[string]Replica
	// list is the last reading, and held is set when known has replicas that are
	// missing in it.
	list      []Replica
	held      bool
	misplaced map[string]time.Time
	readAt    time.Time
	backAt    time.Time
	byService atomic.Pointer[map[string][]Replica]
	domains   sync.Map
}

// Of returns the replicas of a service that take work.
func (roster *Roster) Of(service string) []Replica {
	if all := roster.byService.Load(); all != nil {
		return (*all)[service]
	}
	return nil
}

// Takes reports whether a replica takes work.
func (roster *Roster) Takes(service, id string) bool {
	return slices.ContainsFunc(roster.Of(service), func(replica Replica) bool { return replica.ID == id })
}

// Domain returns the failure domain of a replica.
func (roster *Roster) Domain(id string) string {
	if domain, ok := roster.domains.Load(id); ok {
		return domain.(string)
	}
	return ""
}

// Listed reports whether the list was ever read.
func (roster *Roster) Listed() bool {
	return roster.byService.Load() != nil
}

// Update takes a whole reading of the list. Replicas that are missing are gone,
// unless the list was out until a short while ago.
func (roster *Roster) Update(list []Replica) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	now := roster.Now()
	if !roster.readAt.IsZero() && now.Sub(roster.readAt) > outageTime {
		roster.backAt = now
	}
	roster.take(list, now)
}

// Confirm takes a reading that found the list unchanged.
func (roster *Roster) Confirm() {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	now := roster.Now()
	roster.readAt = now
	if roster.held && now.Sub(roster.backAt) >= returnTime {
		roster.take(roster.list, now)
		return
	}
	if len(roster.misplaced) > 0 {
		roster.publish(now)
	}
}

func (roster *Roster) take(list []Replica, now time.Time) {
	roster.readAt = now
	roster.list = list
	roster.held = false
	next := make(map[string]Replica, len(list))
	for _, replica := range list {
		next[replica.ID] = replica
		roster.domains.Store(replica.ID, replica.FailureDomain)
	}
	hold := now.Sub(roster.backAt) < returnTime
	for id, replica := range roster.known {
		if _, ok := next[id]; ok || !hold {
			continue
		}
		next[id] = replica
		roster.held = true
	}
	roster.tell(next)
	for id := range roster.known {
		if _, ok := next[id]; !ok {
			roster.domains.Delete(id)
		}
	}
	roster.known = next
	roster.publish(now)
}

// tell reports what differs between the known replicas and the next ones.
func (roster *Roster) tell(next map[string]Replica) {
	if roster.Changed == nil {
		return
	}
	for id, replica := range next {
		before, ok := roster.known[id]
		switch {
		case !ok:
			roster.Changed(replica, "came")
		case before.Leaving != replica.Leaving:
			roster.Changed(replica, "leaving")
		case before.Born != replica.Born || before.Address != replica.Address:
			roster.Changed(replica, "restarted")
		}
	}
	for id, replica := range roster.known {
		if _, ok := next[id]; !ok {
			roster.Changed(replica, Gone)
		}
	}
}

// Misplaced records that another replica answered at a replica's address.
func (roster *Roster) Misplaced(id string) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	if roster.misplaced == nil {
		roster.misplaced = make(map[string]time.Time)
	}
	now := roster.Now()
	roster.misplaced[id] = now
	if roster.Changed != nil {
		roster.Changed(roster.known[id], "misplaced")
	}
	roster.publish(now)
}

func (roster *Roster) publish(now time.Time) {
	byService := make(map[string][]Replica)
	for id, replica := range roster.known {
		at, misplaced := roster.misplaced[id]
		if misplaced && now.Sub(at) > misplacedTime {
			delete(roster.misplaced, id)
			misplaced = false
		}
		if !replica.Leaving && !misplaced {
			byService[replica.Service] = append(byService[replica.Service], replica)
		}
	}
	for _, list := range byService {
		slices.SortFunc(list, func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
	}
	roster.byService.Store(&byService)
}
