package reach_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/reach"
	"fescuehall/shard"
)

// A host is cut off when requests go unanswered and no peer of another domain
// answers a question; slow requests alone are no cut, and one answer ends it.
func TestGate(t *testing.T) {
	tests := []struct {
		name   string
		misses int
		peers  []shard.Host
		// answering is the peer that answers; the others hang.
		answering string
		hit       bool
		cutOff    bool
	}{
		{name: "cut", misses: 4, peers: peers(), cutOff: true},
		{name: "few misses", misses: 3, peers: peers()},
		{name: "slow, and a peer answers", misses: 9, peers: peers(), answering: "far-2"},
		{name: "an answer between", misses: 4, peers: peers(), hit: true},
		{name: "only peers of its own domain", misses: 9, peers: peers()[:1]},
		{name: "a near peer's answer says nothing", misses: 9, peers: peers(), answering: "near", cutOff: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var answering atomic.Value
				answering.Store(test.answering)
				gate := &reach.Gate{
					Domain: "a",
					Now:    time.Now,
					Peers:  func() []shard.Host { return test.peers },
					Ask: func(ctx context.Context, peer shard.Host) error {
						if peer.Name == answering.Load() {
							return nil
						}
						<-ctx.Done()
						return errors.New("no answer")
					},
					Shuffle: func(int, func(i, j int)) {},
					Changed: func(bool) {},
				}
				ctx, cancel := context.WithCancel(t.Context())
				go gate.Run(ctx)
				for range test.misses {
					gate.Miss()
				}
				if test.hit {
					gate.Hit()
				}
				time.Sleep(time.Second)
				qt.Check(t, gate.CutOff(), qt.Equals, test.cutOff)
				answering.Store("far-1")
				time.Sleep(time.Second)
				qt.Check(t, gate.CutOff(), qt.IsFalse)
				cancel()
				synctest.Wait()
			})
		})
	}
}

func peers() []shard.Host {
	return []shard.Host{{Name: "near", FailureDomain: "a"}, {Name: "far-1", FailureDomain: "b"}, {Name: "far-2", FailureDomain: "c"}}
}

// Misses that lie far apart are no sign of a cut.
func TestOldMissesAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	asked := false
	gate := &reach.Gate{Domain: "a", Now: func() time.Time { return now }, Peers: func() []shard.Host {
		asked = true
		return nil
	}}
	for range 20 {
		gate.Miss()
		now = now.Add(3 * time.Second)
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		gate.Run(ctx)
	})
	qt.Assert(t, asked, qt.IsFalse)
}
