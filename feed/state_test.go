package feed_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/feed"
	"fescuehall/roster"
)

// States are ordered by the store's era and revision, and by the times of the reads only
// if a revision is not known.
func TestOrderOfStates(t *testing.T) {
	at := time.Unix(1000, 0)
	later := at.Add(time.Second)
	for _, test := range []struct {
		name  string
		state feed.State
		other feed.State
		older bool
	}{
		{name: "never read", state: feed.State{}, other: feed.State{ReadAt: at, Revision: 1}, older: true},
		{name: "the same", state: feed.State{ReadAt: at, Revision: 5}, other: feed.State{ReadAt: at, Revision: 5}},
		{name: "lower revision, later read", state: feed.State{ReadAt: later, Revision: 4}, other: feed.State{ReadAt: at, Revision: 5}, older: true},
		{name: "higher revision, earlier read", state: feed.State{ReadAt: at, Revision: 5}, other: feed.State{ReadAt: later, Revision: 4}},
		{name: "earlier era, higher revision", state: feed.State{ReadAt: at, Era: 1, Revision: 9}, other: feed.State{ReadAt: at, Era: 2, Revision: 4}, older: true},
		{name: "later era, lower revision", state: feed.State{ReadAt: at, Era: 2, Revision: 4}, other: feed.State{ReadAt: at, Era: 1, Revision: 9}},
		{name: "unknown revision, earlier read", state: feed.State{ReadAt: at, Era: 3}, other: feed.State{ReadAt: later, Revision: 4}, older: true},
		{name: "other revision unknown, later read", state: feed.State{ReadAt: later, Revision: 4}, other: feed.State{ReadAt: at}},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, test.state.OlderThan(test.other), qt.Equals, test.older)
		})
	}
}

// Guards against a list from a peer that replaces one of a later state of the store,
// which was read at an earlier time.
func TestListOfEarlierRevisionIsIgnored(t *testing.T) {
	for _, test := range []struct {
		name     string
		revision uint64
		updates  int
	}{
		{name: "earlier", revision: 6, updates: 0},
		{name: "the same", revision: 7, updates: 1},
		{name: "later", revision: 8, updates: 1},
		{name: "not known", revision: 0, updates: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			group := newGroup()
			reader, name, _ := group.roles()
			follower, received := group.follower(name)
			state := feed.State{ReadAt: group.now.Add(-400 * time.Millisecond), Revision: 7}
			group.feeds[name].PutReplicas(nil, state)
			group.feeds[name].PutHosts(hosts, state)
			group.readStore(reader, roster.Replica{ID: "left"})
			read := feed.State{ReadAt: group.now.Add(-100 * time.Millisecond), Revision: test.revision}
			group.feeds[reader].PutReplicas([]roster.Replica{{ID: "left"}}, read)
			group.feeds[reader].PutHosts(hosts, feed.State{ReadAt: read.ReadAt, Revision: 8})
			qt.Assert(t, follower.FetchOnce(context.Background()), qt.IsNil)
			qt.Assert(t, received.replicaUpdates, qt.Equals, test.updates)
			qt.Assert(t, follower.FetchedNewerReplicas(state), qt.Equals, test.revision == 8 || test.revision == 0)
		})
	}
}
