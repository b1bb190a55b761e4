package feed_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/evacuation"
	"fescuehall/feed"
	"fescuehall/message"
	"fescuehall/roster"
	"fescuehall/shard"
)

var hosts = []shard.Host{
	{Name: "h1", Address: "10.0.0.1:1", FailureDomain: "d"},
	{Name: "h2", Address: "10.0.0.2:1", FailureDomain: "d"},
	{Name: "h3", Address: "10.0.0.3:1", FailureDomain: "d"},
}

// group is the hosts of one failure domain, which fetch from each other without
// a network.
type group struct {
	now   time.Time
	feeds map[string]*feed.Feed
	down  map[string]bool
	// evacuated is what the store holds.
	evacuated []string
	fetches   int
}

func newGroup() *group {
	group := &group{now: time.Unix(1000, 0), feeds: make(map[string]*feed.Feed), down: make(map[string]bool)}
	for _, host := range hosts {
		group.feeds[host.Name] = newFeed(group, host.Name, 1)
	}
	return group
}

// newFeed returns a feed for a host. Its random numbers depend on the number of
// the process, since a restarted host draws other ones.
func newFeed(group *group, name string, process uint64) *feed.Feed {
	return &feed.Feed{Name: name, Now: func() time.Time { return group.now }, Random: rand.New(rand.NewPCG(process, 0)).Uint64N, Evacuations: &evacuation.Set{}}
}

// readStore records at a host's feed what the host read from the store.
func (group *group) readStore(name string, replicas ...roster.Replica) {
	group.feeds[name].PutConfig(7, []byte("config"))
	group.feeds[name].Evacuations.Confirm(group.evacuated, group.now)
	group.feeds[name].ConfirmConfig(group.now)
	group.feeds[name].PutReplicas(replicas, feed.State{ReadAt: group.now})
	group.feeds[name].PutHosts(hosts, feed.State{ReadAt: group.now})
}

// received counts a follower's callbacks and holds the last list of replicas.
type received struct {
	configs        int
	replicas       []roster.Replica
	replicaUpdates int
	confirmations  int
	// sources are the hosts that were fetched from, without repetitions.
	sources []string
}

func (group *group) follower(name string) (*feed.Follower, *received) {
	received := &received{}
	version := uint64(0)
	return &feed.Follower{
		Name:        name,
		Domain:      "d",
		Now:         func() time.Time { return group.now },
		Hosts:       func() []shard.Host { return hosts },
		Version:     func() uint64 { return version },
		OwnStates:   group.feeds[name].States,
		Evacuations: group.feeds[name].Evacuations,
		SendFetch: func(_ context.Context, host shard.Host, fetch *message.FeedFetch) (*message.FeedNews, error) {
			group.fetches++
			if group.down[host.Name] {
				return nil, errors.New("down")
			}
			return group.feeds[host.Name].Answer(fetch), nil
		},
		ApplyConfig: func([]byte) error {
			received.configs++
			version = 7
			return nil
		},
		UpdateReplicas: func(replicas []roster.Replica) {
			received.replicas = replicas
			received.replicaUpdates++
		},
		UpdateHosts:   func([]shard.Host) {},
		ConfigRecent:  group.feeds[name].ConfigRecent,
		ConfirmConfig: group.feeds[name].ConfirmConfig,
		Confirm:       func() { received.confirmations++ },
		SourceChanged: func(host string) { received.sources = append(received.sources, host) },
	}, received
}

// roles returns the reader of the group and the other two hosts, in the order
// in which they would replace it.
func (group *group) roles() (reader, next, last string) {
	order := shard.New(hosts).HostsForRole("ReadStore", "d", 3)
	return order[0].Name, order[1].Name, order[2].Name
}

func TestFollowerAppliesReaderUpdates(t *testing.T) {
	group := newGroup()
	reader, name, _ := group.roles()
	replica := roster.Replica{ID: "a", Service: "s", Address: "1", FailureDomain: "d", Slots: 2, Warmup: time.Second, Incarnation: 9}
	group.readStore(reader, replica)
	follower, received := group.follower(name)
	qt.Assert(t, follower.MustReadStore(), qt.IsTrue)
	qt.Assert(t, follower.FetchOnce(context.Background()), qt.IsNil)
	qt.Assert(t, follower.MustReadStore(), qt.IsFalse)
	qt.Assert(t, received.replicas, qt.DeepEquals, []roster.Replica{replica.ReceivedAt(group.now)})
	qt.Assert(t, received.replicas[0].ColdUntil, qt.Equals, group.now.Add(time.Second))
	qt.Assert(t, received.configs, qt.Equals, 1)
	// Unchanged lists are not sent again; a shorter remaining warm-up is no
	// change.
	replica.Warmup = 0
	group.readStore(reader, replica)
	qt.Assert(t, follower.FetchOnce(context.Background()), qt.IsNil)
	qt.Assert(t, []int{received.replicaUpdates, received.confirmations, received.configs}, qt.DeepEquals, []int{1, 1, 1})
	replica.Leaving = true
	group.readStore(reader, replica)
	qt.Assert(t, follower.FetchOnce(context.Background()), qt.IsNil)
	qt.Assert(t, received.replicas[0].Leaving, qt.IsTrue)
	qt.Assert(t, received.replicas[0].ColdUntil.IsZero(), qt.IsTrue)
	// A replica that is cold again is sent again, and is not cold for longer when the
	// list is published again.
	replica.Warmup, group.now = time.Second, group.now.Add(500*time.Millisecond)
	coldUntil := group.now.Add(time.Second)
	group.readStore(reader, replica)
	qt.Assert(t, follower.FetchOnce(context.Background()), qt.IsNil)
	qt.Assert(t, received.replicas[0].ColdUntil, qt.Equals, coldUntil)
	group.now = group.now.Add(600 * time.Millisecond)
	other := roster.Replica{ID: "b", Service: "s", Address: "2", FailureDomain: "d", Slots: 2}
	replica.Warmup -= 600 * time.Millisecond
	group.readStore(reader, replica, other)
	qt.Assert(t, follower.FetchOnce(context.Background()), qt.IsNil)
	qt.Assert(t, received.replicas, qt.HasLen, 2)
	for _, replica := range received.replicas {
		qt.Assert(t, replica.ColdUntil.IsZero() || replica.ColdUntil.Equal(coldUntil), qt.IsTrue)
	}
}

func TestFollowerWithoutAReader(t *testing.T) {
	tests := []struct {
		name string
		// readerAge and nextAge are the ages of the lists of the reader and of
		// the host that would replace it, negative for lists that were never
		// read.
		readerDown         bool
		readerAge, nextAge time.Duration
		fetched            bool
	}{
		{name: "the reader answers", readerAge: 0, nextAge: -1, fetched: true},
		{name: "the reader is down, the next host has recent lists", readerDown: true, nextAge: 0, fetched: true},
		{name: "the store rejects the reader, the next host has recent lists", readerAge: 5 * time.Second, nextAge: 0, fetched: true},
		{name: "no host has recent lists", readerAge: 5 * time.Second, nextAge: -1},
		{name: "the reader is down, the lists of the next host are old", readerDown: true, nextAge: 5 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			group := newGroup()
			reader, next, name := group.roles()
			now := group.now
			for host, age := range map[string]time.Duration{reader: test.readerAge, next: test.nextAge} {
				if age >= 0 {
					group.now = now.Add(-age)
					group.readStore(host)
				}
			}
			group.now = now
			group.down[reader] = test.readerDown
			follower, _ := group.follower(name)
			err := follower.FetchOnce(context.Background())
			qt.Assert(t, err == nil, qt.Equals, test.fetched)
			qt.Assert(t, follower.MustReadStore(), qt.Equals, !test.fetched)
			group.now = group.now.Add(2 * time.Second)
			qt.Assert(t, follower.MustReadStore(), qt.IsTrue)
		})
	}
}

// A reply counts as old as it is when it arrives: a host that was paused after
// it had computed the reply, or before, must not bring back a replica that left
// meanwhile.
func TestFollowerRejectsDelayedReplies(t *testing.T) {
	for _, delay := range []time.Duration{0, 5 * time.Second} {
		group := newGroup()
		reader, _, name := group.roles()
		group.readStore(reader, newReplicas("left")...)
		follower, received := group.follower(name)
		sendFetch := follower.SendFetch
		follower.SendFetch = func(ctx context.Context, host shard.Host, fetch *message.FeedFetch) (*message.FeedNews, error) {
			reply, err := sendFetch(ctx, host, fetch)
			group.now = group.now.Add(delay)
			return reply, err
		}
		err := follower.FetchOnce(context.Background())
		qt.Assert(t, err == nil, qt.Equals, delay == 0)
		qt.Assert(t, received.replicaUpdates, qt.Equals, map[bool]int{true: 1, false: 0}[delay == 0])
	}
}

// A host whose watch of the configuration fails may hold a withdrawn route. A
// host that starts must not take that configuration from it.
func TestFollowerRejectsUnconfirmedConfigurations(t *testing.T) {
	group := newGroup()
	reader, _, name := group.roles()
	group.readStore(reader)
	group.now = group.now.Add(5 * time.Second)
	group.feeds[reader].PutReplicas(nil, feed.State{ReadAt: group.now})
	group.feeds[reader].PutHosts(hosts, feed.State{ReadAt: group.now})
	follower, received := group.follower(name)
	qt.Assert(t, follower.FetchOnce(context.Background()), qt.IsNotNil)
	qt.Assert(t, received.configs, qt.Equals, 0)
	qt.Assert(t, follower.MustReadStore(), qt.IsTrue)
	group.feeds[reader].ConfirmConfig(group.now)
	qt.Assert(t, follower.FetchOnce(context.Background()), qt.IsNil)
	qt.Assert(t, received.configs, qt.Equals, 1)
}

// The reader fetches from no other host while its own reads succeed, and from
// the others while the store rejects its calls.
func TestReaderFetchesOnlyWhileReadingFails(t *testing.T) {
	group := newGroup()
	name, next, _ := group.roles()
	group.readStore(name)
	follower, received := group.follower(name)
	qt.Assert(t, follower.FetchOnce(context.Background()), qt.IsNil)
	qt.Assert(t, group.fetches, qt.Equals, 0)
	qt.Assert(t, follower.MustReadStore(), qt.IsTrue)
	group.now = group.now.Add(3 * time.Second)
	group.readStore(next, roster.Replica{ID: "new"})
	qt.Assert(t, follower.FetchOnce(context.Background()), qt.IsNil)
	qt.Assert(t, received.replicas, qt.HasLen, 1)
	qt.Assert(t, follower.MustReadStore(), qt.IsTrue)
}

// The host with the most cores in a domain is the reader even if hashing
// prefers another one; smaller hosts do not read.
func TestLargestHostReads(t *testing.T) {
	group := newGroup()
	reader, next, last := group.roles()
	sizedHosts := make([]shard.Host, 0, len(hosts)+1)
	for _, host := range hosts {
		if host.Name == last {
			host.Cores = 0.8
		}
		sizedHosts = append(sizedHosts, host)
	}
	sizedHosts = append(sizedHosts, shard.Host{Name: "remote", FailureDomain: "e", Cores: 4})
	for name, reads := range map[string]bool{last: true, reader: false, next: false} {
		follower, _ := group.follower(name)
		follower.Hosts = func() []shard.Host { return sizedHosts }
		group.readStore(last)
		qt.Assert(t, follower.FetchOnce(context.Background()), qt.IsNil)
		qt.Assert(t, follower.MustReadStore(), qt.Equals, reads, qt.Commentf("%s", name))
	}
}

func newReplicas(ids ...string) []roster.Replica {
	replicas := make([]roster.Replica, len(ids))
	for i, id := range ids {
		replicas[i] = roster.Replica{ID: id, Service: "s"}
	}
	return replicas
}

// A follower receives only what has changed since its last fetch, and has the
// reader's list afterwards, even if the list changed several times in between.
func TestFollowerReceivesOnlyChanges(t *testing.T) {
	manyIDs := make([]string, 2000)
	for i := range manyIDs {
		manyIDs[i] = fmt.Sprint("r", i)
	}
	tests := []struct {
		name string
		// reads are the lists of IDs that the reader reads one after the other.
		// The follower fetches after the first and after the last.
		reads [][]string
		// restart replaces the reader's process before each later read.
		restart bool
		// changed and removed are the numbers of replicas in the last reply,
		// and whole is set if it holds the complete lists.
		changed int
		removed int
		whole   bool
	}{
		{name: "one joins", reads: [][]string{{"a", "b"}, {"a", "b", "c"}}, changed: 1},
		{name: "one leaves", reads: [][]string{{"a", "b"}, {"a"}}, removed: 1},
		{name: "one joins and leaves", reads: [][]string{{"a"}, {"a", "b"}, {"a"}}, removed: 1},
		{name: "one leaves and comes back", reads: [][]string{{"a", "b"}, {"a"}, {"b", "a"}}, changed: 1},
		{name: "more leave than are recorded", reads: [][]string{manyIDs, {"r0"}, {"r0", "x"}}, changed: 2, whole: true},
		{name: "another process with the same number of changes", reads: [][]string{{"a", "b"}, {"a"}}, restart: true, changed: 1, whole: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			group := newGroup()
			reader, name, _ := group.roles()
			follower, received := group.follower(name)
			sendFetch := follower.SendFetch
			var lastReply *message.FeedNews
			follower.SendFetch = func(ctx context.Context, host shard.Host, fetch *message.FeedFetch) (*message.FeedNews, error) {
				reply, err := sendFetch(ctx, host, fetch)
				lastReply = reply
				return reply, err
			}
			for i, ids := range test.reads {
				if i > 0 && test.restart {
					group.feeds[reader] = newFeed(group, reader, 2)
				}
				group.readStore(reader, newReplicas(ids...)...)
				if i == 0 {
					qt.Assert(t, follower.FetchOnce(context.Background()), qt.IsNil)
				}
			}
			qt.Assert(t, follower.FetchOnce(context.Background()), qt.IsNil)
			expected := newReplicas(test.reads[len(test.reads)-1]...)
			byID := func(a, b roster.Replica) int { return strings.Compare(a.ID, b.ID) }
			slices.SortFunc(expected, byID)
			slices.SortFunc(received.replicas, byID)
			qt.Assert(t, received.replicas, qt.DeepEquals, expected)
			qt.Assert(t, lastReply.Replicas, qt.HasLen, test.changed)
			qt.Assert(t, lastReply.Gone, qt.HasLen, test.removed)
			qt.Assert(t, lastReply.Whole, qt.Equals, test.whole)
			qt.Assert(t, lastReply.HostsChanged, qt.Equals, test.whole)
		})
	}
}

// A follower tells others how old the confirmation is that it got from the reader,
// so that a host may take the configuration from any other.
func TestConfirmationIsRelayedWithItsAge(t *testing.T) {
	for age, accepted := range map[time.Duration]bool{time.Second: true, 2 * time.Second: false} {
		group := newGroup()
		reader, name, last := group.roles()
		group.readStore(reader)
		follower, _ := group.follower(name)
		qt.Assert(t, follower.FetchOnce(context.Background()), qt.IsNil)
		group.feeds[name].PutConfig(7, []byte("config"))
		group.down[reader] = true
		group.now = group.now.Add(age)
		group.feeds[name].PutReplicas(nil, feed.State{ReadAt: group.now})
		group.feeds[name].PutHosts(hosts, feed.State{ReadAt: group.now})
		other, received := group.follower(last)
		err := other.FetchOnce(context.Background())
		qt.Assert(t, err == nil, qt.Equals, accepted, qt.Commentf("%v", err))
		qt.Assert(t, received.configs == 1, qt.Equals, accepted)
		qt.Assert(t, group.feeds[last].ConfigRecent(), qt.Equals, accepted)
	}
}

// Guards against a replica that is used again after it left, because a host that
// has read the list itself then gets an older one from another host.
func TestOlderListsAreNotApplied(t *testing.T) {
	group := newGroup()
	reader, name, _ := group.roles()
	group.readStore(reader, newReplicas("left")...)
	group.now = group.now.Add(time.Second)
	group.readStore(name)
	follower, received := group.follower(name)
	qt.Assert(t, follower.FetchOnce(context.Background()), qt.IsNil)
	qt.Assert(t, received.replicaUpdates, qt.Equals, 0)
	group.now = group.now.Add(time.Second)
	group.readStore(reader, newReplicas("new")...)
	qt.Assert(t, follower.FetchOnce(context.Background()), qt.IsNil)
	qt.Assert(t, received.replicas, qt.DeepEquals, newReplicas("new"))
}

// Guards against a host that keeps a short list of its own for as long as the lists of
// the host that it follows don't change.
func TestUnchangedListsReplaceAnOwnOne(t *testing.T) {
	group := newGroup()
	reader, name, _ := group.roles()
	group.readStore(reader, newReplicas("a", "b")...)
	follower, received := group.follower(name)
	qt.Assert(t, follower.FetchOnce(context.Background()), qt.IsNil)
	group.now = group.now.Add(100 * time.Millisecond)
	group.feeds[name].PutReplicas(newReplicas("a"), feed.State{ReadAt: group.now})
	group.feeds[name].PutHosts(hosts, feed.State{ReadAt: group.now})
	received.replicas = newReplicas("a")
	group.now = group.now.Add(100 * time.Millisecond)
	group.readStore(reader, newReplicas("a", "b")...)
	qt.Assert(t, follower.FetchOnce(context.Background()), qt.IsNil)
	qt.Assert(t, received.replicas, qt.HasLen, 2)
	qt.Assert(t, follower.FetchOnce(context.Background()), qt.IsNil)
	qt.Assert(t, received.replicaUpdates, qt.Equals, 2)
}
