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

var errLost = errors.New("reply was lost")

// values is a store in memory whose answers can be spoiled.
type values struct {
	held     map[string]store.Value
	revision uint64
	// loseReply applies the next write and loses its reply.
	loseReply bool
	// dropWrite loses the next write before its effect.
	dropWrite bool
	down      bool
	// unreadable fails every read.
	unreadable bool
}

func (values *values) Get(_ context.Context, key string) (store.Value, error) {
	if values.down || values.unreadable {
		return store.Value{}, store.ErrUnavailable
	}
	value, ok := values.held[key]
	if !ok {
		return store.Value{}, store.ErrNotFound
	}
	return value, nil
}

func (values *values) Put(_ context.Context, key string, content []byte, expected uint64, _ time.Duration) (uint64, error) {
	if values.down {
		return 0, store.ErrUnavailable
	}
	if values.dropWrite {
		values.dropWrite = false
		return 0, errLost
	}
	if values.held[key].Revision != expected {
		return 0, store.ErrConflict
	}
	values.revision++
	values.held[key] = store.Value{Content: content, Revision: values.revision}
	if values.loseReply {
		values.loseReply = false
		return 0, errLost
	}
	return values.revision, nil
}

func claimers(count int) (*values, []*claim.Claimer) {
	values := &values{held: make(map[string]store.Value)}
	var all []*claim.Claimer
	nonce := 0
	for place := range count {
		all = append(all, &claim.Claimer{Host: fmt.Sprint("host-", place), Get: values.Get, Put: values.Put, Nonce: func() string {
			nonce++
			return fmt.Sprint(nonce)
		}})
	}
	return values, all
}

// What the second host hears of an identity, after the first host's claim met
// a fault and was settled.
func TestClaimOfAnotherHost(t *testing.T) {
	tests := []struct {
		name   string
		spoil  func(*values)
		settle verdict.Verdict
		first  verdict.Verdict
		second verdict.Verdict
	}{
		{name: "first host is killed", second: verdict.MayHaveRun},
		{name: "first host ran it", settle: verdict.Ran, second: verdict.Ran},
		{name: "first host can't tell", settle: verdict.MayHaveRun, second: verdict.MayHaveRun},
		{name: "first host did not run it", settle: verdict.NotRun},
		{name: "reply of the claim was lost", spoil: func(values *values) { values.loseReply = true }, settle: verdict.Ran, second: verdict.Ran},
		{name: "claim was lost on its way", spoil: func(values *values) { values.dropWrite = true }, settle: verdict.Ran, second: verdict.Ran},
		{name: "store is down", spoil: func(values *values) { values.down = true }, first: verdict.NotRun},
		{name: "reply was lost and can't be read back", spoil: func(values *values) { values.loseReply, values.unreadable = true, true }, first: verdict.NotRun, second: verdict.MayHaveRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			values, hosts := claimers(2)
			if test.spoil != nil {
				test.spoil(values)
			}
			settle, err := hosts[0].Claim(context.Background(), "seal-1")
			if test.first != 0 {
				qt.Assert(t, verdict.Of(err).Verdict, qt.Equals, test.first)
			} else {
				qt.Assert(t, err, qt.IsNil)
				settle(test.settle)
			}
			values.down, values.unreadable = false, false
			_, err = hosts[1].Claim(context.Background(), "seal-1")
			if test.second == 0 {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, verdict.Of(err).Verdict, qt.Equals, test.second)
		})
	}
}

func TestReleasedClaimIsTakenOnce(t *testing.T) {
	_, hosts := claimers(3)
	settle, err := hosts[0].Claim(context.Background(), "seal-1")
	qt.Assert(t, err, qt.IsNil)
	settle(verdict.NotRun)
	_, err = hosts[1].Claim(context.Background(), "seal-1")
	qt.Assert(t, err, qt.IsNil)
	_, err = hosts[2].Claim(context.Background(), "seal-1")
	qt.Assert(t, verdict.Of(err).Verdict, qt.Equals, verdict.MayHaveRun)
}

// A host that settles late, after another has taken the released identity,
// changes nothing.
func TestLateSettleChangesNothing(t *testing.T) {
	_, hosts := claimers(3)
	settle, err := hosts[0].Claim(context.Background(), "seal-1")
	qt.Assert(t, err, qt.IsNil)
	settle(verdict.NotRun)
	_, err = hosts[1].Claim(context.Background(), "seal-1")
	qt.Assert(t, err, qt.IsNil)
	settle(verdict.NotRun)
	_, err = hosts[2].Claim(context.Background(), "seal-1")
	qt.Assert(t, verdict.Of(err).Verdict, qt.Equals, verdict.MayHaveRun)
}
