package roster_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/roster"
)

// Replicas of evacuated domains accept no requests until each evacuation ends,
// whatever lists are read meanwhile.
func TestEvacuatedDomains(t *testing.T) {
	replicas, _ := newRoster()
	replicas.SetEvacuated("x", true)
	qt.Assert(t, replicas.Loaded(), qt.IsFalse)
	list := []roster.Replica{{ID: "a", Service: "desk", FailureDomain: "x"}, {ID: "b", Service: "desk", FailureDomain: "y"}, {ID: "c", Service: "desk", FailureDomain: "z"}}
	replicas.Update(list)
	for _, step := range []struct {
		domain    string
		evacuated bool
		want      []string
	}{
		{"unknown", true, []string{"b", "c"}},
		{"y", true, []string{"c"}},
		{"x", false, []string{"a", "c"}},
		{"z", true, []string{"a"}},
		{"x", true, []string{}},
		{"y", false, []string{"b"}},
	} {
		replicas.SetEvacuated(step.domain, step.evacuated)
		qt.Check(t, ids(replicas.Available("desk")), qt.DeepEquals, step.want)
		replicas.Confirm()
		replicas.Update(list)
		qt.Check(t, ids(replicas.Available("desk")), qt.DeepEquals, step.want)
	}
}

// A replica that said in a reply that it leaves accepts no requests again before it
// has restarted, although its entry lags behind.
func TestSaidLeaving(t *testing.T) {
	for _, test := range []struct {
		name string
		// next is the entry that is listed after the reply.
		next roster.Replica
		want bool
	}{
		{"the entry lags", entry(5, 7, "ready"), false},
		{"the entry is older", entry(5, 3, "ready"), false},
		{"the replica has restarted", entry(6, 1, "ready"), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			replicas, clock := newRoster()
			replicas.Update([]roster.Replica{entry(5, 4, "ready")})
			replicas.ReportLeaving(entry(5, 4, "ready"))
			qt.Assert(t, replicas.Accepts("desk", "a"), qt.IsFalse)
			replicas.Update([]roster.Replica{test.next})
			qt.Assert(t, replicas.Accepts("desk", "a"), qt.Equals, test.want)
			// Off the list for a while, and back with the same entry.
			replicas.Update(nil)
			clock.now = clock.now.Add(time.Minute)
			replicas.Update(nil)
			replicas.Update([]roster.Replica{test.next})
			qt.Assert(t, replicas.Accepts("desk", "a"), qt.Equals, test.want)
		})
	}
}

// A late reply of a process that has since restarted says nothing of the new one, and
// does not replace what that one said.
func TestSaidLeavingBeforeRestart(t *testing.T) {
	replicas, _ := newRoster()
	replicas.Update([]roster.Replica{entry(6, 1, "ready")})
	replicas.ReportLeaving(entry(5, 9, "ready"))
	qt.Assert(t, replicas.Accepts("desk", "a"), qt.IsTrue)
	replicas.ReportLeaving(entry(6, 1, "ready"))
	replicas.ReportLeaving(entry(5, 9, "ready"))
	replicas.Confirm()
	replicas.Update([]roster.Replica{entry(6, 2, "ready")})
	qt.Assert(t, replicas.Accepts("desk", "a"), qt.IsFalse)
}

// Listed holds each listed replica, with the reason for which it is not available.
func TestListedTellsWhy(t *testing.T) {
	replicas, clock := newRoster()
	replicas.Update([]roster.Replica{{ID: "a", Service: "desk"}, {ID: "b", Service: "desk", Leaving: true}, {ID: "c", Service: "desk"}, {ID: "d", Service: "desk"}, {ID: "e", Service: "desk", FailureDomain: "x"}, {ID: "f", Service: "other"}})
	replicas.ReportLeaving(roster.Replica{ID: "c", Service: "desk"})
	replicas.ReportMisplaced("d")
	replicas.SetEvacuated("x", true)
	reasons := func() map[string]roster.Exclusion {
		reasons := make(map[string]roster.Exclusion)
		for _, listed := range replicas.Listed([]string{"desk", "none"})["desk"] {
			reasons[listed.ID] = listed.Excluded
		}
		return reasons
	}
	qt.Assert(t, reasons(), qt.DeepEquals, map[string]roster.Exclusion{"a": "", "b": roster.Leaving, "c": roster.SaidLeaving, "d": roster.Misplaced, "e": roster.Evacuated})
	qt.Assert(t, ids(replicas.Available("desk")), qt.DeepEquals, []string{"a"})
	clock.now = clock.now.Add(6 * time.Second)
	// What is published lasts until the list is read again.
	qt.Assert(t, reasons()["d"], qt.Equals, roster.Misplaced)
	replicas.Confirm()
	qt.Assert(t, reasons()["d"], qt.Equals, roster.Exclusion(""))
	qt.Assert(t, ids(replicas.Available("desk")), qt.DeepEquals, []string{"a", "d"})
}
