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
