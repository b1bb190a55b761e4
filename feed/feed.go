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

// Lists is what the store lists. Config is kept as operators wrote it.
type Lists struct {
	Version  uint64
	Config   []byte
	Replicas []roster.Replica
	Hosts    []shard.Host
}

// Feed holds what this host read last. Set the fields before use.
type Feed struct {
	// Name is this host's name.
	Name string
	// Now is the clock.
	Now func() time.Time

	mu         sync.Mutex
	lists      Lists
	sequence   uint64
	replicasAt time.Time
	hostsAt    time.Time
}

// PutConfig takes a configuration that was read.
func (feed *Feed) PutConfig(version uint64, config []byte) {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	if version > feed.lists.Version {
		feed.lists.Version = version
		feed.lists.Config = bytes.Clone(config)
	}
}

// PutReplicas takes the replicas that were read.
func (feed *Feed) PutReplicas(replicas []roster.Replica) {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	feed.replicasAt = feed.Now()
	if !slices.EqualFunc(feed.lists.Replicas, replicas, sameReplica) {
		feed.lists.Replicas = replicas
		feed.sequence++
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
	if !slices.Equal(feed.lists.Hosts, hosts) {
		feed.lists.Hosts = hosts
		feed.sequence++
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

// Answer tells a host what it lacks.
func (feed *Feed) Answer(fetch *message.FeedFetch) *message.FeedNews {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	news := &message.FeedNews{Version: feed.lists.Version, Source: feed.Name, Sequence: feed.sequence, AgeMicros: feed.age()}
	if fetch.Version < feed.lists.Version {
		news.Config = feed.lists.Config
	}
	if fetch.Source == feed.Name && fetch.Sequence == feed.sequence {
		news.Unchanged = true
		return news
	}
	news.Replicas = make([]message.ListedReplica, len(feed.lists.Replicas))
	for place, replica := range feed.lists.Replicas {
		news.Replicas[place] = encodeReplica(replica)
	}
	news.Hosts = make([]message.ListedHost, len(feed.lists.Hosts))
	for place, host := range feed.lists.Hosts {
		news.Hosts[place] = message.ListedHost{Name: host.Name, Address: host.Address, FailureDomain: host.FailureDomain, Cores: host.Cores}
	}
	return news
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
