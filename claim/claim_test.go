package claim_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/claim"
	"fescuehall/store"
	"fescuehall/verdict"
)

var errNoReply = errors.New("no reply")

// memoryStore is a store in memory that can inject faults.
type memoryStore struct {
	values   map[string]store.Value
	revision uint64
	// loseReply applies the next write and loses its reply.
	loseReply bool
	// dropWrite loses the next write without applying it.
	dropWrite bool
	// unavailable fails every call.
	unavailable bool
	// unreadable fails every read.
	unreadable bool
}

func (memory *memoryStore) Get(_ context.Context, key string) (store.Value, error) {
	if memory.unavailable || memory.unreadable {
		return store.Value{}, store.ErrUnavailable
	}
	value, ok := memory.values[key]
	if !ok {
		return store.Value{}, store.ErrNotFound
	}
	return value, nil
}

func (memory *memoryStore) Put(_ context.Context, key string, content []byte, expected uint64, _ time.Duration) (uint64, error) {
	if memory.unavailable {
		return 0, store.ErrUnavailable
	}
	if memory.dropWrite {
		memory.dropWrite = false
		return 0, errNoReply
	}
	if memory.values[key].Revision != expected {
		return 0, store.ErrConflict
	}
	memory.revision++
	memory.values[key] = store.Value{Content: content, Revision: memory.revision}
	if memory.loseReply {
		memory.loseReply = false
		return 0, errNoReply
	}
	return memory.revision, nil
}

// newClaimers returns the claimers of a number of hosts that share a store.
func newClaimers(count int) (*memoryStore, []*claim.Claimer) {
	memory := &memoryStore{values: make(map[string]store.Value)}
	var claimers []*claim.Claimer
	nonce := 0
	for i := range count {
		claimers = append(claimers, &claim.Claimer{Host: fmt.Sprint("host-", i), Get: memory.Get, Put: memory.Put, Nonce: func() string {
			nonce++
			return fmt.Sprint(nonce)
		}})
	}
	return memory, claimers
}

// Two hosts claim the same request ID one after the other, with or without a fault
// of the store. The first and second verdicts are those of the hosts' failed
// claims; zero means that the claim succeeds.
func TestSecondClaimOfARequest(t *testing.T) {
	tests := []struct {
		name     string
		inject   func(*memoryStore)
		recorded verdict.Verdict
		first    verdict.Verdict
		second   verdict.Verdict
	}{
		{name: "first host is killed", second: verdict.MayHaveRun},
		{name: "first host ran it", recorded: verdict.Ran, second: verdict.Ran},
		{name: "first host does not know whether it ran", recorded: verdict.MayHaveRun, second: verdict.MayHaveRun},
		{name: "first host did not run it", recorded: verdict.NotRun},
		{name: "reply to the claim was lost", inject: func(memory *memoryStore) { memory.loseReply = true }, recorded: verdict.Ran, second: verdict.Ran},
		{name: "write of the claim was lost", inject: func(memory *memoryStore) { memory.dropWrite = true }, recorded: verdict.Ran, second: verdict.Ran},
		{name: "store is unavailable", inject: func(memory *memoryStore) { memory.unavailable = true }, first: verdict.NotRun},
		{name: "reply was lost and the claim can't be read back", inject: func(memory *memoryStore) { memory.loseReply, memory.unreadable = true, true }, first: verdict.NotRun, second: verdict.MayHaveRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			memory, hosts := newClaimers(2)
			if test.inject != nil {
				test.inject(memory)
			}
			recordVerdict, err := hosts[0].Claim(context.Background(), "seal-1")
			if test.first != 0 {
				qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, test.first)
			} else {
				qt.Assert(t, err, qt.IsNil)
				recordVerdict(test.recorded)
			}
			memory.unavailable, memory.unreadable = false, false
			_, err = hosts[1].Claim(context.Background(), "seal-1")
			if test.second == 0 {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, test.second)
		})
	}
}

// A released request ID may be claimed again, but only by one host.
func TestReleasedClaimIsClaimedOnce(t *testing.T) {
	_, hosts := newClaimers(3)
	recordVerdict, err := hosts[0].Claim(context.Background(), "seal-1")
	qt.Assert(t, err, qt.IsNil)
	recordVerdict(verdict.NotRun)
	_, err = hosts[1].Claim(context.Background(), "seal-1")
	qt.Assert(t, err, qt.IsNil)
	_, err = hosts[2].Claim(context.Background(), "seal-1")
	qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, verdict.MayHaveRun)
}

// Guards against a host that records its verdict twice, the second time after
// another host has claimed the released ID: that must not release the new claim.
func TestLateVerdictDoesNotReleaseAnotherClaim(t *testing.T) {
	_, hosts := newClaimers(3)
	recordVerdict, err := hosts[0].Claim(context.Background(), "seal-1")
	qt.Assert(t, err, qt.IsNil)
	recordVerdict(verdict.NotRun)
	_, err = hosts[1].Claim(context.Background(), "seal-1")
	qt.Assert(t, err, qt.IsNil)
	recordVerdict(verdict.NotRun)
	_, err = hosts[2].Claim(context.Background(), "seal-1")
	qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, verdict.MayHaveRun)
}
