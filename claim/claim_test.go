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

func (memoryStore *memoryStore) Get(_ context.Context, key string) (store.Value, error) {
	if memoryStore.unavailable || memoryStore.unreadable {
		return store.Value{}, store.ErrUnavailable
	}
	value, ok := memoryStore.values[key]
	if !ok {
		return store.Value{}, store.ErrNotFound
	}
	return value, nil
}

func (memoryStore *memoryStore) Put(_ context.Context, key string, content []byte, expected uint64, _ time.Duration) (uint64, error) {
	if memoryStore.unavailable {
		return 0, store.ErrUnavailable
	}
	if memoryStore.dropWrite {
		memoryStore.dropWrite = false
		return 0, errNoReply
	}
	if memoryStore.values[key].Revision != expected {
		return 0, store.ErrConflict
	}
	memoryStore.revision++
	memoryStore.values[key] = store.Value{Content: content, Revision: memoryStore.revision}
	if memoryStore.loseReply {
		memoryStore.loseReply = false
		return 0, errNoReply
	}
	return memoryStore.revision, nil
}

// newClaimers returns the claimers of a number of hosts that share a store.
func newClaimers(count int) (*memoryStore, []*claim.Claimer) {
	memoryStore := &memoryStore{values: make(map[string]store.Value)}
	var claimers []*claim.Claimer
	nonce := 0
	for i := range count {
		claimers = append(claimers, &claim.Claimer{Host: fmt.Sprint("host-", i), Get: memoryStore.Get, Put: memoryStore.Put, Nonce: func() string {
			nonce++
			return fmt.Sprint(nonce)
		}})
	}
	return memoryStore, claimers
}

// Two hosts claim the same request ID one after the other, with or without a
// fault of the store. The first and second verdicts are those of the hosts'
// failed claims; zero means that the claim succeeds.
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
		{name: "reply to the claim was lost", inject: func(memoryStore *memoryStore) { memoryStore.loseReply = true }, recorded: verdict.Ran, second: verdict.Ran},
		{name: "write of the claim was lost", inject: func(memoryStore *memoryStore) { memoryStore.dropWrite = true }, recorded: verdict.Ran, second: verdict.Ran},
		{name: "store is unavailable", inject: func(memoryStore *memoryStore) { memoryStore.unavailable = true }, first: verdict.NotRun},
		{name: "reply was lost and the claim can't be read back", inject: func(memoryStore *memoryStore) { memoryStore.loseReply, memoryStore.unreadable = true, true }, first: verdict.NotRun, second: verdict.MayHaveRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			memoryStore, hosts := newClaimers(2)
			if test.inject != nil {
				test.inject(memoryStore)
			}
			recordVerdict, err := hosts[0].Claim(context.Background(), "seal-1")
			if test.first != 0 {
				qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, test.first)
			} else {
				qt.Assert(t, err, qt.IsNil)
				recordVerdict(test.recorded)
			}
			memoryStore.unavailable, memoryStore.unreadable = false, false
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
// another host has claimed the released ID: that must not release the new
// claim.
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
