// Package peer knows the other entry hosts, and hands gathered requests to one
// that is near the replicas.
package peer

import (
	"slices"
	"sync"
	"time"

	"fescuehall/shard"
)

const (
	// countTime is how long a host counts after it was last seen: a host that is
	// cut off from the list may still spend its part of a shared budget.
	countTime = time.Minute
	// settleTime is how long after its start a list may be short of hosts that
	// started at the same time.
	settleTime = 10 * time.Second
	// expectedHosts is assumed until then.
	expectedHosts = 12
)

// List is the entry hosts known. Set the fields before use.
type List struct {
	// Now is the clock.
	Now func() time.Time
	// Changed is told of each host that came or left; it may be nil.
	Changed func(peer shard.Host, change string)

	mu      sync.Mutex
	peers   []shard.Host
	seen    map[string]time.Time
	started time.Time
}

// Update takes a whole reading of the list.
func (list *List) Update(peers []shard.Host) {
	list.mu.Lock()
	defer list.mu.Unlock()
	now := list.Now()
	if list.seen == nil {
		list.seen = make(map[string]time.Time)
		list.started = now
	}
	list.tell(peers)
	list.peers = slices.Clone(peers)
	list.stamp(now)
	for name, at := range list.seen {
		if now.Sub(at) > countTime {
			delete(list.seen, name)
		}
	}
}

// Confirm takes a reading that found the list unchanged.
func (list *List) Confirm() {
	list.mu.Lock()
	defer list.mu.Unlock()
	list.stamp(list.Now())
}

func (list *List) stamp(now time.Time) {
	for _, peer := range list.peers {
		list.seen[peer.Name] = now
	}
}

func (list *List) tell(next []shard.Host) {
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

// All returns the hosts on the list now.
func (list *List) All() []shard.Host {
	list.mu.Lock()
	defer list.mu.Unlock()
	return list.peers
}

// Count returns how many hosts may share a budget.
func (list *List) Count() int {
	list.mu.Lock()
	defer list.mu.Unlock()
	if list.started.IsZero() || list.Now().Sub(list.started) < settleTime {
		return max(expectedHosts, len(list.seen))
	}
	return max(1, len(list.seen))
}
