package route_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/route"
)

// manyWorkspaces returns a table of workspaces with one key each.
func manyWorkspaces(count int) *route.Table {
	workspaces, keys := make([]route.Workspace, count), make(map[string]int, count)
	for index := range workspaces {
		workspaces[index].Name = fmt.Sprint("w", index)
		keys[fmt.Sprintf("key-of-the-workspace-with-number-%d", index)] = index
	}
	return table(1).WithWorkspaces(workspaces, keys)
}

func TestWorkspaceByKey(t *testing.T) {
	plain, keyed := table(1), manyWorkspaces(100)
	qt.Assert(t, plain.HasWorkspaces(), qt.IsFalse)
	qt.Assert(t, keyed.HasWorkspaces(), qt.IsTrue)
	qt.Assert(t, (*route.Table)(nil).HasWorkspaces(), qt.IsFalse)
	tests := map[string]string{
		"key-of-the-workspace-with-number-7":  "w7",
		"key-of-the-workspace-with-number-":   "",
		"key-of-the-workspace-with-number-70": "w70",
		"":                                    "", "x": "",
		strings.Repeat("x", route.MaxKeyBytes+1): "",
	}
	for key, name := range tests {
		qt.Check(t, keyed.WorkspaceByKey(key).NameOrEmpty(), qt.Equals, name)
		qt.Check(t, plain.WorkspaceByKey(key), qt.IsNil)
	}
	qt.Assert(t, keyed.Workspace("w7").Name, qt.Equals, "w7")
	qt.Assert(t, keyed.Workspace("w700"), qt.IsNil)
	qt.Assert(t, keyed.Find("a.example", "/x/1").Name, qt.Equals, "short")
}

// A lookup allocates nothing, however long the key is.
func TestLookupDoesNotAllocate(t *testing.T) {
	keyed, long := manyWorkspaces(100), strings.Repeat("x", route.MaxKeyBytes)
	qt.Assert(t, testing.AllocsPerRun(100, func() {
		keyed.WorkspaceByKey("key-of-the-workspace-with-number-7")
		keyed.WorkspaceByKey(long)
	}), qt.Equals, 0.0)
}

func BenchmarkWorkspaceByKey(b *testing.B) {
	for _, count := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			keyed := manyWorkspaces(count)
			b.ReportAllocs()
			for b.Loop() {
				keyed.WorkspaceByKey("key-of-the-workspace-with-number-7")
			}
		})
	}
}
