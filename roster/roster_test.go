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

func both() []roster.Replica {
	return []roster.Replica{{ID: "a", Service: "desk", Address: "1"}, {ID: "b", Service: "desk", Address: "2"}}
}

// A replica that is off the list is gone, but for a while after an outage of
// the list, in which entries may have lapsed.
func TestMissingReplicas(t *testing.T) {
	tests := []struct {
		name string
		// gap is the silence before b is missing, then after that it is read again.
		gap, then time.Duration
		confirm   bool
		want      []string
	}{
		{name: "in calm times", gap: 700 * time.Millisecond, want: []string{"a"}},
		{name: "right after an outage", gap: 5 * time.Second, want: []string{"a", "b"}},
		{name: "one second after an outage", gap: 5 * time.Second, then: time.Second, want: []string{"a", "b"}},
		{name: "three seconds after an outage", gap: 5 * time.Second, then: 3 * time.Second, want: []string{"a"}},
		{name: "after readings that found no change", gap: 5 * time.Second, confirm: true, want: []string{"a"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			known, clock := newRoster()
			known.Update(both())
			clock.now = clock.now.Add(test.gap)
			if test.confirm {
				known.Confirm()
			}
			known.Update(both()[:1])
			for left := test.then; left > 0; left -= 500 * time.Millisecond {
				clock.now = clock.now.Add(500 * time.Millisecond)
				known.Update(both()[:1])
			}
			qt.Assert(t, ids(known.Of("desk")), qt.DeepEquals, test.want)
		})
	}
}

// What is held after an outage is dropped in time also when no reading differs
// from the one before.
func TestHeldReplicasAreDroppedWithoutAChange(t *testing.T) {
	known, clock := newRoster()
	known.Update(both())
	clock.now = clock.now.Add(5 * time.Second)
	known.Update(both()[:1])
	qt.Assert(t, ids(known.Of("desk")), qt.DeepEquals, []string{"a", "b"})
	for range 6 {
		clock.now = clock.now.Add(500 * time.Millisecond)
		known.Confirm()
	}
	qt.Assert(t, ids(known.Of("desk")), qt.DeepEquals, []string{"a"})
}

func TestLeavingReplicaTakesNoWork(t *testing.T) {
	known, _ := newRoster()
	list := both()
	known.Update(list)
	list[1].Leaving = true
	known.Update(list)
	qt.Assert(t, ids(known.Of("desk")), qt.DeepEquals, []string{"a"})
	qt.Assert(t, known.Takes("desk", "b"), qt.IsFalse)
	qt.Assert(t, known.Takes("desk", "a"), qt.IsTrue)
}

func TestMisplacedReplicaIsPassedOverForAWhile(t *testing.T) {
	known, clock := newRoster()
	known.Update(both())
	known.Misplaced("a")
	qt.Assert(t, ids(known.Of("desk")), qt.DeepEquals, []string{"b"})
	clock.now = clock.now.Add(time.Second)
	known.Update(both())
	qt.Assert(t, ids(known.Of("desk")), qt.DeepEquals, []string{"b"})
	for range 12 {
		clock.now = clock.now.Add(500 * time.Millisecond)
		known.Update(both())
	}
	qt.Assert(t, ids(known.Of("desk")), qt.DeepEquals, []string{"a", "b"})
}

// A misplaced replica returns also when readings do not change.
func TestMisplacedReplicaReturnsWithoutAChange(t *testing.T) {
	known, clock := newRoster()
	known.Update(both())
	known.Misplaced("a")
	clock.now = clock.now.Add(6 * time.Second)
	known.Confirm()
	qt.Assert(t, ids(known.Of("desk")), qt.DeepEquals, []string{"a", "b"})
}

func TestChangesAreTold(t *testing.T) {
	known, clock := newRoster()
	var told []string
	known.Changed = func(replica roster.Replica, change string) { told = append(told, replica.ID+" "+change) }
	list := both()[:1]
	known.Update(list)
	known.Update(list)
	list[0].Born = 7
	known.Update(list)
	list[0].Leaving = true
	known.Update(list)
	clock.now = clock.now.Add(time.Second)
	known.Update(nil)
	qt.Assert(t, told, qt.DeepEquals, []string{"a came", "a restarted", "a leaving", "a gone"})
}
