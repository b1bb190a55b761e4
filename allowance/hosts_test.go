package allowance_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/allowance"
	"fescuehall/message"
	"fescuehall/shard"
)

// Guards against seconds without any grant after all hosts were restarted: a host whose
// earlier process is still on the list keeps its limits at once.
func TestKeeperBegins(t *testing.T) {
	const name, other = "h1", "h2"
	tests := []struct {
		name       string
		first      []string
		registered bool
		// at once is set when the host keeps limits with the first list.
		atOnce bool
	}{
		{name: "earlier process is listed", first: []string{name}, atOnce: true},
		{name: "this process is listed", first: []string{name}, registered: true},
		{name: "not listed", first: []string{other}},
		{name: "nobody is listed"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			hosts := &allowance.Hosts{Name: name, Domain: "d", Now: func() time.Time { return now }, Registered: func() bool { return test.registered }}
			list := func(names ...string) []shard.Host {
				var listed []shard.Host
				for _, name := range names {
					listed = append(listed, shard.Host{Name: name, FailureDomain: "d", KeepsAllowances: true})
				}
				return listed
			}
			keeps := func() bool {
				_, keeps := hosts.Since("limit")
				return keeps
			}
			hosts.Update(list(test.first...))
			qt.Check(t, keeps(), qt.Equals, test.atOnce)
			now = now.Add(time.Second)
			hosts.Update(list(name))
			qt.Check(t, keeps(), qt.Equals, test.atOnce)
			now = now.Add(4 * time.Second)
			qt.Check(t, keeps(), qt.IsTrue)
		})
	}
}

// A host that becomes the keeper of a limit begins as soon as the earlier one has
// agreed or ended. Guards against seconds in which a failure domain's part of each moved
// limit is refused, when hosts leave the list in turns.
func TestTakeoverOfAnEarlierKeeper(t *testing.T) {
	errUnreachable := errors.New("unreachable")
	tests := []struct {
		name string
		// settled is how long the earlier host was the keeper before.
		settled time.Duration
		refused bool
		err     error
		ended   bool
		atOnce  bool
	}{
		{name: "agrees", settled: 10 * time.Second, atOnce: true},
		{name: "has another list", settled: 10 * time.Second, refused: true},
		{name: "does not answer", settled: 10 * time.Second, err: errUnreachable},
		{name: "has ended", settled: 10 * time.Second, err: errUnreachable, ended: true, atOnce: true},
		{name: "agrees, but took over itself just before", settled: time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				asked := 0
				hosts := &allowance.Hosts{
					Name: "h1", Domain: "d", Now: time.Now,
					Ended: func(shard.Host) bool { return test.ended },
					Ask: func(_ context.Context, host shard.Host, ask *message.AllowanceAsk) (*message.AllowanceGrant, error) {
						asked++
						qt.Check(t, host.Name, qt.Equals, "h2")
						qt.Check(t, ask.FailureDomain, qt.Equals, "d")
						return &message.AllowanceGrant{Refused: test.refused}, test.err
					},
				}
				hosts.Update([]shard.Host{{Name: "h2", FailureDomain: "d", KeepsAllowances: true}})
				time.Sleep(test.settled)
				hosts.Update([]shard.Host{{Name: "h1", FailureDomain: "d", KeepsAllowances: true}})
				_, keeps := hosts.Since("limit")
				qt.Check(t, keeps, qt.IsFalse)
				synctest.Wait()
				begin, keeps := hosts.Since("limit")
				qt.Check(t, keeps, qt.Equals, test.atOnce)
				qt.Check(t, asked, qt.Equals, 1)
				time.Sleep(4 * time.Second)
				later, keeps := hosts.Since("limit")
				qt.Check(t, keeps, qt.IsTrue)
				if test.atOnce {
					qt.Check(t, later, qt.Equals, begin)
				}
			})
		})
	}
}

// Guards against seconds without a grant at each change of a large failure domain, for
// example while its hosts are restarted one after the other: a host that stays a limit's
// keeper grants on, however often the list changes.
func TestKeeperStays(t *testing.T) {
	now := time.Unix(1000, 0)
	hosts := &allowance.Hosts{Name: "h1", Domain: "d", Now: func() time.Time { return now }}
	both := []shard.Host{{Name: "h1", FailureDomain: "d", KeepsAllowances: true}, {Name: "h2", FailureDomain: "d", KeepsAllowances: true}}
	hosts.Update(both)
	limit := ""
	for keeper, number := "", 0; keeper != "h1"; number++ {
		limit = fmt.Sprint("limit", number)
		found, _ := hosts.Keeper(limit, "d")
		keeper = found.Name
	}
	now = now.Add(10 * time.Second)
	for change := range 200 {
		hosts.Update(both[:1+change%2])
		_, keeps := hosts.Since(limit)
		qt.Assert(t, keeps, qt.IsTrue, qt.Commentf("after %d changes", change))
		now = now.Add(time.Second)
	}
}

// Guards against a keeper by an old list for as long as the list does not change: of two
// lists that arrive at the same time, one read and one fetched, the one that is passed
// again afterwards holds.
func TestUpdatesAtTheSameTime(t *testing.T) {
	lists := [][]shard.Host{{{Name: "h1", FailureDomain: "d", KeepsAllowances: true}}, {{Name: "h2", FailureDomain: "d", KeepsAllowances: true}}}
	for number := range 1000 {
		lists[1] = append(lists[1], shard.Host{Name: fmt.Sprint("other", number), FailureDomain: "e", KeepsAllowances: true})
	}
	hosts := &allowance.Hosts{Name: "h1", Domain: "d", Now: time.Now}
	for round := range 200 {
		var group sync.WaitGroup
		for _, list := range lists {
			group.Go(func() { hosts.Update(list) })
		}
		group.Wait()
		last := lists[round%len(lists)]
		hosts.Update(last)
		keeper, _ := hosts.Keeper("limit", "d")
		qt.Assert(t, keeper.Name, qt.Equals, last[0].Name)
	}
}
