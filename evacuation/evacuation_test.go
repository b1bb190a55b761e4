package evacuation_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fescuehall/evacuation"
)

func at(second int) time.Time { return time.Unix(1000+int64(second), 0) }

// A set that was confirmed for an earlier time never replaces a later one, and each
// change is reported once.
func TestConfirm(t *testing.T) {
	var changes []string
	set := &evacuation.Set{Changed: func(domain string, evacuated bool) { changes = append(changes, fmt.Sprint(domain, " ", evacuated)) }}
	_, known := set.Domains()
	qt.Assert(t, known, qt.IsFalse)
	for _, step := range []struct {
		domains []string
		at      time.Time
		want    []string
		changes []string
	}{
		{nil, at(1), nil, nil},
		{[]string{"b", "a", "b"}, at(2), []string{"a", "b"}, []string{"a true", "b true"}},
		{nil, at(1), []string{"a", "b"}, nil},
		{[]string{"b", "a"}, at(3), []string{"a", "b"}, nil},
		{[]string{"b", "c"}, at(3), []string{"b", "c"}, []string{"c true", "a false"}},
		{nil, at(4), nil, []string{"b false", "c false"}},
		{[]string{"a"}, at(3), nil, nil},
	} {
		changes = nil
		set.Confirm(step.domains, step.at)
		domains, known := set.Domains()
		qt.Check(t, known, qt.IsTrue)
		qt.Check(t, domains, qt.DeepEquals, step.want)
		qt.Check(t, changes, qt.DeepEquals, step.changes)
	}
}

// In whatever order sets arrive, the one confirmed for the latest time holds, and
// what Changed was called with adds up to it.
func TestLatestConfirmationHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reported := map[string]bool{}
		set := &evacuation.Set{Changed: func(domain string, evacuated bool) {
			if reported[domain] == evacuated {
				t.Fatalf("%s: %v reported twice", domain, evacuated)
			}
			reported[domain] = evacuated
		}}
		latest, want := -1, []string{}
		for range 20 {
			domains := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.ID).Draw(t, "domains")
			second := rapid.IntRange(0, 9).Draw(t, "at")
			set.Confirm(domains, at(second))
			if second >= latest {
				latest, want = second, slices.Sorted(slices.Values(domains))
			}
			got, _ := set.Domains()
			if !slices.Equal(got, want) {
				t.Fatalf("got %v, want %v", got, want)
			}
			for domain, evacuated := range reported {
				if evacuated != slices.Contains(got, domain) {
					t.Fatalf("%s reported as %v, set is %v", domain, evacuated, got)
				}
			}
		}
	})
}
