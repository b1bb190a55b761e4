package feed_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/roster"
)

// Guards against a replica that gets requests after the bound on leaving replicas when
// the readers fail: a host's own wait before it reads the lists is no outage of the
// store, after which replicas that are missing from the list are kept for a while.
func TestGoneReplicaWithoutReaders(t *testing.T) {
	for _, bound := range []time.Duration{3 * time.Second, 5 * time.Second, 6 * time.Second} {
		t.Run(fmt.Sprint(bound), func(t *testing.T) {
			group := newGroup()
			reader, _, name := group.roles()
			follower, _ := group.follower(name)
			follower.Bound = bound
			replicas := &roster.Roster{Now: func() time.Time { return group.now }}
			follower.UpdateReplicas = replicas.Update
			group.readStore(reader, roster.Replica{ID: "a", Service: "s"})
			readAt := group.now
			qt.Assert(t, follower.FetchOnce(context.Background()), qt.IsNil)
			qt.Assert(t, replicas.Accepts("s", "a"), qt.IsTrue)
			// The replica goes just after the read, and no host replies any more.
			for replicas.Accepts("s", "a") && group.now.Sub(readAt) < 2*bound {
				group.now = group.now.Add(200 * time.Millisecond)
				if follower.MustReadStore() {
					replicas.Update(nil)
				}
			}
			qt.Assert(t, group.now.Sub(readAt) < bound, qt.IsTrue, qt.Commentf("gone after %v", group.now.Sub(readAt)))
		})
	}
}
