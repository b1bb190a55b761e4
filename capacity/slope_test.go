package capacity_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/capacity"
)

// The committed page must be the one that the committed measurements produce.
func TestCommittedPageMatchesData(t *testing.T) {
	data, err := capacity.Read("../docs/capacity.json")
	qt.Assert(t, err, qt.IsNil)
	page, err := capacity.Page(data)
	qt.Assert(t, err, qt.IsNil)
	committed, err := os.ReadFile("../docs/CAPACITY.md")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bytes.Equal(page, committed), qt.IsTrue, qt.Commentf("run \"fescuehall capacity\" to rebuild docs/CAPACITY.md"))
}

func TestNewerSlopesReplaceOlderOnes(t *testing.T) {
	old := &capacity.Data{Slopes: []capacity.Slope{{Name: "a", Sizes: []float64{1}, PerUnit: 1}, {Name: "b", Sizes: []float64{1}, PerUnit: 2}}}
	newer := &capacity.Data{Slopes: []capacity.Slope{{Name: "b", Sizes: []float64{1}, PerUnit: 3}, {Name: "c", Sizes: []float64{1}, PerUnit: 4}}}
	merged := old.With(newer)
	qt.Assert(t, merged.Slopes, qt.HasLen, 3)
	qt.Assert(t, merged.Find("b").At(2), qt.Equals, 6.0)
	file := filepath.Join(t.TempDir(), "data.json")
	qt.Assert(t, merged.Write(file), qt.IsNil)
	stored, err := capacity.Read(file)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, stored, qt.DeepEquals, merged)
}

func TestBoundOfDecreasingLine(t *testing.T) {
	slope := capacity.Slope{Costs: []float64{3, 2}, Base: 4, PerUnit: -1}
	qt.Assert(t, slope.Bound(10), qt.Equals, 3.0)
}
