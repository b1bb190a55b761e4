package allowance_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/allowance"
	"fescuehall/shard"
)

// newLostHosts returns the tokens of hosts that reach no keeper.
func newLostHosts(count int) []*allowance.Tokens {
	random := rand.New(rand.NewPCG(1, 1))
	hosts := make([]*allowance.Tokens, count)
	for i := range hosts {
		hosts[i] = &allowance.Tokens{
			Domain: "d0", Domains: domainNames(2), Now: time.Now, Random: random.Float64,
			Version: func() uint64 { return 1 },
			Keeper:  func(_, _ string) (shard.Host, bool) { return shard.Host{}, false },
			Share:   func() float64 { return 1 / float64(count) },
		}
	}
	return hosts
}

// Hosts that no keeper tells anything still send their part of the reserve, and no more
// than that together, also if they lost their keepers at the same time and want many.
func TestReserveWithoutKeepers(t *testing.T) {
	for _, count := range []int{1, 6, 60, 195} {
		synctest.Test(t, func(t *testing.T) {
			hosts, limit := newLostHosts(count), newNamedLimit(30)
			var sent []time.Time
			begin := time.Now()
			for time.Since(begin) < 2*time.Minute {
				for _, tokens := range hosts {
					if tokens.TakeNow("named/a", limit).Decision == allowance.Allowed {
						sent = append(sent, time.Now())
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
			most, last := 0, 0
			for first, at := range sent {
				for last < len(sent) && sent[last].Before(at.Add(limit.Window)) {
					last++
				}
				most = max(most, last-first)
			}
			used := float64(len(sent)) / (limit.Reserve * time.Since(begin).Seconds())
			t.Logf("%d hosts: %.2f of the reserve used, at most %d in a window", count, used, most)
			qt.Check(t, used >= 0.9 && used <= 1.1, qt.IsTrue, qt.Commentf("%d hosts: %.2f of the reserve", count, used))
			qt.Check(t, float64(most) <= limit.Bound()-(limit.Rate*limit.Window.Seconds()+limit.Burst)*(1+limit.Overage), qt.IsTrue, qt.Commentf("%d hosts: %d in a window", count, most))
		})
	}
}

// Turns that were not used are lost, and limits without a reserve have none.
func TestReserveDoesNotAccumulate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tokens, limit := newLostHosts(1)[0], newNamedLimit(5)
		take := func() (allowed int) {
			for range 10 {
				if tokens.Take(t.Context(), "named/a", limit).Decision == allowance.Allowed {
					allowed++
				}
			}
			return allowed
		}
		take()
		time.Sleep(20 * time.Second)
		qt.Assert(t, take() <= 2, qt.IsTrue)
		limit.Reserve = 0
		time.Sleep(20 * time.Second)
		qt.Assert(t, take(), qt.Equals, 0)
	})
}
