package replica_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/message"
	"fescuehall/replica"
)

func newMarks() (*replica.Marks, *clock, *[]message.Mark) {
	clock := &clock{now: time.Unix(1000, 0)}
	changes := &[]message.Mark{}
	marks := &replica.Marks{Now: clock.Now, Changed: func(mark message.Mark) { *changes = append(*changes, mark) }}
	return marks, clock, changes
}

func TestReadyClearsOldMarksAndThoseOfOtherInstances(t *testing.T) {
	tests := []struct {
		name     string
		instance string
		after    time.Duration
		ready    string
		leaving  bool
	}{
		{name: "same instance reports ready at once", instance: "a", ready: "a", leaving: true},
		{name: "unknown instance reports ready at once", ready: "a", leaving: true},
		{name: "same instance reports ready 50 s later", instance: "a", after: 50 * time.Second, ready: "a", leaving: true},
		{name: "same instance reports ready 61 s later", instance: "a", after: 61 * time.Second, ready: "a", leaving: false},
		{name: "new instance reports ready", instance: "a", ready: "b", leaving: false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			marks, clock, _ := newMarks()
			marks.Set("server", test.instance, replica.FromReply)
			qt.Assert(t, marks.Leaving("server"), qt.IsTrue)
			clock.now = clock.now.Add(test.after)
			marks.ReportReady("server", test.ready)
			qt.Assert(t, marks.Leaving("server"), qt.Equals, test.leaving)
		})
	}
}

// A source that keeps reporting a server as leaving outweighs a health endpoint
// that reports it as ready.
func TestReadyDoesNotClearARenewedMark(t *testing.T) {
	marks, clock, _ := newMarks()
	marks.Set("server", "", replica.FromHostList)
	for range 300 {
		clock.now = clock.now.Add(time.Second)
		marks.Renew("server")
		marks.ReportReady("server", "a")
		qt.Assert(t, marks.Leaving("server"), qt.IsTrue)
	}
}

func TestRenewDoesNotRestoreAClearedMark(t *testing.T) {
	marks, clock, _ := newMarks()
	marks.Set("server", "a", replica.FromReply)
	marks.ReportReady("server", "b")
	clock.now = clock.now.Add(time.Hour)
	marks.Renew("server")
	qt.Assert(t, marks.Leaving("server"), qt.IsFalse)
}

func TestMergeKeepsTheHighestSequence(t *testing.T) {
	marks, _, changes := newMarks()
	marks.Merge(message.Mark{Replica: "server", Sequence: 5})
	marks.Merge(message.Mark{Replica: "server", Sequence: 4, Cleared: true})
	qt.Assert(t, marks.Leaving("server"), qt.IsTrue)
	marks.Merge(message.Mark{Replica: "server", Sequence: 6, Cleared: true})
	qt.Assert(t, marks.Leaving("server"), qt.IsFalse)
	qt.Assert(t, len(*changes), qt.Equals, 2)
}

func TestMarkIsReportedOnce(t *testing.T) {
	marks, _, changes := newMarks()
	for range 3 {
		marks.Set("server", "a", replica.FromReply)
		marks.Set("server", "", replica.FromHostList)
	}
	qt.Assert(t, len(*changes), qt.Equals, 1)
	qt.Assert(t, len(marks.All()), qt.Equals, 1)
}

func TestMissingSnapshotsExpire(t *testing.T) {
	clock := &clock{now: time.Unix(1000, 0)}
	missingSnapshots := &replica.MissingSnapshots{Now: clock.Now}
	missingSnapshots.Add("server", "S2")
	qt.Assert(t, missingSnapshots.Lacks("server", "S2"), qt.IsTrue)
	qt.Assert(t, missingSnapshots.Lacks("server", "S1"), qt.IsFalse)
	clock.now = clock.now.Add(2 * time.Second)
	qt.Assert(t, missingSnapshots.Lacks("server", "S2"), qt.IsFalse)
}
