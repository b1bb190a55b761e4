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

// A host becomes isolated when its requests are unanswered and no peer of
// another failure domain answers a probe. Unanswered requests alone are not
// enough. One answer from another failure domain ends the isolation.
func TestMonitor(t *testing.T) {
	tests := []struct {
		name   string
		misses int
		peers  []shard.Host
		// answering is the name of the peer that answers probes; the others never do.
		answering string
		// replied is set when a request is answered after the misses.
		replied  bool
		isolated bool
	}{
		{name: "no probe is answered", misses: 4, peers: peers(), isolated: true},
		{name: "misses below the threshold", misses: 3, peers: peers()},
		{name: "a remote peer answers a probe", misses: 9, peers: peers(), answering: "remote-2"},
		{name: "a request was answered after the misses", misses: 4, peers: peers(), replied: true},
		{name: "only peers of its own failure domain", misses: 9, peers: peers()[:1]},
		{name: "only a peer of its own failure domain answers", misses: 9, peers: peers(), answering: "local", isolated: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var answering atomic.Value
				answering.Store(test.answering)
				monitor := &reach.Monitor{
					Domain: "a",
					Now:    time.Now,
					Peers:  func() []shard.Host { return test.peers },
					Probe: func(ctx context.Context, peer shard.Host) error {
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
				go monitor.Run(ctx)
				for range test.misses {
					monitor.RecordMiss()
				}
				if test.replied {
					monitor.RecordReply()
				}
				time.Sleep(time.Second)
				qt.Check(t, monitor.Isolated(), qt.Equals, test.isolated)
				answering.Store("remote-1")
				time.Sleep(time.Second)
				qt.Check(t, monitor.Isolated(), qt.IsFalse)
				cancel()
				synctest.Wait()
			})
		})
	}
}

func peers() []shard.Host {
	return []shard.Host{{Name: "local", FailureDomain: "a"}, {Name: "remote-1", FailureDomain: "b"}, {Name: "remote-2", FailureDomain: "c"}}
}

// Misses that are far apart in time don't cause a probe.
func TestOldMissesAreNotCounted(t *testing.T) {
	now := time.Unix(1000, 0)
	probed := false
	monitor := &reach.Monitor{Domain: "a", Now: func() time.Time { return now }, Peers: func() []shard.Host {
		probed = true
		return nil
	}}
	for range 20 {
		monitor.RecordMiss()
		now = now.Add(3 * time.Second)
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		monitor.Run(ctx)
	})
	qt.Assert(t, probed, qt.IsFalse)
}

// newSilentMonitor returns a monitor whose probes are never answered.
func newSilentMonitor(peers func() []shard.Host) *reach.Monitor {
	return &reach.Monitor{
		Domain: "a",
		Now:    time.Now,
		Peers:  peers,
		Probe: func(ctx context.Context, _ shard.Host) error {
			<-ctx.Done()
			return errors.New("no answer")
		},
		Shuffle: func(int, func(i, j int)) {},
		Changed: func(bool) {},
	}
}

// isolate has a monitor miss answers until it takes the host for isolated.
func isolate(t *testing.T, monitor *reach.Monitor) {
	for range 4 {
		monitor.RecordMiss()
	}
	time.Sleep(time.Second)
	qt.Assert(t, monitor.Isolated(), qt.IsTrue)
}

// Guards against a host that stays isolated for good: the others have left the list of
// hosts, so that nobody is left to answer its probes.
func TestIsolationEndsWithoutPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var gone atomic.Bool
		monitor := newSilentMonitor(func() []shard.Host {
			if gone.Load() {
				return peers()[:1]
			}
			return peers()
		})
		ctx, cancel := context.WithCancel(t.Context())
		go monitor.Run(ctx)
		isolate(t, monitor)
		gone.Store(true)
		time.Sleep(time.Second)
		qt.Check(t, monitor.Isolated(), qt.IsFalse)
		cancel()
		synctest.Wait()
	})
}

// An isolated host lets few requests try other failure domains, and no more once it is
// not isolated.
func TestTrialsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		monitor := newSilentMonitor(peers)
		ctx, cancel := context.WithCancel(t.Context())
		go monitor.Run(ctx)
		qt.Check(t, monitor.TakeTrial(), qt.IsFalse)
		isolate(t, monitor)
		trials := 0
		for range 1000 {
			if monitor.TakeTrial() {
				trials++
			}
			time.Sleep(10 * time.Millisecond)
		}
		qt.Check(t, trials, qt.Equals, 20)
		monitor.RecordReply()
		qt.Check(t, monitor.TakeTrial(), qt.IsFalse)
		cancel()
		synctest.Wait()
	})
}
