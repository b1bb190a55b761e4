package share_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fescuehall/share"
)

type waiter = share.Waiter[int]

// formerList is the queue of release fd48fb6, which knew no workspaces.
type formerList struct {
	waiters []*waiter
	popped  uint64
}

func (list *formerList) add(added *waiter) {
	position := len(list.waiters)
	for position > 0 && list.waiters[position-1].Rank > added.Rank {
		position--
	}
	list.waiters = slices.Insert(list.waiters, position, added)
}

func (list *formerList) pop(answeredAt time.Time) *waiter {
	if len(list.waiters) == 0 {
		return nil
	}
	list.popped++
	index := 0
	for i, candidate := range list.waiters {
		if candidate.Rank > list.waiters[0].Rank {
			break
		}
		if candidate.Due.IsZero() || !answeredAt.After(candidate.Due) {
			index = i
			break
		}
	}
	if list.popped%8 == 0 {
		last := list.waiters[len(list.waiters)-1].Rank
		index = slices.IndexFunc(list.waiters, func(waiter *waiter) bool { return waiter.Rank == last })
	}
	next := list.waiters[index]
	list.waiters = slices.Delete(list.waiters, index, index+1)
	return next
}

// Without workspaces, and with all requests in one, the order is that of the former
// queue, whatever arrives, is served and gives up.
func TestOneWorkspaceIsServedAsBefore(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		workspace := rapid.SampledFrom([]string{"", "w"}).Draw(r, "workspace")
		former, queue := &formerList{}, &share.Queue[int]{}
		start := time.Unix(1000, 0)
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			switch rapid.IntRange(0, 5).Draw(r, "step") {
			case 0, 1, 2:
				added := &waiter{Rank: rapid.IntRange(0, 3).Draw(r, "rank"), Workspace: workspace}
				if due := rapid.IntRange(0, 5).Draw(r, "due"); due > 0 {
					added.Due = start.Add(time.Duration(due) * time.Second)
				}
				former.add(added)
				queue.Add(added)
			case 3:
				if len(former.waiters) == 0 {
					continue
				}
				index := rapid.IntRange(0, len(former.waiters)-1).Draw(r, "index")
				removed := former.waiters[index]
				former.waiters = slices.Delete(former.waiters, index, index+1)
				if !queue.Remove(removed) || queue.Remove(removed) {
					r.Fatal("the waiter was not removed once")
				}
			default:
				at := start.Add(time.Duration(rapid.IntRange(0, 6).Draw(r, "at")) * time.Second)
				if want, got := former.pop(at), queue.Pop(at); want != got {
					r.Fatalf("popped %+v, want %+v", got, want)
				}
			}
			if queue.Len() != len(former.waiters) {
				r.Fatalf("%d wait, want %d", queue.Len(), len(former.waiters))
			}
		}
	})
}

// Load: one workspace has 500 requests waiting when 71 others send 3 each. The others
// do not wait until it is served; when they have gone, they leave nothing.
func TestWorkspacesTakeTurns(t *testing.T) {
	queue := &share.Queue[int]{}
	for range 500 {
		queue.Add(&waiter{Workspace: "hot"})
	}
	const others, each = 71, 3
	for number := range others * each {
		queue.Add(&waiter{Workspace: fmt.Sprint("w", number%others)})
	}
	served, pops := make(map[string]int), 0
	for served["hot"] == pops || pops-served["hot"] < others*each {
		served[queue.Pop(time.Time{}).Workspace]++
		pops++
	}
	for number := range others {
		qt.Check(t, served[fmt.Sprint("w", number)], qt.Equals, each)
	}
	// One pop in eight and one in five go to the oldest, which are the hot one's.
	qt.Check(t, served["hot"] <= each+pops/8+pops/5, qt.IsTrue, qt.Commentf("%d of %d", served["hot"], pops))
	qt.Check(t, queue.Flows(), qt.DeepEquals, []string{"hot"})
	for queue.Pop(time.Time{}) != nil {
	}
	qt.Check(t, queue.Flows(), qt.HasLen, 0)
}

// Load: a workspace that sends one request at a time, beside one that always has 20
// waiting. It does not wait behind these.
func TestWorkspaceThatComesBack(t *testing.T) {
	queue := &share.Queue[int]{}
	served := make(map[string]int)
	for step := range 1000 {
		for queue.Len() < 20 {
			queue.Add(&waiter{Workspace: "hot"})
		}
		if step%4 == 0 {
			queue.Add(&waiter{Workspace: "rare"})
		}
		next := queue.Pop(time.Time{}).Workspace
		served[next]++
		if step%4 == 3 {
			qt.Assert(t, served["rare"], qt.Equals, step/4+1)
		}
	}
}

// Load: two workspaces that always have 50 waiting, and one that comes after a long time
// with as many. It gets a turn as the others do, not all that it did not use before.
func TestWorkspaceSavesNoTurns(t *testing.T) {
	queue, served := &share.Queue[int]{}, make(map[string]int)
	add := func(workspace string) {
		queue.Add(&waiter{Workspace: workspace})
	}
	for range 50 {
		add("a")
		add("b")
	}
	for range 1000 {
		add(queue.Pop(time.Time{}).Workspace)
	}
	for range 50 {
		add("new")
	}
	for range 60 {
		next := queue.Pop(time.Time{}).Workspace
		served[next]++
		add(next)
	}
	qt.Assert(t, served["new"] >= 10 && served["new"] <= 25, qt.IsTrue, qt.Commentf("%v", served))
}

// Load: two ranks that always wait, of two workspaces each. The more urgent rank goes
// first, but neither the other rank nor a workspace starves, also if all are late.
func TestNoRankAndNoWorkspaceStarves(t *testing.T) {
	queue, now := &share.Queue[int]{}, time.Unix(1000, 0)
	served := make(map[string]int)
	for range 20 {
		for rank, workspaces := range [][]string{{"a", "b"}, {"c", "d"}} {
			queue.Add(&waiter{Rank: rank, Workspace: workspaces[0], Due: now})
			queue.Add(&waiter{Rank: rank, Workspace: workspaces[1], Due: now})
		}
	}
	for range 800 {
		next := queue.Pop(now.Add(time.Second))
		served[next.Workspace]++
		queue.Add(next)
	}
	qt.Assert(t, served, qt.DeepEquals, map[string]int{"a": 350, "b": 350, "c": 50, "d": 50})
}
