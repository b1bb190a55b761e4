package dispatch_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/reach"
	"fescuehall/roster"
	"fescuehall/shard"
)

// Guards against a host that refuses every gathered request for good after all other
// hosts were lost, though the servers of all failure domains answer.
func TestIsolatedHostFindsServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fakeReplicas := &fakeReplicas{}
		dispatcher := newDispatcher(fakeReplicas)
		dispatcher.Domain = "a"
		dispatcher.Replicas = func(service string) []roster.Replica {
			replicas := fakeReplicas.replicas(service)
			for i := range replicas {
				replicas[i].FailureDomain = "b"
			}
			return replicas
		}
		dispatcher.Reach = &reach.Monitor{
			Domain:  "a",
			Now:     time.Now,
			Peers:   func() []shard.Host { return []shard.Host{{Name: "lost", FailureDomain: "b"}} },
			Probe:   func(context.Context, shard.Host) error { return errors.New("no answer") },
			Shuffle: func(int, func(i, j int)) {},
			Changed: func(bool) {},
		}
		ctx, cancel := context.WithCancel(t.Context())
		go dispatcher.Reach.Run(ctx)
		for range 4 {
			dispatcher.Reach.RecordMiss()
		}
		time.Sleep(400 * time.Millisecond)
		refused, served := 0, 0
		for range 50 {
			if dispatcher.Serve(ctx, newRequest(gatherRoute(4, 1))).Failure == nil {
				served++
			} else {
				refused++
			}
			time.Sleep(20 * time.Millisecond)
		}
		// Half a second of requests, 20 to 25 ms apart, is refused.
		qt.Check(t, refused > 0 && refused <= 25, qt.IsTrue, qt.Commentf("%d refused", refused))
		qt.Check(t, served, qt.Equals, 50-refused)
		qt.Check(t, dispatcher.Reach.Isolated(), qt.IsFalse)
		cancel()
		time.Sleep(time.Second)
	})
}
