package replica_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/replica"
)

// PickAdmitted asks about the best replica first, and about no more than it needs to. It
// counts only the attempt of the one that it returns.
func TestPickAdmitted(t *testing.T) {
	addresses := []string{"c", "a", "b"}
	for _, test := range []struct {
		admitted string
		want     int
		asked    []int
	}{
		{"abc", 1, []int{1}},
		{"bc", 2, []int{1, 2}},
		{"c", 0, []int{1, 2, 0}},
		{"", -1, []int{1, 2, 0}},
	} {
		picker := replica.New()
		picker.Distance = func(address string) time.Duration { return time.Duration(address[0]-'a') * time.Second }
		var asked []int
		chosen := picker.PickAdmitted(addresses, func(index int) bool {
			asked = append(asked, index)
			return slices.Contains([]byte(test.admitted), addresses[index][0])
		})
		qt.Check(t, chosen, qt.Equals, test.want)
		qt.Check(t, asked, qt.DeepEquals, test.asked)
		outstanding := 0
		for index, candidate := range picker.Explain(addresses) {
			outstanding += candidate.Outstanding
			qt.Check(t, candidate.Outstanding == 1, qt.Equals, index == chosen)
		}
		qt.Check(t, outstanding <= 1, qt.IsTrue)
		qt.Check(t, picker.PickAdmitted(addresses, nil), qt.Equals, 1)
		qt.Check(t, picker.PickAdmitted(nil, func(int) bool { return true }), qt.Equals, -1)
	}
}
