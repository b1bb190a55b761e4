// Package feed shares what one host of a failure domain reads from the
// platform's store with the other hosts of that domain, so that the number of
// calls to the store does not grow with the number of hosts.
package feed

import (
	"slices"
	"sync"
	"time"

	"fescuehall/evacuation"
	"fescuehall/message"
	"fescuehall/roster"
	"fescuehall/shard"
)

// Feed keeps what this host last read from the store, and the sequence of each
// change, so that followers can be sent only what has changed. Set the exported
// fields before use.
type Feed struct {
	// Name is this host's name.
	Name string
	// Now is a clock that also runs while the machine is suspended.
	Now func() time.Time
	// Random returns a random number in [0, n). The first sequence is random,
	// so that sequences of an earlier process of the same host do not match by
	// chance.
	Random func(n uint64) uint64
	// Bound is the time within which a change of the configuration must be active on
	// each host that can reach the store; 0 means shortestBound.
	Bound time.Duration
	// Evacuations is the set of evacuated failure domains. It holds every change up
	// to a confirmation of the configuration before that is recorded.
	Evacuations *evacuation.Set

	mu sync.Mutex
	// configs holds versions of the configuration, the newest last.
	configs  []keptConfig
	replicas map[string]trackedReplica
	hosts    []shard.Host
	sequence uint64
	states   States
	// configConfirmedAt is when the store last confirmed the configuration, to this
	// host or to one that told this host.
	configConfirmedAt time.Time
	// hostsSequence is the sequence at which hosts last changed, and removed
	// maps replicas that are no longer listed to the sequence of their removal.
	// Removals up to oldestSequence are no longer recorded.
	hostsSequence  uint64
	removed        map[string]uint64
	oldestSequence uint64
}

// trackedReplica is a replica and the sequence at which it last changed.
type trackedReplica struct {
	replica  roster.Replica
	sequence uint64
}

const (
	// maxRemoved bounds the removed replicas that are recorded. Followers that
	// are further behind receive the complete lists.
	maxRemoved = 1024
	// maxFirstSequence bounds the random first sequence, so that sequences do
	// not overflow when they are incremented.
	maxFirstSequence = 1 << 62
)

// ConfirmConfig records that the store held no newer configuration at a time.
func (feed *Feed) ConfirmConfig(at time.Time) {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	if at.After(feed.configConfirmedAt) {
		feed.configConfirmedAt = at
	}
}

// ConfigAge returns the time since the store last confirmed the configuration, to
// this host or to one that told this host, and whether it ever did.
func (feed *Feed) ConfigAge() (time.Duration, bool) {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	if feed.configConfirmedAt.IsZero() {
		return 0, false
	}
	return feed.Now().Sub(feed.configConfirmedAt), true
}

// ConfigRecent reports whether the configuration was confirmed within the last
// configAgeRatio of Bound.
func (feed *Feed) ConfigRecent() bool {
	age, known := feed.ConfigAge()
	return known && age <= share(configAgeRatio, feed.Bound)
}

// nextSequence returns the sequence for changes that are about to be recorded.
// It initializes the feed at the first call.
func (feed *Feed) nextSequence() uint64 {
	if feed.replicas == nil {
		feed.sequence = feed.Random(maxFirstSequence)
		feed.oldestSequence = feed.sequence
		feed.replicas = make(map[string]trackedReplica)
		feed.removed = make(map[string]uint64)
	}
	return feed.sequence + 1
}

// PutReplicas stores the complete list of replicas, which shows a state of the store.
func (feed *Feed) PutReplicas(replicas []roster.Replica, state State) {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	feed.states.Replicas = state
	next := feed.nextSequence()
	listed := make(map[string]bool, len(replicas))
	for _, replica := range replicas {
		listed[replica.ID] = true
		tracked, ok := feed.replicas[replica.ID]
		coldAgain := replica.Warmup > tracked.replica.Warmup
		switch {
		case !ok || !sameReplica(tracked.replica, replica) || coldAgain:
			feed.replicas[replica.ID] = trackedReplica{replica: replica, sequence: next}
			delete(feed.removed, replica.ID)
			feed.sequence = next
		case replica.Warmup < tracked.replica.Warmup:
			feed.replicas[replica.ID] = trackedReplica{replica: replica, sequence: tracked.sequence}
		}
	}
	for id := range feed.replicas {
		if !listed[id] {
			delete(feed.replicas, id)
			feed.removed[id] = next
			feed.sequence = next
		}
	}
	if len(feed.removed) > maxRemoved {
		clear(feed.removed)
		feed.oldestSequence = feed.sequence
	}
}

// sameReplica compares replicas without their remaining warm-up time and their
// sequence, which differ at each read.
func sameReplica(a, b roster.Replica) bool {
	a.Warmup, b.Warmup = 0, 0
	a.ColdUntil, b.ColdUntil = time.Time{}, time.Time{}
	a.Sequence, b.Sequence = 0, 0
	return a == b
}

// PutHosts stores the complete list of entry hosts, which shows a state of the store.
func (feed *Feed) PutHosts(hosts []shard.Host, state State) {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	feed.states.Hosts = state
	next := feed.nextSequence()
	if !slices.Equal(feed.hosts, hosts) {
		feed.hosts = hosts
		feed.sequence, feed.hostsSequence = next, next
	}
}

// States returns the states that this host's own lists show.
func (feed *Feed) States() States {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	return feed.states
}

// neverRead is the age of lists that were never read.
const neverRead = -1

// Answer returns what has changed since the follower's last fetch, or the
// complete lists if the changes since then are not recorded.
func (feed *Feed) Answer(fetch *message.FeedFetch) *message.FeedNews {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	reply := &message.FeedNews{Source: feed.Name, Sequence: feed.sequence, AgeMicros: feed.age(feed.states.ReadAt()), ConfigAgeMicros: feed.age(feed.configConfirmedAt)}
	reply.ReplicasEra, reply.ReplicasRevision = feed.states.Replicas.Era, feed.states.Replicas.Revision
	reply.HostsEra, reply.HostsRevision = feed.states.Hosts.Era, feed.states.Hosts.Revision
	if reply.ConfigAgeMicros != neverRead {
		reply.Evacuated, reply.EvacuationsKnown = feed.Evacuations.Domains()
	}
	feed.addConfig(reply, fetch)
	// The follower rejects older lists.
	if reply.AgeMicros != neverRead && reply.AgeMicros <= maxListAge.Microseconds() {
		feed.addLists(reply, fetch)
	}
	return reply
}

// addLists adds to a reply the changes of the lists since the follower's last fetch,
// or the complete lists.
func (feed *Feed) addLists(reply *message.FeedNews, fetch *message.FeedFetch) {
	since := fetch.Sequence
	switch {
	case fetch.Source == feed.Name && since == feed.sequence:
		reply.Unchanged = true
		return
	case fetch.Source != feed.Name || since < feed.oldestSequence || since > feed.sequence:
		reply.Whole = true
		since = 0
	default:
		reply.Gone = feed.removedSince(since)
	}
	for _, tracked := range feed.replicas {
		if tracked.sequence > since {
			reply.Replicas = append(reply.Replicas, encodeReplica(tracked.replica))
		}
	}
	if reply.HostsChanged = reply.Whole || feed.hostsSequence > since; reply.HostsChanged {
		reply.Hosts = encodeHosts(feed.hosts)
	}
}

func (feed *Feed) removedSince(since uint64) []string {
	var ids []string
	for id, sequence := range feed.removed {
		if sequence > since {
			ids = append(ids, id)
		}
	}
	return ids
}

func encodeHosts(hosts []shard.Host) []message.ListedHost {
	encoded := make([]message.ListedHost, len(hosts))
	for i, host := range hosts {
		encoded[i] = message.ListedHost{Name: host.Name, Address: host.Address, FailureDomain: host.FailureDomain, Cores: host.Cores, KeepsAllowances: host.KeepsAllowances}
	}
	return encoded
}

// age returns the time since a read in microseconds, neverRead for the zero
// time.
func (feed *Feed) age(readAt time.Time) int64 {
	if readAt.IsZero() {
		return neverRead
	}
	return feed.Now().Sub(readAt).Microseconds()
}

func encodeReplica(replica roster.Replica) message.ListedReplica {
	return message.ListedReplica{
		ID:            replica.ID,
		Service:       replica.Service,
		Address:       replica.Address,
		FailureDomain: replica.FailureDomain,
		Slots:         replica.Slots,
		Leaving:       replica.Leaving,
		WarmupMicros:  replica.Warmup.Microseconds(),
		Born:          replica.Incarnation,
	}
}

func decodeReplica(encoded message.ListedReplica) roster.Replica {
	return roster.Replica{
		ID:            encoded.ID,
		Service:       encoded.Service,
		Address:       encoded.Address,
		FailureDomain: encoded.FailureDomain,
		Slots:         encoded.Slots,
		Leaving:       encoded.Leaving,
		Warmup:        time.Duration(encoded.WarmupMicros) * time.Microsecond,
		Incarnation:   encoded.Born,
	}
}
