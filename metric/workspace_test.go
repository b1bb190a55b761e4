package metric_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/metric"
)

// Counts are kept for a bounded number of workspaces, those seen last. No request is
// lost from the sum.
func TestWorkspacesAreBounded(t *testing.T) {
	workspaces := &metric.Workspaces{}
	const names = 10_000
	for number := range names {
		workspaces.Observe(fmt.Sprint("w", number), "answered")
		workspaces.Observe("busy", "refused")
	}
	outcomes := workspaces.Outcomes().(map[string]map[string]int64)
	qt.Assert(t, len(outcomes) <= 300, qt.IsTrue, qt.Commentf("%d names", len(outcomes)))
	qt.Assert(t, outcomes["busy"], qt.DeepEquals, map[string]int64{"refused": names})
	qt.Assert(t, outcomes[fmt.Sprint("w", names-1)], qt.DeepEquals, map[string]int64{"answered": 1})
	sum := int64(0)
	for _, counts := range outcomes {
		sum += counts["answered"]
	}
	qt.Assert(t, sum, qt.Equals, int64(names))
}
