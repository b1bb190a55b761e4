package allowance_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/allowance"
	"fescuehall/message"
	"fescuehall/shard"
)

// A request bound to several limits takes a token of each or none, and gives all back.
func TestTakeAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		left := map[string]float64{"a": 3, "b": 1}
		tokens := (&keepers{}).newTokens()
		tokens.Domains = domainNames(1)
		tokens.Ask = func(_ context.Context, _ shard.Host, ask *message.AllowanceAsk) (*message.AllowanceGrant, error) {
			granted := min(left[ask.Limit], ask.Tokens)
			left[ask.Limit] -= granted
			grant := &message.AllowanceGrant{Tokens: granted, ExpiryMicros: 500_000}
			if granted < ask.Tokens {
				grant.NextMicros = 1_000_000
			}
			return grant, nil
		}
		limits := []allowance.Named{{Name: "a", Limit: newNamedLimit(4)}, {Name: "b", Limit: newNamedLimit(2)}}
		qt.Assert(t, tokens.TakeAll(t.Context(), nil).Decision, qt.Equals, allowance.Allowed)
		now := tokens.TakeAllNow(limits)
		qt.Assert(t, now.Decision, qt.Equals, allowance.Unknown)
		qt.Assert(t, now.Asking, qt.IsTrue)
		first := tokens.TakeAll(t.Context(), limits)
		qt.Assert(t, first.Valid(time.Now()), qt.IsTrue)
		qt.Assert(t, first.Valid(time.Now().Add(time.Second)), qt.IsFalse)
		second := tokens.TakeAll(t.Context(), limits)
		qt.Assert(t, second.Decision, qt.Equals, allowance.UsedUp)
		qt.Assert(t, second.Valid(time.Now()), qt.IsFalse)
		// The token of a that the second had taken is there again.
		qt.Assert(t, tokens.TakeAllNow(limits[:1]).Decision, qt.Equals, allowance.Allowed)
		tokens.ReturnAll(first)
		qt.Assert(t, tokens.TakeAllNow(limits).Decision, qt.Equals, allowance.Allowed)
		qt.Assert(t, tokens.TakeAllNow(limits).Decision, qt.Not(qt.Equals), allowance.Allowed)
	})
}
