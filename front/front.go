// Package front sends sub-requests to the replicas that this host fronts, and
// enforces the slot and connection limits of their backend servers. A replica
// is a backend server that holds one shard; the host that fronts it is the only
// entry host that sends it requests, as far as the hosts agree on their
// members.
package front

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuehall/backend"
	"fescuehall/message"
	"fescuehall/rank"
	"fescuehall/replica"
	"fescuehall/service"
	"fescuehall/shutdown"
	"fescuehall/verdict"
)

// stripeCount is the number of separately locked parts of the replica states.
const stripeCount = 64

// cancelGrace is how long a slot stays in use after its search was cancelled at
// the deadline, so that the backend server can notice the cancellation.
const cancelGrace = 2 * time.Millisecond

// Front contains the queues and connections of fronted replicas. Set the
// exported fields before use.
type Front struct {
	// View returns the active configuration.
	View func() *service.View
	// Marks records which backend servers are leaving.
	Marks *replica.Marks
	// Now is the clock.
	Now func() time.Time
	// Search sends a search; client.Search when nil.
	Search func(ctx context.Context, client *backend.Client, search *backend.Search) (*backend.Found, error)
	// Dial opens connections to backend servers; net.DialTimeout when nil.
	Dial func(network, address string, timeout time.Duration) (net.Conn, error)
	// Stop is the stop of this host; nil if it never stops.
	Stop *shutdown.Stop
	// Log logs refused and failed sub-requests.
	Log func(format string, args ...any)

	stripes [stripeCount]stripe
}

// stripe is a part of the replica states with a lock of its own.
type stripe struct {
	mu       sync.Mutex
	replicas map[string]*replicaState
}

// replicaState is the queue and the connections of one replica, with the limits
// of a configuration version.
type replicaState struct {
	queue   *rank.Queue
	client  atomic.Pointer[backend.Client]
	version uint64
	lastUse time.Time
}

func (front *Front) stripe(address string) *stripe {
	return &front.stripes[xxhash.Sum64String(address)%stripeCount]
}

// replicaState returns the state of a replica, updated to the limits of the
// active configuration. It creates the state on first use, and returns nil for
// a replica that has none and is not in the configuration.
func (front *Front) replicaState(address string) *replicaState {
	view := front.View()
	limits, ok := view.Limits(address)
	stripe := front.stripe(address)
	stripe.mu.Lock()
	defer stripe.mu.Unlock()
	state := stripe.replicas[address]
	if !ok && state == nil {
		return nil
	}
	if state == nil {
		state = &replicaState{queue: &rank.Queue{Slots: limits.Slots, Shares: view.RankShares(), Now: front.Now}}
		state.client.Store(backend.New(address, limits.Connections, front.Dial))
		if stripe.replicas == nil {
			stripe.replicas = make(map[string]*replicaState)
		}
		stripe.replicas[address] = state
	}
	if ok && state.version != view.Version {
		state.version = view.Version
		state.queue.SetLimits(limits.Slots, view.RankShares())
		front.setMaxConnections(state, address, limits.Connections)
	}
	state.lastUse = front.Now()
	return state
}

// setMaxConnections replaces the client if its limit of connections has
// changed. Searches in flight complete on the connections of the old client.
func (front *Front) setMaxConnections(state *replicaState, address string, maxConnections int) {
	if state.client.Load().MaxConnections == maxConnections {
		return
	}
	state.client.Swap(backend.New(address, maxConnections, front.Dial)).Close()
}

// Run runs a sub-request at its replica, when the replica's queue has given it
// a slot, and returns the reply. A sub-request that can't run is refused.
func (front *Front) Run(ctx context.Context, request *message.SubRequest) *message.SubReply {
	deadline := front.Now().Add(time.Duration(request.BudgetMicros) * time.Microsecond)
	if front.Marks.Leaving(request.Replica) {
		front.Log("Refused request %s shard %d: backend server %s is leaving.", request.RequestID, request.Shard, request.Replica)
		return FailureReply(request, verdict.New(verdict.NotRun, verdict.Draining, "backend server %s is leaving", request.Replica))
	}
	state := front.replicaState(request.Replica)
	if state == nil {
		return FailureReply(request, verdict.New(verdict.NotRun, verdict.NoReplica, "backend server %s is not in the configuration", request.Replica))
	}
	queuedAt := front.Now()
	if err := front.waitForSlot(ctx, state.queue, request, deadline); err != nil {
		reply := FailureReply(request, verdict.FailureOf(err))
		reply.Waiting = state.queue.Waiting()
		reply.QueueMicros = front.Now().Sub(queuedAt).Microseconds()
		return reply
	}
	reply := front.runInSlot(ctx, state, request, deadline)
	reply.QueueMicros = front.Now().Sub(queuedAt).Microseconds() - reply.ServiceMicros
	reply.Waiting = state.queue.Waiting()
	return reply
}

// waitForSlot queues a sub-request until it gets a slot. A hedge gets one at
// once or not at all. When this host stops, those that wait are refused.
func (front *Front) waitForSlot(ctx context.Context, queue *rank.Queue, request *message.SubRequest, deadline time.Time) error {
	if !front.Stop.Admits(0) {
		return stoppingFailure(request)
	}
	item := &rank.Item{Rank: request.Rank, Started: request.StartedMicros, Deadline: deadline, NoWait: request.Hedge}
	queue.Add(item)
	select {
	case err := <-item.Outcome():
		return err
	case <-ctx.Done():
	case <-front.Stop.SendingEnded():
	}
	if !queue.Withdraw(item) {
		if err := <-item.Outcome(); err != nil {
			return err
		}
		queue.Done(0)
	}
	if ctx.Err() == nil {
		return stoppingFailure(request)
	}
	return verdict.New(verdict.NotRun, verdict.Cancelled, "cancelled while queued for %s", request.Replica)
}

func stoppingFailure(request *message.SubRequest) error {
	return verdict.New(verdict.NotRun, verdict.Stopping, "the host that fronts %s stops", request.Replica)
}

// runInSlot runs a sub-request that has a slot, and releases the slot.
func (front *Front) runInSlot(ctx context.Context, state *replicaState, request *message.SubRequest, deadline time.Time) *message.SubReply {
	started := front.Now()
	remaining := deadline.Sub(started)
	if remaining <= 0 {
		state.queue.Done(0)
		return FailureReply(request, verdict.New(verdict.NotRun, verdict.DeadlinePassed, "deadline passed before sending to %s", request.Replica))
	}
	// A search whose sub-request is cancelled continues until its deadline.
	// Cancelling it would close its connection, which must then be replaced, and
	// would release the slot while the server is still busy.
	searchCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), remaining)
	defer cancel()
	// A host that stops replies to its peers before its process ends.
	searchCtx, cancelSearch := front.Stop.UntilAnsweringEnded(searchCtx)
	defer cancelSearch()
	found, err := front.search(searchCtx, state.client.Load(), newSearch(request, remaining))
	elapsed := front.Now().Sub(started)
	releaseSlot(searchCtx, state.queue, err, elapsed)
	var reply *message.SubReply
	if err != nil {
		reply = front.failureReply(request, err)
	} else {
		reply = front.successReply(request, found)
	}
	reply.ServiceMicros = elapsed.Microseconds()
	return reply
}

func (front *Front) search(ctx context.Context, client *backend.Client, search *backend.Search) (*backend.Found, error) {
	if front.Search != nil {
		return front.Search(ctx, client, search)
	}
	return client.Search(ctx, search)
}

// releaseSlot releases the slot of a search, after cancelGrace if the search
// was cancelled at its deadline. Only the duration of successful searches
// counts for the queue's estimate of the service time, because a search that
// ended early does not show how long the replica takes.
func releaseSlot(ctx context.Context, queue *rank.Queue, err error, elapsed time.Duration) {
	if err == nil {
		queue.Done(elapsed)
		return
	}
	if ctx.Err() != nil {
		time.AfterFunc(cancelGrace, func() { queue.Done(0) })
		return
	}
	queue.Done(0)
}

// failureReply logs a failed search and returns the reply. A server that
// refused the search as draining is marked as leaving.
func (front *Front) failureReply(request *message.SubRequest, err error) *message.SubReply {
	failure := verdict.FailureOf(err)
	if failure.Code == verdict.Draining {
		front.Marks.Set(request.Replica, "", replica.FromReply)
	}
	if failure.Code != verdict.Cancelled {
		front.Log("Request %s shard %d failed at %s: %v.", request.RequestID, request.Shard, request.Replica, failure)
	}
	return FailureReply(request, failure)
}

// successReply returns the reply with the hits of a search. A server that
// reported itself as draining is marked as leaving.
func (front *Front) successReply(request *message.SubRequest, found *backend.Found) *message.SubReply {
	if found.Draining {
		front.Marks.Set(request.Replica, found.Instance, replica.FromReply)
	}
	reply := newReply(request)
	reply.Verdict = int(verdict.Ran)
	reply.Results = make([]message.Result, len(found.Hits))
	for index, hit := range found.Hits {
		reply.Results[index] = message.Result{ID: hit.ID, Score: hit.Score, Snapshot: hit.Snapshot, Shard: hit.Shard, Text: hit.Text}
	}
	return reply
}

func newSearch(request *message.SubRequest, remaining time.Duration) *backend.Search {
	return &backend.Search{
		RequestID:      request.RequestID,
		Attempt:        request.Attempt,
		Service:        request.Service,
		Kind:           request.Kind,
		Snapshot:       request.Snapshot,
		Shard:          request.Shard,
		Text:           request.Text,
		Limit:          request.Limit,
		Idempotent:     request.Idempotent,
		DeadlineMillis: int(remaining.Milliseconds()),
	}
}

// newReply returns a reply with the fields that identify its sub-request.
func newReply(request *message.SubRequest) *message.SubReply {
	return &message.SubReply{RequestID: request.RequestID, Attempt: request.Attempt, Snapshot: request.Snapshot, Shard: request.Shard, Replica: request.Replica}
}

// FailureReply returns a reply to a sub-request with the verdict, code and
// detail of a failure.
func FailureReply(request *message.SubRequest, failure *verdict.Failure) *message.SubReply {
	reply := newReply(request)
	reply.Verdict = int(failure.Verdict)
	reply.Code = string(failure.Code)
	reply.Detail = failure.Detail
	reply.Snapshots = failure.Snapshots
	return reply
}

// Status is the state of a replica that this host fronts: its sub-requests
// running and waiting, and the connections opened so far.
type Status struct {
	Replica string
	Running int
	Waiting int
	Opened  int64
}

// Status returns the status of the replicas in use, in no particular order.
func (front *Front) Status() []Status {
	var statuses []Status
	for index := range front.stripes {
		stripe := &front.stripes[index]
		stripe.mu.Lock()
		for address, state := range stripe.replicas {
			statuses = append(statuses, Status{Replica: address, Running: state.queue.Running(), Waiting: state.queue.Waiting(), Opened: state.client.Load().OpenedConnections()})
		}
		stripe.mu.Unlock()
	}
	return statuses
}
