// Package front runs sub-requests at the replicas that this host fronts, and
// keeps the limits of their backend servers.
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
	"fescuehall/verdict"
)

const stateShards = 64

// cancelGrace holds a slot after a cancelled search, until the backend server
// has noticed.
const cancelGrace = 2 * time.Millisecond

// Front holds the queues and connections of fronted replicas. Set the fields
// before use.
type Front struct {
	// View returns the configuration in force.
	View func() *service.View
	// Marks knows the leaving backend servers.
	Marks *replica.Marks
	// Now is the clock.
	Now func() time.Time
	// Search sends a search; the client's method when nil.
	Search func(ctx context.Context, client *backend.Client, search *backend.Search) (*backend.Found, error)
	// Dial opens connections to backend servers; net.DialTimeout when nil.
	Dial func(network, address string, timeout time.Duration) (net.Conn, error)
	// Log is told of exceptional decisions.
	Log func(format string, args ...any)

	shards [stateShards]stateShard
}

type stateShard struct {
	mu    sync.Mutex
	desks map[string]*desk
}

// desk is the queue and the connections of one replica.
type desk struct {
	queue   *rank.Queue
	client  atomic.Pointer[backend.Client]
	version uint64
	lastUse time.Time
}

func (front *Front) shard(address string) *stateShard {
	return &front.shards[xxhash.Sum64String(address)%stateShards]
}

// desk returns the state of a replica with the limits of the view in force.
func (front *Front) desk(address string) *desk {
	view := front.View()
	limits, ok := view.Limits(address)
	shard := front.shard(address)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	found := shard.desks[address]
	if !ok && found == nil {
		return nil
	}
	if found == nil {
		found = &desk{queue: &rank.Queue{Slots: limits.Slots, Shares: view.Shares(), Now: front.Now}}
		found.client.Store(backend.New(address, limits.Connections, front.Dial))
		if shard.desks == nil {
			shard.desks = make(map[string]*desk)
		}
		shard.desks[address] = found
	}
	if ok && found.version != view.Version {
		found.version = view.Version
		found.queue.Limit(limits.Slots, view.Shares())
		front.limitConnections(found, address, limits.Connections)
	}
	found.lastUse = front.Now()
	return found
}

// limitConnections replaces a client whose limit has changed. Its searches in
// flight end on the connections they have.
func (front *Front) limitConnections(desk *desk, address string, connections int) {
	if desk.client.Load().Connections == connections {
		return
	}
	desk.client.Swap(backend.New(address, connections, front.Dial)).Close()
}

// Run serves one sub-request.
func (front *Front) Run(ctx context.Context, request *message.SubRequest) *message.SubReply {
	deadline := front.Now().Add(time.Duration(request.BudgetMicros) * time.Microsecond)
	if front.Marks.Leaving(request.Replica) {
		front.Log("Refuse request %s shard %d: backend server %s is leaving.", request.RequestID, request.Shard, request.Replica)
		return Refuse(request, verdict.New(verdict.NotRun, verdict.Draining, "backend server %s is leaving", request.Replica))
	}
	desk := front.desk(request.Replica)
	if desk == nil {
		return Refuse(request, verdict.New(verdict.NotRun, verdict.NoReplica, "backend server %s is not in the configuration", request.Replica))
	}
	queued := front.Now()
	if err := enter(ctx, desk.queue, request, deadline); err != nil {
		reply := Refuse(request, verdict.Of(err))
		reply.Waiting = desk.queue.Waiting()
		reply.QueueMicros = front.Now().Sub(queued).Microseconds()
		return reply
	}
	reply := front.serve(ctx, desk, request, deadline)
	reply.QueueMicros = front.Now().Sub(queued).Microseconds() - reply.ServiceMicros
	reply.Waiting = desk.queue.Waiting()
	return reply
}

// enter waits for a slot.
func enter(ctx context.Context, queue *rank.Queue, request *message.SubRequest, deadline time.Time) error {
	item := &rank.Item{Rank: request.Rank, Started: request.StartedMicros, Deadline: deadline, OnlyFree: request.Hedge}
	queue.Add(item)
	select {
	case err := <-item.Outcome():
		return err
	case <-ctx.Done():
	}
	if !queue.Withdraw(item) {
		if err := <-item.Outcome(); err != nil {
			return err
		}
		queue.Done(0)
	}
	return verdict.New(verdict.NotRun, verdict.Cancelled, "withdrawn while queued for %s", request.Replica)
}

// serve runs a sub-request that holds a slot.
func (front *Front) serve(ctx context.Context, desk *desk, request *message.SubRequest, deadline time.Time) *message.SubReply {
	started := front.Now()
	left := deadline.Sub(started)
	if left <= 0 {
		desk.queue.Done(0)
		return Refuse(request, verdict.New(verdict.NotRun, verdict.DeadlinePassed, "deadline passed before sending to %s", request.Replica))
	}
	// A search that is withdrawn goes on: to cut its connection would cost a new
	// one, and the slot would be given out while the server still works.
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), left)
	defer cancel()
	found, err := front.search(limited, desk.client.Load(), searchOf(request, left))
	took := front.Now().Sub(started)
	release(limited, desk.queue, err, took)
	var reply *message.SubReply
	if err != nil {
		reply = front.failed(request, err)
	} else {
		reply = front.found(request, found)
	}
	reply.ServiceMicros = took.Microseconds()
	return reply
}

func (front *Front) search(ctx context.Context, client *backend.Client, search *backend.Search) (*backend.Found, error) {
	if front.Search != nil {
		return front.Search(ctx, client, search)
	}
	return client.Search(ctx, search)
}

// release gives the slot back. Only searches that ended by themselves tell
// how long the replica takes.
func release(ctx context.Context, queue *rank.Queue, err error, took time.Duration) {
	if err == nil {
		queue.Done(took)
		return
	}
	if ctx.Err() != nil {
		time.AfterFunc(cancelGrace, func() { queue.Done(0) })
		return
	}
	queue.Done(0)
}

func (front *Front) failed(request *message.SubRequest, err error) *message.SubReply {
	failure := verdict.Of(err)
	if failure.Code == verdict.Draining {
		front.Marks.Set(request.Replica, "", replica.FromReply)
	}
	if failure.Code != verdict.Cancelled {
		front.Log("Request %s shard %d failed at %s: %v.", request.RequestID, request.Shard, request.Replica, failure)
	}
	return Refuse(request, failure)
}

func (front *Front) found(request *message.SubRequest, found *backend.Found) *message.SubReply {
	if found.Draining {
		front.Marks.Set(request.Replica, found.Instance, replica.FromReply)
	}
	reply := echo(request)
	reply.Verdict = int(verdict.Ran)
	reply.Results = make([]message.Result, len(found.Hits))
	for place, hit := range found.Hits {
		reply.Results[place] = message.Result{ID: hit.ID, Score: hit.Score, Snapshot: hit.Snapshot, Shard: hit.Shard, Text: hit.Text}
	}
	return reply
}

func searchOf(request *message.SubRequest, left time.Duration) *backend.Search {
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
		DeadlineMillis: int(left.Milliseconds()),
	}
}

func echo(request *message.SubRequest) *message.SubReply {
	return &message.SubReply{RequestID: request.RequestID, Attempt: request.Attempt, Snapshot: request.Snapshot, Shard: request.Shard, Replica: request.Replica}
}

// Refuse returns the reply that says why a sub-request failed.
func Refuse(request *message.SubRequest, failure *verdict.Failure) *message.SubReply {
	reply := echo(request)
	reply.Verdict = int(failure.Verdict)
	reply.Code = string(failure.Code)
	reply.Detail = failure.Detail
	reply.Snapshots = failure.Snapshots
	return reply
}

// Status is what this host knows of a replica that it fronts.
type Status struct {
	Replica string
	Running int
	Waiting int
	Opened  int64
}

// Status returns the replicas in use, in no order.
func (front *Front) Status() []Status {
	var all []Status
	for place := range front.shards {
		shard := &front.shards[place]
		shard.mu.Lock()
		for address, desk := range shard.desks {
			all = append(all, Status{Replica: address, Running: desk.queue.Running(), Waiting: desk.queue.Waiting(), Opened: desk.client.Load().Opened()})
		}
		shard.mu.Unlock()
	}
	return all
}
