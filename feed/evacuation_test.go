package feed_test

import (
	"context"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/feed"
	"fescuehall/message"
	"fescuehall/roster"
	"fescuehall/shard"
)

// A follower has the reader's evacuations, and keeps its own when they are newer.
func TestFollowerAppliesEvacuations(t *testing.T) {
	for _, test := range []struct {
		name string
		// own and reader are the evacuations that the two hosts read, readerAge how
		// much earlier the reader did.
		own, reader []string
		readerAge   time.Duration
		want        []string
	}{
		{"the reader's are newer", []string{"x"}, []string{"y", "z"}, -500 * time.Millisecond, []string{"y", "z"}},
		{"the reader's are newer, and have ended", []string{"x"}, nil, -500 * time.Millisecond, nil},
		{"the reader's are older", []string{"x"}, []string{"y"}, 500 * time.Millisecond, []string{"x"}},
		{"the reader's are older, the own ones have ended", nil, []string{"y"}, 500 * time.Millisecond, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			group := newGroup()
			reader, name, _ := group.roles()
			follower, _ := group.follower(name)
			begun := group.now
			group.evacuated = test.own
			group.readStore(name)
			group.now, group.evacuated = begun.Add(-test.readerAge), test.reader
			group.readStore(reader)
			group.now = begun.Add(900 * time.Millisecond)
			qt.Assert(t, follower.FetchOnce(context.Background()), qt.IsNil)
			evacuated, known := group.feeds[name].Evacuations.Domains()
			qt.Assert(t, known, qt.IsTrue)
			qt.Assert(t, evacuated, qt.DeepEquals, test.want)
		})
	}
}

// The confirmation of a host of an earlier release, which knows no evacuations, counts
// for nothing, and a host that knows none itself takes no configuration from it.
func TestEarlierReleaseConfirmsNothing(t *testing.T) {
	for _, known := range []bool{true, false} {
		group := newGroup()
		reader, name, last := group.roles()
		follower, received := group.follower(name)
		follower.Hosts = func() []shard.Host {
			return slices.DeleteFunc(slices.Clone(hosts), func(host shard.Host) bool { return host.Name == last })
		}
		send := follower.SendFetch
		follower.SendFetch = func(ctx context.Context, host shard.Host, fetch *message.FeedFetch) (*message.FeedNews, error) {
			reply, err := send(ctx, host, fetch)
			if err == nil {
				reply.EvacuationsKnown, reply.Evacuated = false, nil
			}
			return reply, err
		}
		if known {
			group.evacuated = []string{"x"}
			group.feeds[name].Evacuations.Confirm(group.evacuated, group.now)
			group.feeds[name].ConfirmConfig(group.now)
		}
		group.now = group.now.Add(2 * time.Second)
		group.readStore(reader, roster.Replica{ID: "a"})
		err := follower.FetchOnce(context.Background())
		qt.Check(t, group.feeds[name].ConfigRecent(), qt.IsFalse)
		if !known {
			qt.Check(t, err, qt.ErrorMatches, ".*does not know the evacuated failure domains")
			qt.Check(t, received.configs, qt.Equals, 0)
			continue
		}
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, received.replicas, qt.HasLen, 1)
		evacuated, _ := group.feeds[name].Evacuations.Domains()
		qt.Check(t, evacuated, qt.DeepEquals, []string{"x"})
	}
}

// Guards against limits that nobody keeps beside hosts of an earlier release, which leave
// out of the list of hosts who keeps them: this host then reads that list itself.
func TestEarlierReleaseListsNoHosts(t *testing.T) {
	for _, earlier := range []bool{true, false} {
		group := newGroup()
		reader, _, name := group.roles()
		follower, _ := group.follower(name)
		group.feeds[name].Evacuations.Confirm(nil, group.now)
		updates := 0
		follower.UpdateHosts = func([]shard.Host) { updates++ }
		send := follower.SendFetch
		follower.SendFetch = func(ctx context.Context, host shard.Host, fetch *message.FeedFetch) (*message.FeedNews, error) {
			reply, err := send(ctx, host, fetch)
			if err == nil && earlier {
				reply.EvacuationsKnown = false
			}
			return reply, err
		}
		sentAt := group.now.Add(-time.Second)
		group.readStore(reader, roster.Replica{ID: "a"})
		qt.Assert(t, follower.FetchOnce(context.Background()), qt.IsNil)
		qt.Check(t, updates > 0, qt.Equals, !earlier)
		qt.Check(t, follower.MustReadHosts(), qt.Equals, earlier)
		qt.Check(t, follower.FetchedNewerHosts(feed.State{ReadAt: sentAt}), qt.Equals, !earlier)
		qt.Check(t, follower.HostsReadAt().After(sentAt), qt.Equals, !earlier)
		qt.Check(t, follower.MustReadStore(), qt.IsFalse)
	}
}
