// Package rank orders and limits work by urgency.
package rank

import (
	"container/heap"
	"sync"
	"time"

	"fescuehall/verdict"
)

// Item is one request in a queue.
type Item struct {
	// Rank is 0 for the most urgent.
	Rank int
	// Started orders items of a rank: the arrival at the first entry host in
	// microseconds, so that all replicas prefer the same queries.
	Started int64
	// Deadline is when the answer is worthless.
	Deadline time.Time
	// OnlyFree refuses the item unless a slot is free at once.
	OnlyFree bool

	place   int
	outcome chan error
}

// Outcome yields nil when a slot was given to the item, or a
// *verdict.Failure that says NotRun.
func (item *Item) Outcome() <-chan error {
	return item.outcome
}

// Queue gives the slots of one replica to requests: the most urgent rank
// first, while each waiting rank keeps its share. Set the fields before use.
type Queue struct {
	// Slots is how many requests run at a time.
	Slots int
	// Shares is the share of dispatches each rank keeps, in percent, by rank.
	Shares []int
	// Now is the clock.
	Now func() time.Time

	mu      sync.Mutex
	running int
	waiting []itemHeap
	count   int
	credit  []float64
	pace    []pace
	service time.Duration
}

// pace is how fast a rank is being served while it has items waiting.
type pace struct {
	last     time.Time
	interval time.Duration
}

// defaultService stands for the service time before the first one is known.
const defaultService = time.Millisecond

// maxCredit bounds what a rank can save up, in dispatches.
const maxCredit = 2

// Limit replaces slots and shares, as a new configuration asks.
func (queue *Queue) Limit(slots int, shares []int) {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	queue.Slots = slots
	queue.Shares = shares
	queue.dispatch()
}

// Add queues an item, or refuses it at once when it can't be served in time.
// The caller reads the outcome, and calls Done after a nil one.
func (queue *Queue) Add(item *Item) {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	item.place = -1
	item.outcome = make(chan error, 1)
	queue.grow(item.Rank)
	if item.OnlyFree && (queue.running >= queue.Slots || queue.count > 0) {
		item.outcome <- verdict.New(verdict.NotRun, verdict.Overload, "no slot is free")
		return
	}
	if failure := queue.infeasible(item, queue.ahead(item.Rank)); failure != nil {
		item.outcome <- failure
		return
	}
	heap.Push(&queue.waiting[item.Rank], item)
	queue.count++
	queue.dispatch()
	queue.evict(item.Rank)
}

// Withdraw takes an item out. It reports false when the item has its outcome
// already, which the caller then has to read.
func (queue *Queue) Withdraw(item *Item) bool {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	if item.place < 0 || len(item.outcome) > 0 {
		return false
	}
	queue.remove(item)
	return true
}

// Done gives back a slot after a request that took the given time. A time of
// 0 is not counted.
func (queue *Queue) Done(took time.Duration) {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	queue.running--
	if took > 0 {
		queue.learn(took)
	}
	queue.dispatch()
}

// Waiting returns how many items wait.
func (queue *Queue) Waiting() int {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	return queue.count
}

// Running returns how many slots are in use.
func (queue *Queue) Running() int {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	return queue.running
}

func (queue *Queue) grow(rank int) {
	for len(queue.waiting) <= rank {
		queue.waiting = append(queue.waiting, nil)
		queue.credit = append(queue.credit, 0)
		queue.pace = append(queue.pace, pace{})
	}
}

// learn keeps a moving average of the service time.
func (queue *Queue) learn(took time.Duration) {
	const weight = 8
	if queue.service == 0 {
		queue.service = took
		return
	}
	queue.service += (took - queue.service) / weight
}

func (queue *Queue) average() time.Duration {
	if queue.service == 0 {
		return defaultService
	}
	return queue.service
}

// ahead counts the items that are served before a new one of the rank.
func (queue *Queue) ahead(rank int) int {
	count := 0
	for above := 0; above <= rank; above++ {
		count += len(queue.waiting[above])
	}
	return count
}

// infeasible returns why an item with that many ahead can't be in time.
func (queue *Queue) infeasible(item *Item, ahead int) *verdict.Failure {
	wait := queue.wait(item.Rank, ahead)
	if queue.Now().Add(wait + queue.average()).After(item.Deadline) {
		return verdict.New(verdict.NotRun, verdict.Overload, "%d requests ahead need %v, deadline is in %v", ahead, wait, item.Deadline.Sub(queue.Now()))
	}
	return nil
}

// wait estimates how long an item of the rank waits: for those ahead of it,
// or, as more urgent ones keep coming, for its rank's turns. The rank's kept
// share bounds the wait from above.
func (queue *Queue) wait(rank, ahead int) time.Duration {
	if queue.running < queue.Slots {
		return 0
	}
	slotTime := queue.average() / time.Duration(queue.Slots)
	waiting := time.Duration(len(queue.waiting[rank]))
	wait := max(slotTime*time.Duration(ahead+1), queue.pace[rank].interval*waiting)
	if share := queue.share(rank); share > 0 {
		wait = min(wait, slotTime*(waiting+1)*100/time.Duration(share))
	}
	return wait
}

func (queue *Queue) share(rank int) int {
	if rank < len(queue.Shares) {
		return queue.Shares[rank]
	}
	return 0
}

// dispatch gives free slots to waiting items.
func (queue *Queue) dispatch() {
	for queue.count > 0 && queue.running < queue.Slots {
		item := queue.next()
		if queue.Now().After(item.Deadline) {
			item.outcome <- verdict.New(verdict.NotRun, verdict.DeadlinePassed, "deadline passed in the queue")
			continue
		}
		queue.running++
		item.outcome <- nil
	}
}

// next takes the item to serve: of the rank whose kept share is most overdue,
// or else of the most urgent rank.
func (queue *Queue) next() *Item {
	chosen := -1
	for rank := range queue.waiting {
		if len(queue.waiting[rank]) == 0 {
			queue.credit[rank] = 0
			continue
		}
		queue.credit[rank] = min(maxCredit, queue.credit[rank]+float64(queue.share(rank))/100)
		if queue.credit[rank] >= 1 && (chosen < 0 || queue.credit[rank] > queue.credit[chosen]) {
			chosen = rank
		}
	}
	if chosen < 0 {
		chosen = queue.mostUrgent()
	}
	queue.credit[chosen] = max(0, queue.credit[chosen]-1)
	item := queue.waiting[chosen][0]
	queue.remove(item)
	queue.keepPace(chosen)
	return item
}

// keepPace averages the time between an item's turn and the next of its rank.
func (queue *Queue) keepPace(rank int) {
	const weight = 4
	pace := &queue.pace[rank]
	now := queue.Now()
	if !pace.last.IsZero() {
		pace.interval += (now.Sub(pace.last) - pace.interval) / weight
	}
	pace.last = now
	if len(queue.waiting[rank]) == 0 {
		pace.last = time.Time{}
		pace.interval = 0
	}
}

func (queue *Queue) mostUrgent() int {
	for rank := range queue.waiting {
		if len(queue.waiting[rank]) > 0 {
			return rank
		}
	}
	return -1
}

// evict refuses the youngest items of less urgent ranks that can't be in time
// any more after one was added at the given rank.
func (queue *Queue) evict(added int) {
	for rank := len(queue.waiting) - 1; rank > added; rank-- {
		for len(queue.waiting[rank]) > 0 {
			youngest := queue.waiting[rank].youngest()
			failure := queue.infeasible(youngest, queue.ahead(rank)-1)
			if failure == nil {
				break
			}
			queue.remove(youngest)
			youngest.outcome <- failure
		}
	}
}

func (queue *Queue) remove(item *Item) {
	heap.Remove(&queue.waiting[item.Rank], item.place)
	queue.count--
}

// itemHeap is a heap by start.
type itemHeap []*Item

// Len implements heap.Interface.
func (items itemHeap) Len() int { return len(items) }

// Less implements heap.Interface.
func (items itemHeap) Less(i, j int) bool { return items[i].Started < items[j].Started }

// Swap implements heap.Interface.
func (items itemHeap) Swap(i, j int) {
	items[i], items[j] = items[j], items[i]
	items[i].place = i
	items[j].place = j
}

// Push implements heap.Interface.
func (items *itemHeap) Push(value any) {
	item := value.(*Item)
	item.place = len(*items)
	*items = append(*items, item)
}

// Pop implements heap.Interface.
func (items *itemHeap) Pop() any {
	last := len(*items) - 1
	item := (*items)[last]
	(*items)[last] = nil
	*items = (*items)[:last]
	item.place = -1
	return item
}

// youngest scans the leaves, where the greatest element is.
func (items itemHeap) youngest() *Item {
	youngest := items[len(items)-1]
	for _, item := range items[len(items)/2:] {
		if item.Started > youngest.Started {
			youngest = item
		}
	}
	return youngest
}
