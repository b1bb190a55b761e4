// Package dispatch answers callers' requests through the replicas of the
// services that a route names: one replica of one service, or one of each
// shard. It decides on tries, hedges, retries, and when an answer without all
// shards is better than a late one.
package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"fescuehall/exchange"
	"fescuehall/logbook"
	"fescuehall/metric"
	"fescuehall/rank"
	"fescuehall/reach"
	"fescuehall/replica"
	"fescuehall/retry"
	"fescuehall/roster"
	"fescuehall/route"
	"fescuehall/suspect"
	"fescuehall/verdict"
)

// Request is one request of a caller.
type Request struct {
	ID      string
	Route   *route.Route
	Version uint64
	Content *exchange.Request
	// Received is when its header was read.
	Received time.Time
	// Deadline is when the caller or the route gives it up.
	Deadline time.Time
	// Ways is the time that the request and its answer spend between the caller
	// and this host, 0 when it is not known.
	Ways time.Duration
	// Tell is set when another host asks for its caller. It is told of what is in
	// when the target is near, and afterwards of each part that comes. Serve then
	// returns what was not told.
	Tell func(*Answer)
}

// hop reports whether the answer goes through another host.
func (request *Request) hop() bool {
	return request.Tell != nil
}

// AnswerIn returns the time after Received in which an answer is of full use, 0
// when the route has no target.
func (request *Request) AnswerIn() time.Duration {
	target := request.Route.Target
	switch {
	case target == 0:
		return 0
	case request.hop():
		return target - hopMargin
	case request.Ways == 0:
		return target - usualWays
	}
	return target - min(request.Ways+waySlack, target/2)
}

// Bundle is some shards of a request that one peer gathers: one message each
// way, where each shard's own would cross failure domains.
type Bundle struct {
	Peer   string
	Shards []string
	// Far is set when the peer is in another failure domain.
	Far bool
}

// Gathered is one of a peer's answers to a bundle, with what is new.
type Gathered struct {
	Receipts []string
	Records  []byte
	// Failure is nil for a success, which may leave shards out.
	Failure *verdict.Failure
}

// Try is one request to one replica.
type Try struct {
	Request *Request
	Replica roster.Replica
}

// Load is what a replica says of its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Reply is what became of a try.
type Reply struct {
	// Answer is the replica's whole answer, nil when none came.
	Answer *exchange.Answer
	// Receipt proves to the caller which replica answered.
	Receipt string
	// Failure is nil for a success.
	Failure *verdict.Failure
	Load    Load
}

// Answer is what the caller gets.
type Answer struct {
	// Whole is the answer of one replica, a success or its own failure.
	Whole *exchange.Answer
	// Receipts, Missing and Records are a gathered success.
	Receipts []string
	Missing  int
	Records  []byte
	// Failure is set when there is neither.
	Failure *verdict.Failure
	// RetryAfter is when a request that has not run may be sent again.
	RetryAfter time.Duration
}

// Dispatcher answers requests. Set the fields before use.
type Dispatcher struct {
	// Send sends a try. It always returns a reply, soon after ctx has ended.
	Send func(ctx context.Context, try *Try) *Reply
	// Replicas returns the replicas of a service that take work.
	Replicas func(service string) []roster.Replica
	// Misplaced is told of a replica that is not at its address.
	Misplaced func(id string)
	// Plan returns the bundles that peers are to gather; it may be nil. The other
	// shards are asked from here.
	Plan func(shards []string) []Bundle
	// Ask lets a peer gather a bundle, tells of what comes before its last answer
	// and returns that. It always returns, soon after ctx has ended.
	Ask func(ctx context.Context, request *Request, bundle Bundle, tell func(*Gathered)) *Gathered
	// Hosts returns how many hosts share the budget of extra requests.
	Hosts func() int
	// Picker chooses among replicas, by their IDs.
	Picker *replica.Picker
	// Suspects records which replicas are late; it may be nil.
	Suspects *suspect.Ledger
	// Random returns a number in [0, 1).
	Random func() float64
	// Event is told of each decision.
	Event func(event string, fields logbook.Fields)
	// Domain is this host's failure domain.
	Domain string
	// Reach is told whether other failure domains answer, and says whether this
	// host is cut off from them; it may be nil.
	Reach *reach.Gate
	// Observe counts each request; it may be nil.
	Observe func(request metric.Request)

	budgets   retry.Budgets
	routes    sync.Map
	throttles sync.Map
}

// SetExtra bounds the extra requests that a service may get from all hosts by a
// share of its requests and a number. It may be called again.
func (dispatcher *Dispatcher) SetExtra(ratio, slack float64) {
	dispatcher.budgets.Share(ratio, slack, dispatcher.Random)
}

const (
	// hedgeQuantile is the part of tries, in percent, that are not hedged. What
	// is left stays well under the usual budget of 20%.
	hedgeQuantile = 92
	leastHedge    = 2 * time.Millisecond
	// routeSamples make one estimate for a route that asks one replica.
	routeSamples = 60
)

// budget returns the budget of extra requests of a service.
func (dispatcher *Dispatcher) budget(service string) *retry.Budget {
	return dispatcher.budgets.Of(service, dispatcher.Hosts())
}

// throttle returns the throttle of the services that a request needs. Routes to
// the same services share it.
func (dispatcher *Dispatcher) throttle(service string) *rank.Throttle {
	if found, ok := dispatcher.throttles.Load(service); ok {
		return found.(*rank.Throttle)
	}
	found, _ := dispatcher.throttles.LoadOrStore(service, &rank.Throttle{Now: time.Now, Random: dispatcher.Random})
	return found.(*rank.Throttle)
}

// delay returns the hedge delay of a route, learnt from its tries.
func (dispatcher *Dispatcher) delay(route *route.Route) *retry.Delay {
	if found, ok := dispatcher.routes.Load(route.Name); ok {
		return found.(*retry.Delay)
	}
	made := &retry.Delay{Quantile: hedgeQuantile, Least: leastHedge}
	if !route.Gathers() {
		made.Samples = routeSamples
	}
	found, _ := dispatcher.routes.LoadOrStore(route.Name, made)
	return found.(*retry.Delay)
}

// hedgeAfter returns when a try of a route is hedged.
func (dispatcher *Dispatcher) hedgeAfter(route *route.Route) time.Duration {
	if after, known := dispatcher.delay(route).After(); known {
		return after
	}
	const unknownShare = 3
	if route.Target > 0 {
		return route.Target / unknownShare
	}
	return route.Timeout / unknownShare
}

// cutOff reports whether a gathered request can't be answered from here: other
// failure domains can't be reached, and this one has too few of the shards.
func (dispatcher *Dispatcher) cutOff(found *route.Route) bool {
	if dispatcher.Reach == nil || !found.Gathers() || !dispatcher.Reach.CutOff() {
		return false
	}
	near := 0
	for _, shard := range found.Shards {
		if slices.ContainsFunc(dispatcher.Replicas(shard), func(replica roster.Replica) bool { return replica.FailureDomain == dispatcher.Domain }) {
			near++
		}
	}
	return near < found.LeastParts()
}

// judge tells the throttle whether a request is in time: when it is answered, or
// as soon as its target has passed, since a late one may go on for long.
func (dispatcher *Dispatcher) judge(throttle *rank.Throttle, run *run) (answered func()) {
	found := run.request.Route
	if found.Target == 0 {
		return func() { throttle.Done(found.Rank, run.inTime) }
	}
	late := time.AfterFunc(time.Until(run.request.Received.Add(found.Target)), func() { throttle.Done(found.Rank, false) })
	return func() {
		if late.Stop() {
			throttle.Done(found.Rank, run.inTime)
		}
	}
}

// Serve answers one request. It always returns an answer, unless the caller
// has left, which ends ctx.
func (dispatcher *Dispatcher) Serve(ctx context.Context, request *Request) *Answer {
	run := newRun(dispatcher, request)
	if dispatcher.cutOff(request.Route) {
		return run.refuseCutOff()
	}
	// A peer's bundle was admitted by the peer.
	if !request.hop() {
		throttle := dispatcher.throttle(run.parts[0].service)
		if admitted, refusal := throttle.Admit(request.Route.Rank); !admitted {
			return run.refuse(refusal)
		}
		defer dispatcher.judge(throttle, run)()
	}
	if request.Route.Gathers() && !request.hop() && dispatcher.Plan != nil {
		run.startBundles()
	}
	run.startAll()
	gone := run.wait(ctx)
	if !gone && request.Route.Gathers() {
		run.checkReach()
	}
	answer := run.answer(gone)
	run.inTime = gone || answer.Failure == nil && run.beforeTarget(time.Now())
	run.close(gone)
	run.log(answer, gone)
	return answer
}
