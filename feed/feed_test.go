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

// group is hosts of one failure domain that ask each other.
type group struct {
	now   time.Time
	feeds map[string]*feed.Feed
	down  map[string]bool
	asked int
}

func newGroup() *group {
	group := &group{now: time.Unix(1000, 0), feeds: make(map[string]*feed.Feed), down: make(map[string]bool)}
	for _, host := range hosts {
		group.feeds[host.Name] = newFeed(group, host.Name, 1)
	}
	return group
}

// newFeed returns the feed of one process of a host.
func newFeed(group *group, name string, process uint64) *feed.Feed {
	return &feed.Feed{Name: name, Now: func() time.Time { return group.now }, Random: rand.New(rand.NewPCG(process, 0)).Uint64N}
}

func (group *group) read(name string, replicas ...roster.Replica) {
	group.feeds[name].PutConfig(7, []byte("config"))
	group.feeds[name].PutReplicas(replicas)
	group.feeds[name].PutHosts(hosts)
}

// taken is what a follower was given.
type taken struct {
	configs   int
	replicas  []roster.Replica
	lists     int
	confirmed int
}

func (group *group) follower(name string) (*feed.Follower, *taken) {
	taken := &taken{}
	version := uint64(0)
	return &feed.Follower{
		Name:    name,
		Domain:  "d",
		Now:     func() time.Time { return group.now },
		Hosts:   func() []shard.Host { return hosts },
		Version: func() uint64 { return version },
		Fresh:   group.feeds[name].Fresh,
		Ask: func(_ context.Context, host shard.Host, fetch *message.FeedFetch) (*message.FeedNews, error) {
			group.asked++
			if group.down[host.Name] {
				return nil, errors.New("down")
			}
			return group.feeds[host.Name].Answer(fetch), nil
		},
		TakeConfig: func([]byte) error {
			taken.configs++
			version = 7
			return nil
		},
		TakeReplicas: func(replicas []roster.Replica) {
			taken.replicas = replicas
			taken.lists++
		},
		TakeHosts: func([]shard.Host) {},
		Confirm:   func() { taken.confirmed++ },
	}, taken
}

// roles returns the reader of the group and the two that follow it, in the
// order in which they would take its place.
func (group *group) roles() (reader, next, last string) {
	order := shard.New(hosts).Chosen("ReadStore", "d", 3)
	return order[0].Name, order[1].Name, order[2].Name
}

func TestFollowerTakesWhatTheReaderRead(t *testing.T) {
	group := newGroup()
	reader, name, _ := group.roles()
	replica := roster.Replica{ID: "a", Service: "s", Address: "1", FailureDomain: "d", Slots: 2, Warmup: time.Second, Born: 9}
	group.read(reader, replica)
	follower, taken := group.follower(name)
	qt.Assert(t, follower.Reads(), qt.IsTrue)
	qt.Assert(t, follower.Step(context.Background()), qt.IsNil)
	qt.Assert(t, follower.Reads(), qt.IsFalse)
	qt.Assert(t, taken.replicas, qt.DeepEquals, []roster.Replica{replica})
	qt.Assert(t, taken.configs, qt.Equals, 1)
	// Unchanged lists are not sent again, a warm-up that goes on is no change.
	replica.Warmup = 0
	group.read(reader, replica)
	qt.Assert(t, follower.Step(context.Background()), qt.IsNil)
	qt.Assert(t, []int{taken.lists, taken.confirmed, taken.configs}, qt.DeepEquals, []int{1, 1, 1})
	replica.Leaving = true
	group.read(reader, replica)
	qt.Assert(t, follower.Step(context.Background()), qt.IsNil)
	qt.Assert(t, taken.replicas[0].Leaving, qt.IsTrue)
}

func TestFollowerWithoutAReader(t *testing.T) {
	tests := []struct {
		name string
		// reader and next say whether these hosts answer, and how old their lists
		// are; a negative age is that of lists never read.
		readerDown        bool
		readerAge, second time.Duration
		fed               bool
	}{
		{name: "the reader answers", readerAge: 0, second: -1, fed: true},
		{name: "the reader is down, the next has read", readerDown: true, second: 0, fed: true},
		{name: "the reader is turned away, the next has read", readerAge: 5 * time.Second, second: 0, fed: true},
		{name: "no one has read", readerAge: 5 * time.Second, second: -1},
		{name: "all are down or old", readerDown: true, second: 5 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			group := newGroup()
			reader, next, name := group.roles()
			end := group.now
			for host, age := range map[string]time.Duration{reader: test.readerAge, next: test.second} {
				if age >= 0 {
					group.now = end.Add(-age)
					group.read(host)
				}
			}
			group.now = end
			group.down[reader] = test.readerDown
			follower, _ := group.follower(name)
			err := follower.Step(context.Background())
			qt.Assert(t, err == nil, qt.Equals, test.fed)
			qt.Assert(t, follower.Reads(), qt.Equals, !test.fed)
			group.now = group.now.Add(2 * time.Second)
			qt.Assert(t, follower.Reads(), qt.IsTrue)
		})
	}
}

// A reader asks no one while it reads, and the others when the store turns it
// away.
func TestReader(t *testing.T) {
	group := newGroup()
	name, next, _ := group.roles()
	group.read(name)
	follower, taken := group.follower(name)
	qt.Assert(t, follower.Step(context.Background()), qt.IsNil)
	qt.Assert(t, group.asked, qt.Equals, 0)
	qt.Assert(t, follower.Reads(), qt.IsTrue)
	group.now = group.now.Add(3 * time.Second)
	group.read(next, roster.Replica{ID: "new"})
	qt.Assert(t, follower.Step(context.Background()), qt.IsNil)
	qt.Assert(t, taken.replicas, qt.HasLen, 1)
	qt.Assert(t, follower.Reads(), qt.IsTrue)
}

// The largest host of a domain reads, whatever hashing says, and the smaller
// ones follow in order.
func TestLargestHostReads(t *testing.T) {
	group := newGroup()
	reader, next, last := group.roles()
	sized := make([]shard.Host, 0, len(hosts)+1)
	for _, host := range hosts {
		if host.Name == last {
			host.Cores = 0.8
		}
		sized = append(sized, host)
	}
	sized = append(sized, shard.Host{Name: "elsewhere", FailureDomain: "e", Cores: 4})
	for name, reads := range map[string]bool{last: true, reader: false, next: false} {
		follower, _ := group.follower(name)
		follower.Hosts = func() []shard.Host { return sized }
		group.read(last)
		qt.Assert(t, follower.Step(context.Background()), qt.IsNil)
		qt.Assert(t, follower.Reads(), qt.Equals, reads, qt.Commentf("%s", name))
	}
}

func named(ids ...string) []roster.Replica {
	replicas := make([]roster.Replica, len(ids))
	for place, id := range ids {
		replicas[place] = roster.Replica{ID: id, Service: "s"}
	}
	return replicas
}

// A follower is told of what has changed since it asked last, and then holds what
// the reader holds, whatever it missed in between.
func TestChangesAreTold(t *testing.T) {
	many := make([]string, 2000)
	for number := range many {
		many[number] = fmt.Sprint("r", number)
	}
	tests := []struct {
		name string
		// reads are the reader's readings, a follower asks after the first and the
		// last.
		reads [][]string
		// restart is set when the reader's process is another one by then.
		restart bool
		told    int
		gone    int
		whole   bool
	}{
		{name: "one came", reads: [][]string{{"a", "b"}, {"a", "b", "c"}}, told: 1},
		{name: "one left", reads: [][]string{{"a", "b"}, {"a"}}, gone: 1},
		{name: "came and left", reads: [][]string{{"a"}, {"a", "b"}, {"a"}}, gone: 1},
		{name: "left and came back", reads: [][]string{{"a", "b"}, {"a"}, {"b", "a"}}, told: 1},
		{name: "more left than are remembered", reads: [][]string{many, {"r0"}, {"r0", "x"}}, told: 2, whole: true},
		{name: "another process with as many changes", reads: [][]string{{"a", "b"}, {"a"}}, restart: true, told: 1, whole: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			group := newGroup()
			reader, name, _ := group.roles()
			follower, taken := group.follower(name)
			ask := follower.Ask
			var news *message.FeedNews
			follower.Ask = func(ctx context.Context, host shard.Host, fetch *message.FeedFetch) (*message.FeedNews, error) {
				answered, err := ask(ctx, host, fetch)
				news = answered
				return answered, err
			}
			for place, ids := range test.reads {
				if place > 0 && test.restart {
					group.feeds[reader] = newFeed(group, reader, 2)
				}
				group.read(reader, named(ids...)...)
				if place == 0 {
					qt.Assert(t, follower.Step(context.Background()), qt.IsNil)
				}
			}
			qt.Assert(t, follower.Step(context.Background()), qt.IsNil)
			last := named(test.reads[len(test.reads)-1]...)
			order := func(a, b roster.Replica) int { return strings.Compare(a.ID, b.ID) }
			slices.SortFunc(last, order)
			slices.SortFunc(taken.replicas, order)
			qt.Assert(t, taken.replicas, qt.DeepEquals, last)
			qt.Assert(t, news.Replicas, qt.HasLen, test.told)
			qt.Assert(t, news.Gone, qt.HasLen, test.gone)
			qt.Assert(t, news.Whole, qt.Equals, test.whole)
			qt.Assert(t, news.HostsChanged, qt.Equals, test.whole)
		})
	}
}
