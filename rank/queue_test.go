package rank_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fescuehall/rank"
	"fescuehall/verdict"
)

// clock is a fake clock.
type clock struct {
	now time.Time
}

func (clock *clock) Now() time.Time { return clock.now }

func newClock() *clock {
	return &clock{now: time.Unix(1000, 0)}
}

// outcome returns "slot" if the item got a slot, the code if it was refused, or
// "waiting".
func outcome(item *rank.Item) string {
	select {
	case err := <-item.Outcome():
		if err == nil {
			return "slot"
		}
		return string(verdict.FailureOf(err).Code)
	default:
		return "waiting"
	}
}

func add(queue *rank.Queue, clock *clock, itemRank int, deadline time.Duration) *rank.Item {
	item := &rank.Item{Rank: itemRank, Started: clock.now.UnixMicro(), Deadline: clock.now.Add(deadline)}
	queue.Add(item)
	return item
}

func TestQueueServesMostUrgentFirst(t *testing.T) {
	clock := newClock()
	queue := &rank.Queue{Slots: 1, Now: clock.Now}
	running := add(queue, clock, 2, time.Hour)
	low := add(queue, clock, 2, time.Hour)
	normal := add(queue, clock, 1, time.Hour)
	urgent := add(queue, clock, 0, time.Hour)
	qt.Assert(t, outcome(running), qt.Equals, "slot")
	for _, item := range []*rank.Item{urgent, normal, low} {
		qt.Assert(t, outcome(item), qt.Equals, "waiting")
		queue.Done(time.Millisecond)
		qt.Assert(t, outcome(item), qt.Equals, "slot")
	}
}

func TestQueueOrdersRankByStart(t *testing.T) {
	clock := newClock()
	queue := &rank.Queue{Slots: 1, Now: clock.Now}
	add(queue, clock, 0, time.Hour)
	second := &rank.Item{Started: 20, Deadline: clock.now.Add(time.Hour)}
	first := &rank.Item{Started: 10, Deadline: clock.now.Add(time.Hour)}
	queue.Add(second)
	queue.Add(first)
	queue.Done(time.Millisecond)
	qt.Assert(t, outcome(first), qt.Equals, "slot")
	qt.Assert(t, outcome(second), qt.Equals, "waiting")
}

func TestQueueRefuses(t *testing.T) {
	tests := []struct {
		name     string
		deadline time.Duration
		noWait   bool
		want     string
	}{
		{name: "meets its deadline", deadline: time.Second, want: "waiting"},
		{name: "would miss its deadline", deadline: 15 * time.Millisecond, want: "Overload"},
		{name: "deadline has passed", deadline: -time.Millisecond, want: "Overload"},
		{name: "requires a free slot", deadline: time.Second, noWait: true, want: "Overload"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := newClock()
			queue := &rank.Queue{Slots: 1, Now: clock.Now}
			add(queue, clock, 0, time.Hour)
			queue.Done(10 * time.Millisecond)
			add(queue, clock, 0, time.Hour)
			item := &rank.Item{Deadline: clock.now.Add(test.deadline), NoWait: test.noWait}
			queue.Add(item)
			qt.Assert(t, outcome(item), qt.Equals, test.want)
		})
	}
}

func TestQueueEvictsItemsThatWouldMissTheirDeadline(t *testing.T) {
	clock := newClock()
	queue := &rank.Queue{Slots: 1, Now: clock.Now}
	add(queue, clock, 0, time.Hour)
	queue.Done(10 * time.Millisecond)
	add(queue, clock, 0, time.Hour)
	evicted := add(queue, clock, 1, 45*time.Millisecond)
	qt.Assert(t, outcome(evicted), qt.Equals, "waiting")
	for range 3 {
		add(queue, clock, 0, time.Hour)
	}
	qt.Assert(t, outcome(evicted), qt.Equals, "Overload")
}

func TestQueueWithdraw(t *testing.T) {
	clock := newClock()
	queue := &rank.Queue{Slots: 1, Now: clock.Now}
	running := add(queue, clock, 0, time.Hour)
	waiting := add(queue, clock, 0, time.Hour)
	qt.Assert(t, queue.Withdraw(waiting), qt.IsTrue)
	qt.Assert(t, queue.Withdraw(waiting), qt.IsFalse)
	qt.Assert(t, queue.Withdraw(running), qt.IsFalse)
	queue.Done(time.Millisecond)
	qt.Assert(t, queue.Running(), qt.Equals, 0)
	qt.Assert(t, outcome(waiting), qt.Equals, "waiting")
}

func TestRefusedItemCantBeWithdrawn(t *testing.T) {
	clock := newClock()
	queue := &rank.Queue{Slots: 1, Now: clock.Now}
	add(queue, clock, 0, time.Hour)
	waiting := add(queue, clock, 0, time.Hour)
	refused := add(queue, clock, 0, -time.Second)
	qt.Assert(t, outcome(refused), qt.Equals, "Overload")
	qt.Assert(t, queue.Withdraw(refused), qt.IsFalse)
	queue.Done(time.Millisecond)
	qt.Assert(t, outcome(waiting), qt.Equals, "slot")
}

// With all ranks backlogged, each rank gets at least its guaranteed share of
// the dispatches, for any shares and number of slots, and the slots in use
// never exceed the configured number.
func TestQueueGuaranteesShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := newClock()
		shares := rapid.SliceOfN(rapid.IntRange(0, 30), 3, 3).Draw(t, "shares")
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		queue := &rank.Queue{Slots: slots, Shares: shares, Now: clock.Now}
		const rounds = 1000
		counts := make([]int, 3)
		var waiting []*rank.Item
		refill := func(itemRank int) { waiting = append(waiting, add(queue, clock, itemRank, 1000*time.Hour)) }
		for itemRank := range counts {
			for range 3 + slots {
				refill(itemRank)
			}
		}
		for range rounds {
			clock.now = clock.now.Add(time.Millisecond)
			for i := 0; i < len(waiting); i++ {
				if item := waiting[i]; outcome(item) == "slot" {
					counts[item.Rank]++
					waiting = append(waiting[:i], waiting[i+1:]...)
					refill(item.Rank)
					i--
				}
			}
			if queue.Running() > slots {
				t.Fatalf("%d slots in use of %d", queue.Running(), slots)
			}
			queue.Done(time.Millisecond)
		}
		for itemRank, share := range shares {
			if want := rounds*share/100 - 5; counts[itemRank] < want {
				t.Fatalf("rank %d was dispatched %d times in %d rounds, want at least %d: %v", itemRank, counts[itemRank], rounds, want, counts)
			}
		}
	})
}
