package feed

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"fescuehall/message"
	"fescuehall/roster"
	"fescuehall/shard"
)

const (
	// readers is how many hosts of a failure domain read the store. A second one
	// would double the calls; while the one is lost, all read for themselves.
	readers = 1
	// askedHosts is how many hosts are asked in turn, the reader first. The next
	// is the reader as soon as the first is off the list.
	askedHosts = 3
	// mostAge of lists is taken from another host. With the pauses of reading and
	// asking it stays under the platform's shortest bound for leaving replicas.
	mostAge = 1500 * time.Millisecond
	// fedTime is how long a host relies on what it was told. The one that is next
	// to read waits less, so that the others find it reading.
	fedTime     = 1800 * time.Millisecond
	nextFedTime = time.Second
	// askTimeout bounds one question.
	askTimeout = 250 * time.Millisecond
	readerDuty = "ReadStore"
)

// Follower takes what a reader of the same failure domain read. Set the fields
// before use.
type Follower struct {
	Name   string
	Domain string
	// Now is the clock.
	Now func() time.Time
	// Hosts returns the hosts known.
	Hosts func() []shard.Host
	// Version returns the version of the routes in force.
	Version func() uint64
	// Ask asks a host.
	Ask func(ctx context.Context, host shard.Host, fetch *message.FeedFetch) (*message.FeedNews, error)
	// TakeConfig, TakeReplicas and TakeHosts take what has changed.
	TakeConfig   func(config []byte) error
	TakeReplicas func(replicas []roster.Replica)
	TakeHosts    func(hosts []shard.Host)
	// Fresh reports whether what this host read itself is recent.
	Fresh func() bool
	// Confirm is told that the lists have not changed.
	Confirm func()

	// held and hosts are what source listed at sequence.
	held     map[string]roster.Replica
	hosts    []shard.Host
	source   string
	sequence uint64
	fedAt    atomic.Pointer[time.Time]
}

// Reads reports whether this host has to read the store: it is a reader, or
// none tells it what it read.
func (follower *Follower) Reads() bool {
	relied := fedTime
	for place, host := range follower.order() {
		if host.Name != follower.Name {
			continue
		}
		if place < readers {
			return true
		}
		if place == readers {
			relied = nextFedTime
		}
	}
	fedAt := follower.fedAt.Load()
	return fedAt == nil || follower.Now().Sub(*fedAt) > relied
}

// order returns the hosts to ask, the reader first. Larger hosts come before
// smaller ones: reading takes a small one longer than the lists may age.
func (follower *Follower) order() []shard.Host {
	hosts := follower.Hosts()
	most := 0.0
	for _, host := range hosts {
		if host.FailureDomain == follower.Domain {
			most = max(most, host.Cores)
		}
	}
	large := make([]shard.Host, 0, len(hosts))
	for _, host := range hosts {
		if host.Cores >= most {
			large = append(large, host)
		}
	}
	order := shard.New(large).Chosen(readerDuty, follower.Domain, askedHosts)
	if len(order) == askedHosts {
		return order
	}
	for _, host := range shard.New(hosts).Chosen(readerDuty, follower.Domain, askedHosts) {
		if len(order) < askedHosts && !slices.Contains(order, host) {
			order = append(order, host)
		}
	}
	return order
}

// Step asks once. A reader asks only when the store does not answer it, which
// may turn some hosts away and serve others.
func (follower *Follower) Step(ctx context.Context) error {
	order := follower.order()
	if len(order) == 0 || order[0].Name == follower.Name && follower.Fresh() {
		return nil
	}
	var failed error
	for _, host := range order {
		if host.Name == follower.Name {
			continue
		}
		if failed = follower.ask(ctx, host); failed == nil {
			now := follower.Now()
			follower.fedAt.Store(&now)
			return nil
		}
	}
	return failed
}

func (follower *Follower) ask(ctx context.Context, host shard.Host) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	news, err := follower.Ask(ctx, host, &message.FeedFetch{Version: follower.Version(), Source: follower.source, Sequence: follower.sequence})
	if err != nil {
		return err
	}
	if age := time.Duration(news.AgeMicros) * time.Microsecond; news.AgeMicros == noLists || age > mostAge {
		return fmt.Errorf("host %s read its lists %v ago", host.Name, age)
	}
	if len(news.Config) > 0 {
		if err := follower.TakeConfig(news.Config); err != nil {
			return err
		}
	}
	if news.Unchanged {
		follower.Confirm()
		return nil
	}
	follower.take(news)
	return nil
}

func (follower *Follower) take(news *message.FeedNews) {
	if news.Whole {
		follower.held = make(map[string]roster.Replica, len(news.Replicas))
	}
	for _, listed := range news.Replicas {
		follower.held[listed.ID] = decodeReplica(listed)
	}
	for _, id := range news.Gone {
		delete(follower.held, id)
	}
	replicas := make([]roster.Replica, 0, len(follower.held))
	for _, replica := range follower.held {
		replicas = append(replicas, replica)
	}
	follower.TakeReplicas(replicas)
	if news.HostsChanged {
		follower.hosts = make([]shard.Host, len(news.Hosts))
		for place, listed := range news.Hosts {
			follower.hosts[place] = shard.Host{Name: listed.Name, Address: listed.Address, FailureDomain: listed.FailureDomain, Cores: listed.Cores}
		}
	}
	follower.TakeHosts(follower.hosts)
	follower.source, follower.sequence = news.Source, news.Sequence
}
