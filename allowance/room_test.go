package allowance_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/allowance"
	"fescuehall/message"
	"fescuehall/shard"
)

// Room tells what Take would find, without a token taken, a request counted or a keeper
// asked.
func TestRoom(t *testing.T) {
	const name = "workspace/w"
	limit, now, asks, grants := newLimit(100, 50), time.Unix(1000, 0), 0, 3.0
	reachable := true
	tokens := newTokens(func() time.Time { return now })
	keeper := tokens.Keeper
	tokens.Keeper = func(limit, domain string) (shard.Host, bool) {
		found, ok := keeper(limit, domain)
		return found, ok && reachable
	}
	tokens.Ask = func(context.Context, shard.Host, *message.AllowanceAsk) (*message.AllowanceGrant, error) {
		asks++
		grant := &message.AllowanceGrant{Tokens: grants, ExpiryMicros: 100_000}
		if grants == 0 {
			grant.NextMicros = 300_000
		}
		return grant, nil
	}
	check := func(want allowance.Room) {
		t.Helper()
		before := tokens.Counts()
		for range 3 {
			qt.Check(t, tokens.Room(name, limit), qt.DeepEquals, want)
		}
		qt.Check(t, tokens.Counts(), qt.DeepEquals, before)
	}
	take := func() allowance.Decision { return tokens.Take(context.Background(), name, limit).Decision }
	check(allowance.Room{Keepers: []string{"h0"}})
	qt.Assert(t, asks, qt.Equals, 0)
	qt.Assert(t, tokens.Counts(), qt.HasLen, 0)
	qt.Assert(t, take(), qt.Equals, allowance.Allowed)
	qt.Assert(t, asks, qt.Equals, 1)
	check(allowance.Room{Decided: true, Decision: allowance.Allowed, Tokens: 2})
	now = now.Add(time.Second)
	check(allowance.Room{Keepers: []string{"h0"}})
	grants = 0
	qt.Assert(t, take(), qt.Equals, allowance.UsedUp)
	// 300 ms until the next token, and the place in line of the second refused request.
	check(allowance.Room{Decided: true, Decision: allowance.UsedUp, RetryAfter: 325 * time.Millisecond})
	qt.Assert(t, tokens.Take(context.Background(), name, limit).RetryAfter, qt.Equals, 325*time.Millisecond)
	now, reachable = now.Add(time.Second), false
	check(allowance.Room{Decided: true, Decision: allowance.Unknown, RetryAfter: 375 * time.Millisecond})
	qt.Assert(t, asks, qt.Equals, 2)
	qt.Assert(t, take(), qt.Equals, allowance.Unknown)
}
