package share

import (
	"maps"
	"slices"
	"time"
)

// Waiter is a request that waits in a Queue.
type Waiter[T any] struct {
	Rank int
	// Workspace is whose request it is, empty if it has none. All those without a
	// workspace share as one.
	Workspace string
	// Due is when the answer is due, the zero time if there is no such limit.
	Due time.Time
	// Granted receives what the request waits for.
	Granted chan T
}

// isLate reports whether an answer at the given time is late.
func (waiter *Waiter[T]) isLate(answeredAt time.Time) bool {
	return !waiter.Due.IsZero() && answeredAt.After(waiter.Due)
}

// Queue holds waiters by rank, the most urgent first. Within a rank, the workspaces
// take turns by start-time fair queueing (Goyal, Vin and Cheng 1996), with equal
// weights and one unit for each request, and the waiters of a workspace by age. The
// zero value is empty.
type Queue[T any] struct {
	waiters []*Waiter[T]
	// ranks holds the state of the ranks that have waiters.
	ranks map[int]*turns
	// popped counts the waiters that were popped.
	popped uint64
}

// turns holds the state of start-time fair queueing in one rank.
type turns struct {
	// virtual is the virtual time: the least start tag among those that wait.
	virtual float64
	waiting int
	// flows holds the workspaces that wait, and those that are ahead of virtual.
	flows map[string]*flow
}

// flow is the state of one workspace.
type flow struct {
	// start is the start tag of its next waiter.
	start   float64
	waiting int
}

const (
	// keptShare is the share of pops, as one of this many, that go to the oldest
	// waiter of the least urgent rank, late ones included, so that none starves.
	keptShare = 8
	// agedShare is the same share for the oldest waiter of the most urgent rank, when
	// several workspaces wait there. Most of these are of the workspace that sends
	// most, and count as its turns: so one that sends up to four fifths of all is
	// served a quarter as often as all.
	agedShare = 5
)

// Empty reports whether nothing waits.
func (queue *Queue[T]) Empty() bool {
	return len(queue.waiters) == 0
}

// Len returns the number of waiters.
func (queue *Queue[T]) Len() int {
	return len(queue.waiters)
}

// Flows returns the workspaces of which the queue holds state, in no order.
func (queue *Queue[T]) Flows() []string {
	var names []string
	for _, rank := range queue.ranks {
		names = slices.AppendSeq(names, maps.Keys(rank.flows))
	}
	return names
}

// Each calls a function with each waiter.
func (queue *Queue[T]) Each(visit func(*Waiter[T])) {
	for _, waiter := range queue.waiters {
		visit(waiter)
	}
}

// Add adds a waiter.
func (queue *Queue[T]) Add(added *Waiter[T]) {
	position := len(queue.waiters)
	for position > 0 && queue.waiters[position-1].Rank > added.Rank {
		position--
	}
	queue.waiters = slices.Insert(queue.waiters, position, added)
	if queue.ranks == nil {
		queue.ranks = make(map[int]*turns)
	}
	rank := queue.ranks[added.Rank]
	if rank == nil {
		rank = &turns{flows: make(map[string]*flow)}
		queue.ranks[added.Rank] = rank
	}
	rank.add(added.Workspace)
}

func (turns *turns) add(workspace string) {
	added := turns.flows[workspace]
	if added == nil {
		added = &flow{}
		turns.flows[workspace] = added
	}
	if added.waiting == 0 {
		added.start = max(added.start, turns.virtual)
	}
	added.waiting++
	turns.waiting++
}

// Remove removes a waiter that gives up. It returns false when the waiter is not in
// the queue.
func (queue *Queue[T]) Remove(removed *Waiter[T]) bool {
	index := slices.Index(queue.waiters, removed)
	if index < 0 {
		return false
	}
	queue.waiters = slices.Delete(queue.waiters, index, index+1)
	rank := queue.ranks[removed.Rank]
	rank.remove(removed.Workspace)
	if rank.waiting == 0 {
		delete(queue.ranks, removed.Rank)
	}
	return true
}

// remove removes a waiter of a workspace and brings the virtual time forward. The
// workspaces that have no waiter and are not ahead of it leave nothing.
func (turns *turns) remove(workspace string) {
	turns.flows[workspace].waiting--
	turns.waiting--
	least, waits := 0.0, false
	for _, flow := range turns.flows {
		if flow.waiting > 0 && (!waits || flow.start < least) {
			least, waits = flow.start, true
		}
	}
	turns.virtual = max(turns.virtual, least)
	for workspace, flow := range turns.flows {
		if flow.waiting == 0 && flow.start <= turns.virtual {
			delete(turns.flows, workspace)
		}
	}
}

// Pop removes and returns the next waiter, nil if there is none. Its answer is
// expected at the given time.
func (queue *Queue[T]) Pop(answeredAt time.Time) *Waiter[T] {
	if queue.Empty() {
		return nil
	}
	queue.popped++
	var next *Waiter[T]
	switch {
	case queue.popped%keptShare == 0:
		next = queue.oldest(queue.waiters[len(queue.waiters)-1].Rank)
	case queue.popped%agedShare == 0 && len(queue.ranks[queue.waiters[0].Rank].flows) > 1:
		next = queue.oldest(queue.waiters[0].Rank)
	default:
		next = queue.mostUrgent(answeredAt)
	}
	queue.ranks[next.Rank].flows[next.Workspace].start++
	queue.Remove(next)
	return next
}

// mostUrgent returns the next waiter of the most urgent rank: of the workspace whose
// turn it is among those whose answer can still be in time, or among all when none can.
// Serving late ones first would make the others late too.
func (queue *Queue[T]) mostUrgent(answeredAt time.Time) *Waiter[T] {
	rank := queue.waiters[0].Rank
	flows := queue.ranks[rank].flows
	var next *Waiter[T]
	nextLate, nextStart := false, 0.0
	for _, candidate := range queue.waiters {
		if candidate.Rank > rank {
			break
		}
		late, start := candidate.isLate(answeredAt), 0.0
		if len(flows) > 1 {
			start = flows[candidate.Workspace].start
		} else if !late {
			return candidate
		}
		if next == nil || nextLate && !late || nextLate == late && start < nextStart {
			next, nextLate, nextStart = candidate, late, start
		}
	}
	return next
}

// oldest returns the oldest waiter of a rank.
func (queue *Queue[T]) oldest(rank int) *Waiter[T] {
	index := slices.IndexFunc(queue.waiters, func(waiter *Waiter[T]) bool { return waiter.Rank == rank })
	return queue.waiters[index]
}
