package roster_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/roster"
)

type clock struct {
	now time.Time
}

func (clock *clock) Now() time.Time { return clock.now }

func newRoster() (*roster.Roster, *clock) {
	clock := &clock{now: time.Unix(1000, 0)}
	return &roster.Roster{Now: clock.Now}, clock
}

func ids(replicas []roster.Replica) []string {
	ids := []string{}
	for _, replica := range replicas {
		ids = append(ids, replica.ID)
	}
	return ids
}

func twoReplicas() []roster.Replica {
	return []roster.Replica{{ID: "a", Service: "desk", Address: "1"}, {ID: "b", Service: "desk", Address: "2"}}
}

// A replica missing from the list is removed, except shortly after an outage of
// the list, during which its registration may have expired.
func TestUpdateRemovesMissingReplicas(t *testing.T) {
	tests := []struct {
		name string
		// gap is the time without a read before the first one that lacks b, and
		// missing is for how long further reads lack it.
		gap, missing time.Duration
		confirm      bool
		want         []string
	}{
		{name: "without an outage", gap: 700 * time.Millisecond, want: []string{"a"}},
		{name: "right after an outage", gap: 5 * time.Second, want: []string{"a", "b"}},
		{name: "one second after an outage", gap: 5 * time.Second, missing: time.Second, want: []string{"a", "b"}},
		{name: "three seconds after an outage", gap: 5 * time.Second, missing: 3 * time.Second, want: []string{"a"}},
		{name: "after reads that found no change", gap: 5 * time.Second, confirm: true, want: []string{"a"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			roster, clock := newRoster()
			roster.Update(twoReplicas())
			clock.now = clock.now.Add(test.gap)
			if test.confirm {
				roster.Confirm()
			}
			roster.Update(twoReplicas()[:1])
			for remaining := test.missing; remaining > 0; remaining -= 500 * time.Millisecond {
				clock.now = clock.now.Add(500 * time.Millisecond)
				roster.Update(twoReplicas()[:1])
			}
			qt.Assert(t, ids(roster.Available("desk")), qt.DeepEquals, test.want)
		})
	}
}

// Replicas retained after an outage are removed in time, even when every later
// read finds the list unchanged.
func TestConfirmRemovesRetainedReplicas(t *testing.T) {
	roster, clock := newRoster()
	roster.Update(twoReplicas())
	clock.now = clock.now.Add(5 * time.Second)
	roster.Update(twoReplicas()[:1])
	qt.Assert(t, ids(roster.Available("desk")), qt.DeepEquals, []string{"a", "b"})
	for range 6 {
		clock.now = clock.now.Add(500 * time.Millisecond)
		roster.Confirm()
	}
	qt.Assert(t, ids(roster.Available("desk")), qt.DeepEquals, []string{"a"})
}

func TestLeavingReplicaAcceptsNoRequests(t *testing.T) {
	roster, _ := newRoster()
	list := twoReplicas()
	roster.Update(list)
	list[1].Leaving = true
	roster.Update(list)
	qt.Assert(t, ids(roster.Available("desk")), qt.DeepEquals, []string{"a"})
	qt.Assert(t, roster.Accepts("desk", "b"), qt.IsFalse)
	qt.Assert(t, roster.Accepts("desk", "a"), qt.IsTrue)
}

func TestMisplacedReplicaIsSkippedForAWhile(t *testing.T) {
	roster, clock := newRoster()
	roster.Update(twoReplicas())
	roster.ReportMisplaced("a")
	qt.Assert(t, ids(roster.Available("desk")), qt.DeepEquals, []string{"b"})
	clock.now = clock.now.Add(time.Second)
	roster.Update(twoReplicas())
	qt.Assert(t, ids(roster.Available("desk")), qt.DeepEquals, []string{"b"})
	for range 12 {
		clock.now = clock.now.Add(500 * time.Millisecond)
		roster.Update(twoReplicas())
	}
	qt.Assert(t, ids(roster.Available("desk")), qt.DeepEquals, []string{"a", "b"})
}

// A misplaced replica becomes available again even when every later read finds
// the list unchanged.
func TestConfirmRestoresMisplacedReplicas(t *testing.T) {
	roster, clock := newRoster()
	roster.Update(twoReplicas())
	roster.ReportMisplaced("a")
	clock.now = clock.now.Add(6 * time.Second)
	roster.Confirm()
	qt.Assert(t, ids(roster.Available("desk")), qt.DeepEquals, []string{"a", "b"})
}

func TestChangesAreReported(t *testing.T) {
	testRoster, clock := newRoster()
	var changes []string
	testRoster.Changed = func(replica roster.Replica, change string) { changes = append(changes, replica.ID+" "+change) }
	list := twoReplicas()[:1]
	testRoster.Update(list)
	testRoster.Update(list)
	list[0].Incarnation = 7
	testRoster.Update(list)
	list[0].Leaving = true
	testRoster.Update(list)
	clock.now = clock.now.Add(time.Second)
	testRoster.Update(nil)
	qt.Assert(t, changes, qt.DeepEquals, []string{"a came", "a restarted", "a leaving", "a gone"})
}
