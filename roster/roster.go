// Package roster tracks the replicas that may get requests. It takes them from
// a list in which replicas register themselves and which may be unavailable
// for a while.
package roster

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// registrationGrace is how long after an outage of the list replicas have
	// to register again, since their registrations may have expired meanwhile.
	// The platform guarantees that they do so within about two seconds.
	registrationGrace = 2200 * time.Millisecond
	// outageThreshold is the time without a read of the list that counts as an
	// outage: three reads missed.
	outageThreshold = 2500 * time.Millisecond
	// misplacedTTL is how long a replica is skipped after another one answered
	// at its address. A crashed replica is removed from the list within three
	// heartbeats.
	misplacedTTL = 5 * time.Second
)

// Gone is the last change that Changed is called with for a replica.
const Gone = "gone"

// Replica is one process of a service.
type Replica struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Leaving is set when the replica gets no new requests.
	Leaving bool
	// Warmup is how much longer the replica will be slow after its start.
	Warmup time.Duration
	// ColdUntil is when that time ends by this host's clock, the zero time if it was
	// over when the entry was received.
	ColdUntil time.Time
	// Incarnation is the start time of the process in Unix milliseconds. It
	// changes when the replica restarts.
	Incarnation int64
	// Sequence counts the writes of the process to its entry, 0 if it is unknown.
	Sequence uint64
}

// ReceivedAt returns the replica with ColdUntil as it is if the entry was received at
// a time.
func (replica Replica) ReceivedAt(at time.Time) Replica {
	replica.ColdUntil = time.Time{}
	if replica.Warmup > 0 {
		replica.ColdUntil = at.Add(replica.Warmup)
	}
	return replica
}

// Roster holds the registered replicas. Set the fields before use.
type Roster struct {
	// Now is the clock.
	Now func() time.Time
	// Changed is called with each replica that was added, removed or changed
	// state; it may be nil.
	Changed func(replica Replica, change string)

	mu      sync.Mutex
	history history
	// evacuated holds the failure domains whose replicas accept no requests.
	evacuated map[string]bool
	// leaving holds the incarnations of replicas that said in a reply that they leave.
	leaving  map[string]leavingReply
	replicas map[string]Replica
	// list is the list as last read.
	list []Replica
	// retaining is set when replicas contains some that are missing from list.
	retaining   bool
	misplacedAt map[string]time.Time
	lastRead    time.Time
	outageEnd   time.Time
	byService   atomic.Pointer[map[string][]Replica]
	// domains maps replica IDs to failure domains, for readers that take no
	// lock.
	domains sync.Map
}

// Available returns the replicas of a service that accept requests.
func (roster *Roster) Available(service string) []Replica {
	if all := roster.byService.Load(); all != nil {
		return (*all)[service]
	}
	return nil
}

// Accepts reports whether a replica accepts requests.
func (roster *Roster) Accepts(service, id string) bool {
	return slices.ContainsFunc(roster.Available(service), func(replica Replica) bool { return replica.ID == id })
}

// Domain returns the failure domain of a replica.
func (roster *Roster) Domain(id string) string {
	if domain, ok := roster.domains.Load(id); ok {
		return domain.(string)
	}
	return ""
}

// Loaded reports whether the list has been read at least once.
func (roster *Roster) Loaded() bool {
	return roster.byService.Load() != nil
}

// Update applies the complete list as it was read. Replicas missing from it are
// removed, unless an outage of the list ended within registrationGrace.
func (roster *Roster) Update(list []Replica) {
	roster.Resolve(list)
}

// Resolve applies a list as Update does, and returns it with the newest entry of each
// replica in place of older ones.
func (roster *Roster) Resolve(list []Replica) []Replica {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	now := roster.Now()
	if !roster.lastRead.IsZero() && now.Sub(roster.lastRead) > outageThreshold {
		roster.outageEnd = now
	}
	roster.history.ignored = roster.reportOlder
	resolved := roster.history.resolve(list, now)
	roster.apply(resolved, now)
	return resolved
}

func (roster *Roster) reportOlder(older Replica) {
	if roster.Changed != nil {
		roster.Changed(older, "older entry ignored")
	}
}

// Confirm records a read that found the list unchanged.
func (roster *Roster) Confirm() {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	now := roster.Now()
	roster.lastRead = now
	if roster.retaining && now.Sub(roster.outageEnd) >= registrationGrace {
		roster.apply(roster.list, now)
		return
	}
	if len(roster.misplacedAt) > 0 {
		roster.publish(now)
	}
}

func (roster *Roster) apply(list []Replica, now time.Time) {
	roster.lastRead = now
	roster.list = list
	roster.retaining = false
	next := make(map[string]Replica, len(list))
	for _, replica := range list {
		next[replica.ID] = replica
		if known, ok := roster.replicas[replica.ID]; !ok || known.FailureDomain != replica.FailureDomain {
			roster.domains.Store(replica.ID, replica.FailureDomain)
		}
	}
	retain := now.Sub(roster.outageEnd) < registrationGrace
	for id, replica := range roster.replicas {
		if _, ok := next[id]; ok || !retain {
			continue
		}
		next[id] = replica
		roster.retaining = true
	}
	roster.reportChanges(next)
	for id := range roster.replicas {
		if _, ok := next[id]; !ok {
			roster.domains.Delete(id)
		}
	}
	roster.replicas = next
	roster.forgetLeaving(now)
	roster.publish(now)
}

// reportChanges calls Changed for each difference between the current replicas
// and the next ones.
func (roster *Roster) reportChanges(next map[string]Replica) {
	if roster.Changed == nil {
		return
	}
	for id, replica := range next {
		previous, ok := roster.replicas[id]
		switch {
		case !ok:
			roster.Changed(replica, "came")
		case previous.Leaving != replica.Leaving:
			roster.Changed(replica, "leaving")
		case previous.Incarnation != replica.Incarnation || previous.Address != replica.Address:
			roster.Changed(replica, "restarted")
		}
	}
	for id, replica := range roster.replicas {
		if _, ok := next[id]; !ok {
			roster.Changed(replica, Gone)
		}
	}
}

// ReportMisplaced records that another replica answered at the address of the
// given one, which is skipped for a while.
func (roster *Roster) ReportMisplaced(id string) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	if roster.misplacedAt == nil {
		roster.misplacedAt = make(map[string]time.Time)
	}
	now := roster.Now()
	roster.misplacedAt[id] = now
	if roster.Changed != nil {
		roster.Changed(roster.replicas[id], "misplaced")
	}
	roster.publish(now)
}

// publish stores the replicas that accept requests, by service, for readers
// that take no lock.
func (roster *Roster) publish(now time.Time) {
	counts := make(map[string]int)
	for id, replica := range roster.replicas {
		if reportedAt, misplaced := roster.misplacedAt[id]; misplaced && now.Sub(reportedAt) > misplacedTTL {
			delete(roster.misplacedAt, id)
		}
		counts[replica.Service]++
	}
	byService := make(map[string][]Replica, len(counts))
	// All lists share one block of memory.
	block := make([]Replica, len(roster.replicas))
	for service, count := range counts {
		byService[service], block = block[:0:count], block[count:]
	}
	for id, replica := range roster.replicas {
		if roster.exclusion(id, replica) == "" {
			byService[replica.Service] = append(byService[replica.Service], replica)
		}
	}
	for _, list := range byService {
		slices.SortFunc(list, func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
	}
	roster.byService.Store(&byService)
}
