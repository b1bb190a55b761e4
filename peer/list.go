// Package peer keeps the list of entry hosts and carries messages between them.
// It has other hosts gather shards of a request, that is, query the shards and
// merge their answers, when these hosts are nearer to the replicas.
package peer

import (
	"math"
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
	// Updated is called with each complete list that was read; it may be nil.
	Updated func(peers []shard.Host)
	// Changed is called with each host that joined the list ("came") or left it
	// ("left"); it may be nil.
	Changed func(peer shard.Host, change string)

	mu            sync.Mutex
	peers         []shard.Host
	lastSeen      map[string]seenHost
	firstUpdateAt time.Time
	// gatherers is the number of hosts in lastSeen that have gathererFactor times the
	// cores of the smallest one, and smallest the cores of that. They are 0 if some
	// cores are unknown.
	gatherers int
	smallest  float64
}

// seenHost is a host that was on the list.
type seenHost struct {
	at    time.Time
	cores float64
}

// Update replaces the list by the complete one that was read.
func (list *List) Update(peers []shard.Host) {
	if list.Updated != nil {
		list.Updated(peers)
	}
	list.mu.Lock()
	defer list.mu.Unlock()
	now := list.Now()
	if list.lastSeen == nil {
		list.lastSeen = make(map[string]seenHost)
		list.firstUpdateAt = now
	}
	list.reportChanges(peers)
	list.peers = slices.Clone(peers)
	list.markSeen(now)
	for name, seen := range list.lastSeen {
		if now.Sub(seen.at) > countedTime {
			delete(list.lastSeen, name)
		}
	}
	list.countGatherers()
}

// Confirm records that the list was read again and is unchanged.
func (list *List) Confirm() {
	list.mu.Lock()
	defer list.mu.Unlock()
	list.markSeen(list.Now())
}

func (list *List) markSeen(now time.Time) {
	for _, peer := range list.peers {
		list.lastSeen[peer.Name] = seenHost{at: now, cores: peer.Cores}
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

// Known reports whether the list was read at least once.
func (list *List) Known() bool {
	list.mu.Lock()
	defer list.mu.Unlock()
	return !list.firstUpdateAt.IsZero()
}

// All returns the hosts on the list.
func (list *List) All() []shard.Host {
	list.mu.Lock()
	defer list.mu.Unlock()
	return list.peers
}

// gatherersShare is the share of each common limit that is kept for hosts that gather
// for others, which send most requests to replicas.
const gatherersShare = 0.5

// Share returns the share, 0 to 1, of a limit that all hosts have in common for a host
// with a number of processor cores. Hosts that have gathererFactor times the cores of
// the smallest one have gatherersShare together, the others the rest. Without such
// hosts all have the same share. Hosts count that were on the list within the last
// countedTime.
func (list *List) Share(cores float64) float64 {
	list.mu.Lock()
	defer list.mu.Unlock()
	hosts := max(1, len(list.lastSeen))
	if list.firstUpdateAt.IsZero() || list.Now().Sub(list.firstUpdateAt) < startupTime {
		return 1 / float64(max(startupHosts, hosts))
	}
	switch {
	case list.gatherers == 0 || list.gatherers == hosts:
		return 1 / float64(hosts)
	case cores >= gathererFactor*list.smallest:
		return gatherersShare / float64(list.gatherers)
	}
	return (1 - gatherersShare) / float64(hosts-list.gatherers)
}

// countGatherers sets gatherers and smallest. Each attempt asks for a share, so they
// are not counted then. The caller holds the lock.
func (list *List) countGatherers() {
	list.gatherers, list.smallest = 0, math.Inf(1)
	for _, seen := range list.lastSeen {
		list.smallest = min(list.smallest, seen.cores)
	}
	if list.smallest <= 0 {
		list.smallest = 0
		return
	}
	for _, seen := range list.lastSeen {
		if seen.cores >= gathererFactor*list.smallest {
			list.gatherers++
		}
	}
}
