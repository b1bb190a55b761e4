// Package feed passes what a few hosts read from the platform's store on to the
// others of their failure domain, so that calls to the store do not grow with
// the number of hosts.
package feed

import (
	"bytes"
	"slices"
	"sync"
	"time"

	"fescuehall/message"
	"fescuehall/roster"
	"fescuehall/shard"
)

// Feed holds what this host read last, and what changed when, so that others are
// told of changes only. Set the fields before use.
type Feed struct {
	// Name is this host's name.
	Name string
	// Now is the clock.
	Now func() time.Time
	// Random returns a number below another. Sequences begin with it, so that those
	// of two processes of a host are not mixed up.
	Random func(n uint64) uint64

	mu         sync.Mutex
	version    uint64
	config     []byte
	replicas   map[string]listed
	hosts      []shard.Host
	sequence   uint64
	replicasAt time.Time
	hostsAt    time.Time
	// hostsSequence is when the hosts changed, and gone when replicas left. What
	// left before floor is forgotten.
	hostsSequence uint64
	gone          map[string]uint64
	floor         uint64
}

// listed is a replica and the sequence at which it changed last.
type listed struct {
	replica  roster.Replica
	sequence uint64
}

const (
	// mostGone bounds the replicas that left and are remembered; hosts that know
	// less are told the whole list.
	mostGone = 1024
	// firstMost bounds the first sequence, which leaves it room to grow.
	firstMost = 1 << 62
)

// PutConfig takes a configuration that was read.
func (feed *Feed) PutConfig(version uint64, config []byte) {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	if version > feed.version {
		feed.version = version
		feed.config = bytes.Clone(config)
	}
}

// next returns the sequence of a change that is about to be recorded.
func (feed *Feed) next() uint64 {
	if feed.replicas == nil {
		feed.sequence = feed.Random(firstMost)
		feed.floor = feed.sequence
		feed.replicas = make(map[string]listed)
		feed.gone = make(map[string]uint64)
	}
	return feed.sequence + 1
}

// PutReplicas takes the replicas that were read.
func (feed *Feed) PutReplicas(replicas []roster.Replica) {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	feed.replicasAt = feed.Now()
	next := feed.next()
	read := make(map[string]bool, len(replicas))
	for _, replica := range replicas {
		read[replica.ID] = true
		if known, ok := feed.replicas[replica.ID]; !ok || !sameReplica(known.replica, replica) {
			feed.replicas[replica.ID] = listed{replica: replica, sequence: next}
			delete(feed.gone, replica.ID)
			feed.sequence = next
		}
	}
	for id := range feed.replicas {
		if !read[id] {
			delete(feed.replicas, id)
			feed.gone[id] = next
			feed.sequence = next
		}
	}
	if len(feed.gone) > mostGone {
		clear(feed.gone)
		feed.floor = feed.sequence
	}
}

// sameReplica leaves out the warm-up, which changes with each reading.
func sameReplica(a, b roster.Replica) bool {
	a.Warmup, b.Warmup = 0, 0
	return a == b
}

// PutHosts takes the entry hosts that were read.
func (feed *Feed) PutHosts(hosts []shard.Host) {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	feed.hostsAt = feed.Now()
	next := feed.next()
	if !slices.Equal(feed.hosts, hosts) {
		feed.hosts = hosts
		feed.sequence, feed.hostsSequence = next, next
	}
}

// Fresh reports whether this host read its lists a short while ago.
func (feed *Feed) Fresh() bool {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	age := feed.age()
	return age != noLists && age <= mostAge.Microseconds()
}

// noLists is the age of lists that were never read.
const noLists = -1

// Answer tells another host of what has changed since it asked last, or of all
// that is known when that can't be told.
func (feed *Feed) Answer(fetch *message.FeedFetch) *message.FeedNews {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	news := &message.FeedNews{Version: feed.version, Source: feed.Name, Sequence: feed.sequence, AgeMicros: feed.age()}
	if fetch.Version < feed.version {
		news.Config = feed.config
	}
	since := fetch.Sequence
	switch {
	case fetch.Source == feed.Name && since == feed.sequence:
		news.Unchanged = true
		return news
	case fetch.Source != feed.Name || since < feed.floor || since > feed.sequence:
		news.Whole = true
		since = 0
	default:
		news.Gone = feed.goneSince(since)
	}
	for _, listed := range feed.replicas {
		if listed.sequence > since {
			news.Replicas = append(news.Replicas, encodeReplica(listed.replica))
		}
	}
	if news.HostsChanged = news.Whole || feed.hostsSequence > since; news.HostsChanged {
		news.Hosts = encodeHosts(feed.hosts)
	}
	return news
}

func (feed *Feed) goneSince(since uint64) []string {
	var gone []string
	for id, left := range feed.gone {
		if left > since {
			gone = append(gone, id)
		}
	}
	return gone
}

func encodeHosts(hosts []shard.Host) []message.ListedHost {
	encoded := make([]message.ListedHost, len(hosts))
	for place, host := range hosts {
		encoded[place] = message.ListedHost{Name: host.Name, Address: host.Address, FailureDomain: host.FailureDomain, Cores: host.Cores}
	}
	return encoded
}

// age is the age of the older list.
func (feed *Feed) age() int64 {
	if feed.replicasAt.IsZero() || feed.hostsAt.IsZero() {
		return noLists
	}
	older := feed.replicasAt
	if feed.hostsAt.Before(older) {
		older = feed.hostsAt
	}
	return feed.Now().Sub(older).Microseconds()
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
		Born:          replica.Born,
	}
}

func decodeReplica(listed message.ListedReplica) roster.Replica {
	return roster.Replica{
		ID:            listed.ID,
		Service:       listed.Service,
		Address:       listed.Address,
		FailureDomain: listed.FailureDomain,
		Slots:         listed.Slots,
		Leaving:       listed.Leaving,
		Warmup:        time.Duration(listed.WarmupMicros) * time.Microsecond,
		Born:          listed.Born,
	}
}
