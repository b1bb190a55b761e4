package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fescuehall/quarantine"
)

var id = quarantine.Identify("workspace", "host", "GET", "/a", "")

// newContents returns contents and their clock.
func newContents() (*quarantine.Contents, *time.Time) {
	now := time.Unix(1000, 0)
	return &quarantine.Contents{Now: func() time.Time { return now }}, &now
}

// lose records the loss of replicas under a content, and returns whether the last one
// made it suspect.
func lose(contents *quarantine.Contents, id quarantine.ID, replicas ...string) (suspect bool) {
	for _, replica := range replicas {
		suspect = contents.RecordLost(id, replica)
	}
	return suspect
}

// admit returns the state of a content for the next request.
func admit(contents *quarantine.Contents, id quarantine.ID) quarantine.State {
	state, _ := contents.Admit(id)
	return state
}

// A content is suspect once three different replicas were lost under it within a short
// time, and only that content is.
func TestSuspect(t *testing.T) {
	for _, test := range []struct {
		name     string
		replicas []string
		pause    time.Duration
		want     quarantine.State
	}{
		{name: "two replicas", replicas: []string{"a", "b"}, want: quarantine.Clear},
		{name: "one replica often", replicas: []string{"a", "a", "a", "a"}, want: quarantine.Clear},
		{name: "three replicas", replicas: []string{"a", "b", "c"}, want: quarantine.Suspect},
		{name: "three replicas over a long time", replicas: []string{"a", "b", "c"}, pause: 6 * time.Second, want: quarantine.Clear},
	} {
		t.Run(test.name, func(t *testing.T) {
			contents, now := newContents()
			suspect := false
			for _, replica := range test.replicas {
				suspect = contents.RecordLost(id, replica)
				*now = now.Add(test.pause)
			}
			qt.Assert(t, suspect, qt.Equals, test.want == quarantine.Suspect)
			qt.Assert(t, admit(contents, id), qt.Equals, test.want)
			other := quarantine.Identify("other workspace", "host", "GET", "/a", "")
			qt.Assert(t, admit(contents, other), qt.Equals, quarantine.Clear)
		})
	}
}

// Fields are told apart by where they end.
func TestIdentify(t *testing.T) {
	qt.Assert(t, quarantine.Identify("ab", "c"), qt.Not(qt.Equals), quarantine.Identify("a", "bc"))
	parsed, err := quarantine.ParseID(id.String())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, parsed, qt.Equals, id)
	for _, text := range []string{"", "0a", "zz", id.String() + "00"} {
		_, err := quarantine.ParseID(text)
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q", text))
	}
}

// Of a suspect content, one request at a time is sent. An answer clears it.
func TestAnsweredTrialClears(t *testing.T) {
	contents, _ := newContents()
	lose(contents, id, "a", "b", "c")
	qt.Assert(t, admit(contents, id), qt.Equals, quarantine.Suspect)
	state, delay := contents.Admit(id)
	qt.Assert(t, state, qt.Equals, quarantine.Held)
	qt.Assert(t, delay > 0 && delay < time.Second, qt.IsTrue)
	state, changed := contents.RecordTrial(id, false)
	qt.Assert(t, state, qt.Equals, quarantine.Clear)
	qt.Assert(t, changed, qt.IsTrue)
	qt.Assert(t, admit(contents, id), qt.Equals, quarantine.Clear)
	qt.Assert(t, contents.Empty(), qt.IsTrue)
}

// A trial whose request never ends does not hold its content for good.
func TestUnfinishedTrial(t *testing.T) {
	contents, now := newContents()
	lose(contents, id, "a", "b", "c")
	qt.Assert(t, admit(contents, id), qt.Equals, quarantine.Suspect)
	*now = now.Add(3 * time.Second)
	qt.Assert(t, admit(contents, id), qt.Equals, quarantine.Suspect)
}

// A content whose trial was lost is held, longer each time, and is then tried by one
// request again.
func TestLostTrialHolds(t *testing.T) {
	contents, now := newContents()
	lose(contents, id, "a", "b", "c")
	before := time.Duration(0)
	for range 6 {
		qt.Assert(t, admit(contents, id), qt.Equals, quarantine.Suspect)
		state, _ := contents.RecordTrial(id, true)
		qt.Assert(t, state, qt.Equals, quarantine.Held)
		state, delay := contents.Admit(id)
		qt.Assert(t, state, qt.Equals, quarantine.Held)
		qt.Assert(t, delay >= before && delay <= 10*time.Minute, qt.IsTrue)
		before = delay
		*now = now.Add(delay)
	}
	contents.RecordTrial(id, false)
	qt.Assert(t, admit(contents, id), qt.Equals, quarantine.Clear)
}

// A content that nobody sends any more is forgotten.
func TestSuspicionEnds(t *testing.T) {
	contents, now := newContents()
	lose(contents, id, "a", "b", "c")
	*now = now.Add(2 * time.Minute)
	qt.Assert(t, admit(contents, id), qt.Equals, quarantine.Clear)
	qt.Assert(t, contents.Empty(), qt.IsTrue)
}

// What another host tells counts as what this one has seen.
func TestLearn(t *testing.T) {
	contents, _ := newContents()
	contents.Learn(id, quarantine.Clear)
	qt.Assert(t, contents.Empty(), qt.IsTrue)
	contents.Learn(id, quarantine.Suspect)
	qt.Assert(t, admit(contents, id), qt.Equals, quarantine.Suspect)
	contents.Learn(id, quarantine.Held)
	qt.Assert(t, admit(contents, id), qt.Equals, quarantine.Held)
	contents.Learn(id, quarantine.Clear)
	qt.Assert(t, admit(contents, id), qt.Equals, quarantine.Clear)
}

// Whatever requests do, a content is held only while a trial runs or after one was lost,
// its state changes only as the events say, and no more contents than the limit are kept.
func TestContentsAtRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		contents, now := newContents()
		trialLost := make(map[quarantine.ID]bool)
		trying := make(map[quarantine.ID]bool)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			id := quarantine.Identify(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "content")))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				contents.RecordLost(id, rapid.StringMatching("[a-e]").Draw(t, "replica"))
			case 1, 2:
				switch admit(contents, id) {
				case quarantine.Suspect:
					trying[id] = true
				case quarantine.Held:
					if !trying[id] && !trialLost[id] {
						t.Fatalf("held without a trial")
					}
				}
			case 3:
				if !trying[id] {
					continue
				}
				lost := rapid.Bool().Draw(t, "lost")
				contents.RecordTrial(id, lost)
				trialLost[id], trying[id] = lost, false
			case 4:
				*now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			}
		}
	})
}

// A caller that varies the content of requests can't make a host remember more than the
// limit, and a held content stays held meanwhile.
func TestContentsAreBounded(t *testing.T) {
	contents, now := newContents()
	lose(contents, id, "a", "b", "c")
	admit(contents, id)
	contents.RecordTrial(id, true)
	*now = now.Add(time.Second)
	suspects := 0
	for number := range 5000 {
		lose(contents, quarantine.Identify(fmt.Sprint(number)), "a", "b", "c")
	}
	for number := range 5000 {
		if admit(contents, quarantine.Identify(fmt.Sprint(number))) != quarantine.Clear {
			suspects++
		}
	}
	qt.Assert(t, suspects <= 1024, qt.IsTrue, qt.Commentf("%d", suspects))
	qt.Assert(t, admit(contents, id), qt.Equals, quarantine.Held)
}
