// Package rank schedules requests by rank, which is their urgency, and limits
// how many are admitted.
package rank

import (
	"container/heap"
	"sync"
	"time"

	"fescuehall/verdict"
)

// Item is a request in a Queue.
type Item struct {
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Started orders the items of a rank, earliest first. It is when the query
	// reached its first entry host, in microseconds, so that all replicas serve
	// the same queries first.
	Started int64
	// Deadline is the time after which the answer is useless.
	Deadline time.Time
	// NoWait makes Add refuse the item instead of queueing it if no slot is
	// free.
	NoWait bool

	// index is the item's index in its heap, or -1 if it is not in a heap.
	index   int
	outcome chan error
}

// Outcome returns a channel that receives one value: nil when the item gets a
// slot, or a *verdict.Failure with the verdict NotRun when it is refused.
func (item *Item) Outcome() <-chan error {
	return item.outcome
}

// Queue assigns the slots of one replica to requests: the most urgent rank
// first, except that each rank with waiting requests gets a guaranteed share of
// the dispatches. Set the fields before use.
type Queue struct {
	// Slots is the number of requests that may run at a time.
	Slots int
	// Shares is the guaranteed share of dispatches in percent, indexed by rank.
	Shares []int
	// Now is the clock.
	Now func() time.Time

	mu      sync.Mutex
	running int
	// waiting, credit and dispatchTimes are indexed by rank.
	waiting []itemHeap
	count   int
	// credit is the number of dispatches that a rank is owed for its guaranteed
	// share.
	credit        []float64
	dispatchTimes []dispatchTimes
	serviceTime   time.Duration
}

// dispatchTimes records how often items of a rank are dispatched while others
// of that rank wait.
type dispatchTimes struct {
	last            time.Time
	averageInterval time.Duration
}

// defaultServiceTime is used until the first service time is recorded.
const defaultServiceTime = time.Millisecond

// maxCredit is the maximum credit of a rank, in dispatches.
const maxCredit = 2

// SetLimits sets the slots and shares from a new configuration.
func (queue *Queue) SetLimits(slots int, shares []int) {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	queue.Slots = slots
	queue.Shares = shares
	queue.dispatch()
}

// Add queues an item, or refuses it immediately if it can't be served before
// its deadline. The caller must read the outcome, and call Done if it is nil.
func (queue *Queue) Add(item *Item) {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	item.index = -1
	item.outcome = make(chan error, 1)
	queue.addRanks(item.Rank)
	if item.NoWait && (queue.running >= queue.Slots || queue.count > 0) {
		item.outcome <- verdict.New(verdict.NotRun, verdict.Overload, "no slot is free")
		return
	}
	if failure := queue.checkDeadline(item, queue.countAhead(item.Rank)); failure != nil {
		item.outcome <- failure
		return
	}
	heap.Push(&queue.waiting[item.Rank], item)
	queue.count++
	queue.dispatch()
	queue.evict(item.Rank)
}

// Withdraw removes a waiting item. It returns false if the item already has an
// outcome, which the caller must then read.
func (queue *Queue) Withdraw(item *Item) bool {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	if item.index < 0 || len(item.outcome) > 0 {
		return false
	}
	queue.remove(item)
	return true
}

// Done releases the slot of a request that took the given time. A time of 0 is
// not used for the average service time.
func (queue *Queue) Done(duration time.Duration) {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	queue.running--
	if duration > 0 {
		queue.recordServiceTime(duration)
	}
	queue.dispatch()
}

// Waiting returns the number of waiting items.
func (queue *Queue) Waiting() int {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	return queue.count
}

// Running returns the number of slots in use.
func (queue *Queue) Running() int {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	return queue.running
}

// addRanks extends the slices that are indexed by rank to include rank.
func (queue *Queue) addRanks(rank int) {
	for len(queue.waiting) <= rank {
		queue.waiting = append(queue.waiting, nil)
		queue.credit = append(queue.credit, 0)
		queue.dispatchTimes = append(queue.dispatchTimes, dispatchTimes{})
	}
}

// recordServiceTime updates the moving average of the service time.
func (queue *Queue) recordServiceTime(duration time.Duration) {
	const weight = 8
	if queue.serviceTime == 0 {
		queue.serviceTime = duration
		return
	}
	queue.serviceTime += (duration - queue.serviceTime) / weight
}

func (queue *Queue) averageServiceTime() time.Duration {
	if queue.serviceTime == 0 {
		return defaultServiceTime
	}
	return queue.serviceTime
}

// countAhead returns the number of waiting items that are served before a new
// one of the rank.
func (queue *Queue) countAhead(rank int) int {
	count := 0
	for other := 0; other <= rank; other++ {
		count += len(queue.waiting[other])
	}
	return count
}

// checkDeadline returns a failure if an item with that many items ahead of it
// is expected to miss its deadline.
func (queue *Queue) checkDeadline(item *Item, ahead int) *verdict.Failure {
	wait := queue.estimateWait(item.Rank, ahead)
	if queue.Now().Add(wait + queue.averageServiceTime()).After(item.Deadline) {
		return verdict.New(verdict.NotRun, verdict.Overload, "%d requests ahead need %v, deadline is in %v", ahead, wait, item.Deadline.Sub(queue.Now()))
	}
	return nil
}

// estimateWait estimates how long an item of the rank waits. It is the time to
// serve the items ahead of it or, if that is longer because more urgent items
// keep arriving, the recent interval between dispatches of its rank times the
// rank's waiting items. The rank's guaranteed share limits the wait.
func (queue *Queue) estimateWait(rank, ahead int) time.Duration {
	if queue.running < queue.Slots {
		return 0
	}
	slotTime := queue.averageServiceTime() / time.Duration(queue.Slots)
	waiting := time.Duration(len(queue.waiting[rank]))
	wait := max(slotTime*time.Duration(ahead+1), queue.dispatchTimes[rank].averageInterval*waiting)
	if percent := queue.sharePercent(rank); percent > 0 {
		wait = min(wait, slotTime*(waiting+1)*100/time.Duration(percent))
	}
	return wait
}

func (queue *Queue) sharePercent(rank int) int {
	if rank < len(queue.Shares) {
		return queue.Shares[rank]
	}
	return 0
}

// dispatch assigns free slots to waiting items.
func (queue *Queue) dispatch() {
	for queue.count > 0 && queue.running < queue.Slots {
		item := queue.takeNext()
		if queue.Now().After(item.Deadline) {
			item.outcome <- verdict.New(verdict.NotRun, verdict.DeadlinePassed, "deadline passed in the queue")
			continue
		}
		queue.running++
		item.outcome <- nil
	}
}

// takeNext removes and returns the next item to serve: from the rank with the
// highest credit if that is at least one dispatch, or else from the most urgent
// rank.
func (queue *Queue) takeNext() *Item {
	chosen := -1
	for rank := range queue.waiting {
		if len(queue.waiting[rank]) == 0 {
			queue.credit[rank] = 0
			continue
		}
		queue.credit[rank] = min(maxCredit, queue.credit[rank]+float64(queue.sharePercent(rank))/100)
		if queue.credit[rank] >= 1 && (chosen < 0 || queue.credit[rank] > queue.credit[chosen]) {
			chosen = rank
		}
	}
	if chosen < 0 {
		chosen = queue.mostUrgentRank()
	}
	queue.credit[chosen] = max(0, queue.credit[chosen]-1)
	item := queue.waiting[chosen][0]
	queue.remove(item)
	queue.recordDispatch(chosen)
	return item
}

// recordDispatch updates the average time between two dispatches of a rank. It
// starts over when no item of the rank is left waiting.
func (queue *Queue) recordDispatch(rank int) {
	const weight = 4
	times := &queue.dispatchTimes[rank]
	now := queue.Now()
	if !times.last.IsZero() {
		times.averageInterval += (now.Sub(times.last) - times.averageInterval) / weight
	}
	times.last = now
	if len(queue.waiting[rank]) == 0 {
		times.last = time.Time{}
		times.averageInterval = 0
	}
}

func (queue *Queue) mostUrgentRank() int {
	for rank := range queue.waiting {
		if len(queue.waiting[rank]) > 0 {
			return rank
		}
	}
	return -1
}

// evict refuses the newest items of less urgent ranks that are now expected to
// miss their deadlines because an item of the given rank was added.
func (queue *Queue) evict(addedRank int) {
	for rank := len(queue.waiting) - 1; rank > addedRank; rank-- {
		for len(queue.waiting[rank]) > 0 {
			newest := queue.waiting[rank].newest()
			failure := queue.checkDeadline(newest, queue.countAhead(rank)-1)
			if failure == nil {
				break
			}
			queue.remove(newest)
			newest.outcome <- failure
		}
	}
}

func (queue *Queue) remove(item *Item) {
	heap.Remove(&queue.waiting[item.Rank], item.index)
	queue.count--
}

// itemHeap is a min-heap of items, ordered by Started.
type itemHeap []*Item

// Len implements heap.Interface.
func (items itemHeap) Len() int { return len(items) }

// Less implements heap.Interface.
func (items itemHeap) Less(i, j int) bool { return items[i].Started < items[j].Started }

// Swap implements heap.Interface.
func (items itemHeap) Swap(i, j int) {
	items[i], items[j] = items[j], items[i]
	items[i].index = i
	items[j].index = j
}

// Push implements heap.Interface.
func (items *itemHeap) Push(value any) {
	item := value.(*Item)
	item.index = len(*items)
	*items = append(*items, item)
}

// Pop implements heap.Interface.
func (items *itemHeap) Pop() any {
	last := len(*items) - 1
	item := (*items)[last]
	(*items)[last] = nil
	*items = (*items)[:last]
	item.index = -1
	return item
}

// newest returns the item that started last. It is among the leaves of the
// heap, which are the second half of the slice.
func (items itemHeap) newest() *Item {
	newest := items[len(items)-1]
	for _, item := range items[len(items)/2:] {
		if item.Started > newest.Started {
			newest = item
		}
	}
	return newest
}
