package route_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fescuehall/route"
)

func table(version uint64) *route.Table {
	return route.NewTable(version, []route.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}, nil, route.Limits{})
}

func TestFind(t *testing.T) {
	tests := []struct {
		host, path, want string
	}{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"A.Example:8080", "/x/y/", "long"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/z/", ""},
		{"c.example", "/x/", ""},
	}
	for _, test := range tests {
		t.Run(test.host+test.path, func(t *testing.T) {
			found := table(1).Find(test.host, test.path)
			if test.want == "" {
				qt.Assert(t, found, qt.IsNil)
				return
			}
			qt.Assert(t, found, qt.IsNotNil)
			qt.Assert(t, found.Name, qt.Equals, test.want)
		})
	}
}

func TestMinShards(t *testing.T) {
	tests := []struct {
		shards int
		share  float64
		want   int
	}{{20, 0.89, 18}, {20, 0.75, 15}, {90, 0.95, 86}, {1, 0, 1}, {20, 0, 1}, {20, 1, 20}}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.shards, test.share), func(t *testing.T) {
			route := &route.Route{Shards: make([]string, test.shards), MinShardShare: test.share}
			qt.Assert(t, route.MinShards(), qt.Equals, test.want)
		})
	}
}

// Each service of a split route gets requests in proportion to its weight.
func TestPickServiceFollowsWeights(t *testing.T) {
	split := &route.Route{Services: []route.WeightedService{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}, {Service: "none", Weight: 0}}}
	counts := make(map[string]int)
	for sample := range 1000 {
		counts[split.PickService(float64(sample)/1000)]++
	}
	qt.Assert(t, counts, qt.DeepEquals, map[string]int{"a": 750, "b": 250})
}

// The active version only increases, in whatever order versions arrive.
func TestAdvanceNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var reported []uint64
		current := &route.Current{Advanced: func(table *route.Table, _ string) { reported = append(reported, table.Version) }}
		newest := uint64(0)
		for _, version := range rapid.SliceOf(rapid.Uint64Range(1, 9)).Draw(r, "versions") {
			advanced := current.Advance(table(version), "test")
			if advanced != (version > newest) {
				r.Fatalf("version %d after %d: advanced %v", version, newest, advanced)
			}
			newest = max(newest, version)
			if current.Table().Version != newest {
				r.Fatalf("active version %d, want %d", current.Table().Version, newest)
			}
		}
		for i := 1; i < len(reported); i++ {
			if reported[i] <= reported[i-1] {
				r.Fatalf("Advanced was called with versions %v", reported)
			}
		}
	})
}
