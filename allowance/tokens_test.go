package allowance_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/allowance"
	"fescuehall/message"
	"fescuehall/shard"
)

// keepers are the fake keepers of two failure domains, "d0" and "d1".
type keepers struct {
	replies map[string]message.AllowanceGrant
	delay   time.Duration
	// asked lists the domains that were asked, wanted the tokens.
	asked  []string
	wanted []float64
}

func (keepers *keepers) newTokens() *allowance.Tokens {
	return &allowance.Tokens{
		Domain:  "d0",
		Domains: domainNames(2),
		Now:     time.Now,
		Random:  func() float64 { return 0 },
		Version: func() uint64 { return 1 },
		Keeper: func(_, domain string) (shard.Host, bool) {
			return shard.Host{Name: "keeper of " + domain, FailureDomain: domain}, true
		},
		Ask: func(ctx context.Context, keeper shard.Host, ask *message.AllowanceAsk) (*message.AllowanceGrant, error) {
			keepers.asked, keepers.wanted = append(keepers.asked, keeper.FailureDomain), append(keepers.wanted, ask.Tokens)
			select {
			case <-time.After(keepers.delay):
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			reply, ok := keepers.replies[keeper.FailureDomain]
			if !ok {
				return nil, errors.New("down")
			}
			return &reply, nil
		},
	}
}

// grant is a reply with tokens that are valid for a quarter second, none one without.
func grant(tokens float64) message.AllowanceGrant {
	return message.AllowanceGrant{Tokens: tokens, ExpiryMicros: 250_000}
}

func none(next time.Duration) message.AllowanceGrant {
	return message.AllowanceGrant{NextMicros: next.Microseconds()}
}

var refused = message.AllowanceGrant{Refused: true}

// Keepers are asked in turn, the own failure domain's first, until one grants a token.
// Only if all of them have none is the allowance known to be used up.
func TestDecisions(t *testing.T) {
	tests := []struct {
		name     string
		replies  map[string]message.AllowanceGrant
		delay    time.Duration
		decision allowance.Decision
		asked    []string
		// within is the longest time that the decision takes.
		within time.Duration
	}{
		{name: "own domain", replies: map[string]message.AllowanceGrant{"d0": grant(1), "d1": grant(1)}, decision: allowance.Allowed, asked: []string{"d0"}},
		{name: "other domain", replies: map[string]message.AllowanceGrant{"d0": none(time.Second), "d1": grant(1)}, decision: allowance.Allowed, asked: []string{"d0", "d1"}},
		{name: "own domain down", replies: map[string]message.AllowanceGrant{"d1": grant(1)}, decision: allowance.Allowed, asked: []string{"d0", "d1"}},
		{name: "used up", replies: map[string]message.AllowanceGrant{"d0": none(time.Second), "d1": none(2 * time.Second)}, decision: allowance.UsedUp, asked: []string{"d0", "d1"}},
		{name: "one does not keep it", replies: map[string]message.AllowanceGrant{"d0": none(time.Second), "d1": refused}, decision: allowance.Unknown, asked: []string{"d0", "d1"}},
		{name: "none replies", decision: allowance.Unknown, asked: []string{"d0", "d1"}},
		{name: "silence", delay: time.Minute, decision: allowance.Unknown, asked: []string{"d0", "d1"}, within: 150 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				keepers := &keepers{replies: test.replies, delay: test.delay}
				tokens, limit := keepers.newTokens(), newLimit(10, 10)
				begin := time.Now()
				ticket := tokens.Take(t.Context(), "workspace/w", limit)
				qt.Assert(t, ticket.Decision, qt.Equals, test.decision)
				qt.Assert(t, keepers.asked, qt.DeepEquals, test.asked)
				qt.Assert(t, time.Since(begin) <= test.within, qt.IsTrue)
				if test.decision != allowance.Allowed {
					// The next request is refused without a message, and is to come later.
					next := tokens.Take(t.Context(), "workspace/w", limit)
					qt.Assert(t, next.Decision, qt.Equals, test.decision)
					qt.Assert(t, keepers.asked, qt.HasLen, len(test.asked))
					qt.Assert(t, ticket.RetryAfter > 0, qt.IsTrue)
					qt.Assert(t, test.decision == allowance.UsedUp, qt.Equals, next.RetryAfter > ticket.RetryAfter)
				}
			})
		})
	}
}

// Tokens are void a time after the ask was sent: those that a late reply brings, those
// left over and those given back.
func TestTokensExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keepers := &keepers{replies: map[string]message.AllowanceGrant{"d0": grant(3), "d1": none(time.Second)}}
		tokens, limit := keepers.newTokens(), newLimit(10, 10)
		take := func() allowance.Ticket { return tokens.Take(t.Context(), "workspace/w", limit) }
		ticket := take()
		qt.Assert(t, take().Decision, qt.Equals, allowance.Allowed)
		qt.Assert(t, keepers.asked, qt.HasLen, 1)
		time.Sleep(249 * time.Millisecond)
		qt.Assert(t, take().Decision, qt.Equals, allowance.Allowed)
		tokens.Return("workspace/w", ticket)
		qt.Assert(t, take().Decision, qt.Equals, allowance.Allowed)
		qt.Assert(t, keepers.asked, qt.HasLen, 1)
		tokens.Return("workspace/w", ticket)
		keepers.replies["d0"] = none(time.Second)
		time.Sleep(time.Millisecond)
		qt.Assert(t, take().Decision, qt.Equals, allowance.UsedUp)
		time.Sleep(2 * time.Second)
		keepers.replies["d0"], keepers.delay = message.AllowanceGrant{Tokens: 3, ExpiryMicros: 50_000}, 51*time.Millisecond
		qt.Assert(t, take().Decision, qt.Equals, allowance.Unknown)
		time.Sleep(time.Second)
	})
}

// Concurrent requests share one ask, and the next is made before the tokens are used up.
func TestAsksAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keepers := &keepers{replies: map[string]message.AllowanceGrant{"d0": grant(20)}, delay: 5 * time.Millisecond}
		tokens := keepers.newTokens()
		for range 20 {
			go func() {
				qt.Check(t, tokens.Take(t.Context(), "workspace/w", newLimit(10, 10)).Decision, qt.Equals, allowance.Allowed)
			}()
		}
		time.Sleep(time.Second)
		synctest.Wait()
		qt.Assert(t, keepers.wanted, qt.HasLen, 2)
		qt.Assert(t, keepers.wanted[1], qt.Equals, 3.0, qt.Commentf("the second is made ahead of need"))
		qt.Assert(t, tokens.Counts()[0].Allowed, qt.Equals, int64(20))
	})
}

// newKeeper returns a keeper of a failure domain with two hosts, of which the other
// one keeps the limit until it leaves the list.
func newKeeper(t *testing.T, limit *allowance.Limit, readAt *time.Time) (keeper *allowance.Keeper, hosts *allowance.Hosts, alone []shard.Host) {
	name := "workspace/w"
	pair := []shard.Host{{Name: "a", FailureDomain: "d0", KeepsAllowances: true}, {Name: "b", FailureDomain: "d0", KeepsAllowances: true}, {Name: "old", FailureDomain: "d0"}}
	first := shard.New(pair[:2]).HostsForRole(name, "d0", 1)[0].Name
	index := 0
	if pair[0].Name == first {
		index = 1
	}
	hosts = &allowance.Hosts{
		Name: pair[index].Name, Domain: "d0", Now: time.Now,
		ReadAt:  func() time.Time { return *readAt },
		Ended:   func(shard.Host) bool { return true },
		Shuffle: func(int, func(i, j int)) {},
		Ask: func(context.Context, shard.Host, *message.AllowanceAsk) (*message.AllowanceGrant, error) {
			return nil, errors.New("down")
		},
	}
	hosts.Update(pair)
	keeper = &allowance.Keeper{Hosts: hosts, Domains: domainNames(1), Limit: func(*message.AllowanceAsk) (allowance.Limit, bool) { return *limit, limit.Rate > 0 }}
	qt.Assert(t, hosts.Name != first, qt.IsTrue)
	return keeper, hosts, pair[index : index+1]
}

// A host that becomes a keeper waits until an earlier one can't grant any more, and
// begins with next to nothing.
func TestKeeperTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit, readAt := newLimit(100, 1000), time.Now()
		keeper, hosts, alone := newKeeper(t, &limit, &readAt)
		ask := func() *message.AllowanceGrant {
			readAt = time.Now()
			return keeper.Grant(t.Context(), &message.AllowanceAsk{Limit: "workspace/w", Tokens: 1e6})
		}
		time.Sleep(10 * time.Second)
		qt.Assert(t, ask().Refused, qt.IsTrue, qt.Commentf("another host is the keeper"))
		hosts.Update(alone)
		time.Sleep(3499 * time.Millisecond)
		qt.Assert(t, ask().Refused, qt.IsTrue, qt.Commentf("the earlier keeper may have an old list"))
		time.Sleep(2 * time.Millisecond)
		grant := ask()
		qt.Assert(t, grant.Refused, qt.IsFalse)
		qt.Assert(t, grant.Tokens <= 1, qt.IsTrue)
		time.Sleep(time.Second)
		tokens := ask().Tokens
		qt.Assert(t, tokens >= 100 && tokens <= 101, qt.IsTrue, qt.Commentf("%v", tokens))
		time.Sleep(time.Hour)
		qt.Assert(t, ask().Tokens, qt.Equals, 1010.0, qt.Commentf("the bucket holds the burst and half of the slack"))
	})
}

// A keeper with an old list, whose peers don't confirm it, grants nothing.
func TestKeeperWithOldList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit, readAt := newLimit(100, 1000), time.Now()
		keeper, hosts, alone := newKeeper(t, &limit, &readAt)
		hosts.Update(alone)
		time.Sleep(5 * time.Second)
		ask := &message.AllowanceAsk{Limit: "workspace/w", Tokens: 1}
		readAt = time.Now().Add(-2 * time.Second)
		qt.Assert(t, keeper.Grant(t.Context(), ask).Refused, qt.IsFalse)
		readAt = time.Now().Add(-2001 * time.Millisecond)
		qt.Assert(t, keeper.Grant(t.Context(), ask).Refused, qt.IsTrue)
	})
}

// A lower limit binds at once: the bucket loses what exceeds it.
func TestLowerLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit, readAt := newLimit(100, 1000), time.Now()
		keeper, hosts, alone := newKeeper(t, &limit, &readAt)
		hosts.Update(alone)
		ask := &message.AllowanceAsk{Limit: "workspace/w", Tokens: 1e6}
		time.Sleep(5 * time.Second)
		readAt = time.Now()
		keeper.Grant(t.Context(), ask)
		time.Sleep(9 * time.Second)
		limit, readAt = newLimit(1, 5), time.Now()
		qt.Assert(t, keeper.Grant(t.Context(), ask).Tokens, qt.Equals, 15.0)
		limit.Rate = 0
		qt.Assert(t, keeper.Grant(t.Context(), ask).Refused, qt.IsTrue)
	})
}

// What is known of limits that are not in use any more is forgotten, by the hosts that
// took tokens and by the keeper. Figures are given of a bounded number of limits.
func TestIdleLimitsAreForgotten(t *testing.T) {
	const limits = 10_000
	synctest.Test(t, func(t *testing.T) {
		limit, readAt := newLimit(10, 10), time.Now()
		keeper, hosts, alone := newKeeper(t, &limit, &readAt)
		kept := 0
		keeper.Changed = func(_, change string) { kept += map[string]int{"kept": 1, "left": -1}[change] }
		hosts.Update(alone)
		time.Sleep(5 * time.Second)
		tokens := (&keepers{}).newTokens()
		tokens.Domains, tokens.Keeper = domainNames(1), hosts.Keeper
		tokens.Ask = func(ctx context.Context, _ shard.Host, ask *message.AllowanceAsk) (*message.AllowanceGrant, error) {
			readAt = time.Now()
			return keeper.Grant(ctx, ask), nil
		}
		take := func(name string) {
			qt.Assert(t, tokens.Take(t.Context(), name, limit).Decision, qt.Equals, allowance.Allowed)
		}
		for i := range limits {
			take(fmt.Sprint("workspace/", i))
		}
		qt.Assert(t, tokens.Counts(), qt.HasLen, 100)
		qt.Assert(t, kept, qt.Equals, limits)
		time.Sleep(11 * time.Minute)
		take("workspace/other")
		qt.Assert(t, tokens.Counts(), qt.HasLen, 1)
		qt.Assert(t, kept, qt.Equals, 1)
	})
}

// A host of an earlier release, which would close the connection, is never asked.
func TestEarlierReleaseIsNotAsked(t *testing.T) {
	hosts := &allowance.Hosts{Name: "new", Domain: "d0", Now: time.Now}
	list := []shard.Host{{Name: "new", FailureDomain: "d0", KeepsAllowances: true}}
	for i := range 20 {
		list = append(list, shard.Host{Name: fmt.Sprint("old", i), FailureDomain: fmt.Sprint("d", i%2)})
	}
	hosts.Update(list)
	keeper, ok := hosts.Keeper("workspace/w", "d0")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, keeper.Name, qt.Equals, "new")
	_, ok = hosts.Keeper("workspace/w", "d1")
	qt.Assert(t, ok, qt.IsFalse)
}
