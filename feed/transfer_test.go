package feed_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/feed"
	"fescuehall/message"
	"fescuehall/shard"
)

// largeConfig returns a configuration that takes several parts. It begins with its
// version.
func largeConfig(version uint64) []byte {
	const size = 100_000
	return append(fmt.Appendf(nil, "%d ", version), bytes.Repeat([]byte{'x'}, size)...)
}

// receiver is a follower of a group, with what it received.
type receiver struct {
	follower *feed.Follower
	// applied holds the versions that were applied, and partBytes counts the bytes
	// of the parts.
	applied   []uint64
	partBytes int
	// beforeFetch is called before each fetch with its number.
	beforeFetch func(number int)
	fetches     int
	// edit changes replies.
	edit func(reply *message.FeedNews)
}

func newReceiver(t *testing.T, group *group, name string) *receiver {
	receiver := &receiver{}
	receiver.follower, _ = group.follower(name)
	version := uint64(0)
	receiver.follower.Version = func() uint64 { return version }
	receiver.follower.ApplyConfig = func(config []byte) error {
		first, _, _ := bytes.Cut(config, []byte(" "))
		parsed, err := strconv.ParseUint(string(first), 10, 64)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, bytes.Equal(config, largeConfig(parsed)), qt.IsTrue)
		version = parsed
		receiver.applied = append(receiver.applied, parsed)
		return nil
	}
	send := receiver.follower.SendFetch
	receiver.follower.SendFetch = func(ctx context.Context, host shard.Host, fetch *message.FeedFetch) (*message.FeedNews, error) {
		if receiver.fetches++; receiver.beforeFetch != nil {
			receiver.beforeFetch(receiver.fetches)
		}
		reply, err := send(ctx, host, fetch)
		if err != nil {
			return nil, err
		}
		if receiver.edit != nil {
			receiver.edit(reply)
		}
		receiver.partBytes += len(reply.Config)
		return reply, nil
	}
	return receiver
}

// putConfig records at hosts' feeds that the store holds a version.
func (group *group) putConfig(version uint64, names ...string) {
	for _, name := range names {
		group.feeds[name].PutConfig(version, largeConfig(version))
		group.feeds[name].ConfirmConfig(group.now)
	}
}

// A large configuration is fetched in parts, one after the other, and is confirmed
// only once it is complete.
func TestConfigurationArrivesInParts(t *testing.T) {
	group := newGroup()
	reader, _, last := group.roles()
	group.readStore(reader)
	group.putConfig(8, reader)
	receiver := newReceiver(t, group, last)
	receiver.beforeFetch = func(number int) {
		qt.Check(t, receiver.follower.Transferring(), qt.Equals, number > 1)
		qt.Check(t, receiver.follower.ConfigRecent(), qt.IsFalse)
	}
	qt.Assert(t, receiver.follower.FetchOnce(context.Background()), qt.IsNil)
	qt.Assert(t, receiver.applied, qt.DeepEquals, []uint64{8})
	qt.Assert(t, receiver.fetches, qt.Equals, 4)
	qt.Assert(t, receiver.partBytes, qt.Equals, len(largeConfig(8)))
	qt.Assert(t, receiver.follower.Transferring(), qt.IsFalse)
	qt.Assert(t, receiver.follower.ConfigRecent(), qt.IsTrue)
}

// When the sending host fails, the transfer continues at the next one, without any byte
// for the second time.
func TestTransferContinuesAtAnotherHost(t *testing.T) {
	group := newGroup()
	reader, next, last := group.roles()
	group.readStore(reader)
	group.readStore(next)
	group.putConfig(8, reader, next)
	receiver := newReceiver(t, group, last)
	receiver.beforeFetch = func(number int) { group.down[reader] = number > 2 }
	qt.Assert(t, receiver.follower.FetchOnce(context.Background()), qt.IsNil)
	qt.Assert(t, receiver.applied, qt.DeepEquals, []uint64{8})
	qt.Assert(t, receiver.partBytes, qt.Equals, len(largeConfig(8)))
}

// Guards against versions that follow each other faster than they are transferred, so
// that none is ever complete.
func TestNewerVersionsDoNotRestartATransfer(t *testing.T) {
	group := newGroup()
	reader, _, last := group.roles()
	group.readStore(reader)
	group.putConfig(8, reader)
	receiver := newReceiver(t, group, last)
	receiver.beforeFetch = func(number int) {
		if number > 1 && number < 10 {
			group.putConfig(uint64(7+number), reader)
		}
	}
	qt.Assert(t, receiver.follower.FetchOnce(context.Background()), qt.IsNil)
	qt.Assert(t, receiver.applied, qt.DeepEquals, []uint64{8, 12, 16})
	qt.Assert(t, receiver.follower.Version(), qt.Equals, uint64(16))
}

// A transfer that gets no further part is no reason to wait for it.
func TestStuckTransfer(t *testing.T) {
	group := newGroup()
	reader, _, last := group.roles()
	group.readStore(reader)
	group.putConfig(8, reader)
	receiver := newReceiver(t, group, last)
	receiver.beforeFetch = func(number int) { group.down[reader] = number > 1 }
	qt.Assert(t, receiver.follower.FetchOnce(context.Background()), qt.IsNotNil)
	qt.Assert(t, receiver.follower.Transferring(), qt.IsTrue)
	group.now = group.now.Add(time.Second)
	qt.Assert(t, receiver.follower.Transferring(), qt.IsFalse)
}

// Parts that do not follow each other are not put together, and the transfer begins
// again. A host that claims a huge configuration takes no memory.
func TestMalformedParts(t *testing.T) {
	for name, edit := range map[string]func(reply *message.FeedNews){
		"gap":              func(reply *message.FeedNews) { reply.PartOffset += 10 },
		"repeated":         func(reply *message.FeedNews) { reply.PartOffset -= 10 },
		"other version":    func(reply *message.FeedNews) { reply.PartVersion++ },
		"other size":       func(reply *message.FeedNews) { reply.ConfigBytes++ },
		"more than whole":  func(reply *message.FeedNews) { reply.Config = append(bytes.Clone(reply.Config), largeConfig(8)...) },
		"huge":             func(reply *message.FeedNews) { reply.ConfigBytes = 1 << 40 },
		"negative size":    func(reply *message.FeedNews) { reply.ConfigBytes = -1 },
		"negative offset":  func(reply *message.FeedNews) { reply.PartOffset = -1 },
		"huge, first part": func(reply *message.FeedNews) { reply.PartOffset, reply.ConfigBytes = 0, 1<<40 },
		"negative, first":  func(reply *message.FeedNews) { reply.PartOffset, reply.ConfigBytes = 0, -1 },
	} {
		t.Run(name, func(t *testing.T) {
			group := newGroup()
			reader, _, last := group.roles()
			group.readStore(reader)
			group.putConfig(8, reader)
			receiver := newReceiver(t, group, last)
			edits := 0
			receiver.edit = func(reply *message.FeedNews) {
				if reply.PartOffset > 0 && edits == 0 {
					edits++
					edit(reply)
				}
			}
			qt.Assert(t, receiver.follower.FetchOnce(context.Background()), qt.IsNotNil)
			qt.Assert(t, receiver.applied, qt.HasLen, 0)
			qt.Assert(t, receiver.follower.FetchOnce(context.Background()), qt.IsNil)
			qt.Assert(t, receiver.applied, qt.DeepEquals, []uint64{8})
		})
	}
}

// Hosts of an earlier release neither ask for parts nor send them.
func TestWholeConfigurationsOfEarlierReleases(t *testing.T) {
	group := newGroup()
	reader, _, last := group.roles()
	group.readStore(reader)
	group.putConfig(8, reader)
	reply := group.feeds[reader].Answer(&message.FeedFetch{Version: 7})
	qt.Assert(t, bytes.Equal(reply.Config, largeConfig(8)), qt.IsTrue)
	qt.Assert(t, reply.PartVersion, qt.Equals, uint64(0))
	receiver := newReceiver(t, group, last)
	send := receiver.follower.SendFetch
	receiver.follower.SendFetch = func(ctx context.Context, host shard.Host, fetch *message.FeedFetch) (*message.FeedNews, error) {
		fetch.MaxConfigBytes = 0
		return send(ctx, host, fetch)
	}
	qt.Assert(t, receiver.follower.FetchOnce(context.Background()), qt.IsNil)
	qt.Assert(t, receiver.applied, qt.DeepEquals, []uint64{8})
}

// A host whose configuration can't be applied is reported, and not asked for it again
// and again.
func TestConfigurationThatIsNotApplied(t *testing.T) {
	group := newGroup()
	reader, _, last := group.roles()
	group.readStore(reader)
	group.putConfig(8, reader)
	for name, apply := range map[string]func([]byte) error{
		"refused":   func([]byte) error { return errors.New("malformed") },
		"not newer": func([]byte) error { return nil },
	} {
		receiver := newReceiver(t, group, last)
		receiver.follower.ApplyConfig = apply
		qt.Assert(t, receiver.follower.FetchOnce(context.Background()), qt.IsNotNil, qt.Commentf(name))
		// Four parts from the reader, and one fetch from each of the others.
		qt.Assert(t, receiver.fetches <= 6, qt.IsTrue, qt.Commentf("%s: %d fetches", name, receiver.fetches))
	}
}

// A follower that asks for more bytes than there are gets the rest, one that asks for
// bytes beyond the end the beginning.
func TestPartsBeyondTheEnd(t *testing.T) {
	group := newGroup()
	reader, _, _ := group.roles()
	group.putConfig(8, reader)
	size := int64(len(largeConfig(8)))
	for _, test := range []struct{ offset, max, from, bytes int64 }{
		{0, 1 << 62, 0, size},
		{size - 10, math.MaxInt64, size - 10, 10},
		{size, 100, 0, 100},
		{math.MaxInt64, 100, 0, 100},
		{-5, 100, 0, 100},
	} {
		reply := group.feeds[reader].Answer(&message.FeedFetch{Version: 7, PartVersion: 8, PartOffset: test.offset, MaxConfigBytes: test.max})
		qt.Check(t, reply.PartOffset, qt.Equals, test.from)
		qt.Check(t, int64(len(reply.Config)), qt.Equals, test.bytes)
	}
}
