// Package peer keeps the list of entry hosts and carries messages between them.
// It has other hosts gather shards of a request, that is, query the shards and
// merge their answers, when these hosts are nearer to the replicas.
package peer

import (
	"slices"
	"sync"
	"time"

	"fescuehall/shard"
)

const (
	// countedTime is how long a host is counted after it was last on the list.
	// A host that is isolated from the store drops off the list, but may still
	// spend its share of a common budget.
	countedTime = time.Minute
	// startupTime is how long after the first read the list may lack hosts that
	// started at the same time. Until then at least startupHosts are assumed.
	startupTime  = 10 * time.Second
	startupHosts = 12
)

// List is the list of entry hosts as it was last read. Set the exported fields
// before use.
type List struct {
	// Now returns the current time.
	Now func() time.Time
	// Changed is called with each host that joined the list ("came") or left it
	// ("left"); it may be nil.
	Changed func(peer shard.Host, change string)

	mu            sync.Mutex
	peers         []shard.Host
	lastSeen      map[string]time.Time
	firstUpdateAt time.Time
}

// Update replaces the list by the complete one that was read.
func (list *List) Update(peers []shard.Host) {
	list.mu.Lock()
	defer list.mu.Unlock()
	now := list.Now()
	if list.lastSeen == nil {
		list.lastSeen = make(map[string]time.Time)
		list.firstUpdateAt = now
	}
	list.reportChanges(peers)
	list.peers = slices.Clone(peers)
	list.markSeen(now)
	for name, seenAt := range list.lastSeen {
		if now.Sub(seenAt) > countedTime {
			delete(list.lastSeen, name)
		}
	}
}

// Confirm records that the list was read again and is unchanged.
func (list *List) Confirm() {
	list.mu.Lock()
	defer list.mu.Unlock()
	list.markSeen(list.Now())
}

func (list *List) markSeen(now time.Time) {
	for _, peer := range list.peers {
		list.lastSeen[peer.Name] = now
	}
}

func (list *List) reportChanges(next []shard.Host) {
	if list.Changed == nil {
		return
	}
	for _, peer := range next {
		if !slices.Contains(list.peers, peer) {
			list.Changed(peer, "came")
		}
	}
	for _, peer := range list.peers {
		if !slices.Contains(next, peer) {
			list.Changed(peer, "left")
		}
	}
}

// All returns the hosts on the list.
func (list *List) All() []shard.Host {
	list.mu.Lock()
	defer list.mu.Unlock()
	return list.peers
}

// BudgetHosts returns the number of hosts that may be using a common budget:
// those on the list within the last countedTime, at least one.
func (list *List) BudgetHosts() int {
	list.mu.Lock()
	defer list.mu.Unlock()
	if list.firstUpdateAt.IsZero() || list.Now().Sub(list.firstUpdateAt) < startupTime {
		return max(startupHosts, len(list.lastSeen))
	}
	return max(1, len(list.lastSeen))
}
