// Package dispatch answers callers' requests with the replicas of the services
// that a route names: one replica of one service or, for a gathered request, one
// replica of each shard. It decides when to send attempts, hedges and retries,
// and when to answer without some shards rather than late.
package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"fescuehall/estimate"
	"fescuehall/exchange"
	"fescuehall/logbook"
	"fescuehall/metric"
	"fescuehall/rank"
	"fescuehall/reach"
	"fescuehall/replica"
	"fescuehall/retry"
	"fescuehall/roster"
	"fescuehall/route"
	"fescuehall/shutdown"
	"fescuehall/suspect"
	"fescuehall/verdict"
)

// Request is one request of a caller, received from the caller itself or from
// another host on its behalf.
type Request struct {
	ID    string
	Route *route.Route
	// Workspace is the workspace that sent the request, nil if it has none.
	Workspace *route.Workspace
	Version   uint64
	Content   *exchange.Request
	// Received is when the request's header was read.
	Received time.Time
	// Pauses is the number of pauses of this process before the request was
	// received. After a further one, no attempt is sent: the deadline may have
	// passed although this host's clock does not show it.
	Pauses uint64
	// Deadline is the earlier of the caller's deadline and the route's timeout.
	Deadline time.Time
	// NetworkDelay is the time that the request and its answer spend on the
	// network between the caller and this host, 0 when it is unknown.
	NetworkDelay time.Duration
	// Report is set when another host sent the request on behalf of its caller. It
	// is called with the parts answered so far shortly before that host's answer
	// is due, and afterwards as further parts are answered. Serve then returns
	// only the parts that were not reported this way.
	Report func(*Answer)
}

// Rank returns the rank of the request: that of its workspace, if it has one, or
// else that of its route.
func (request *Request) Rank() int {
	if request.Workspace != nil && request.Workspace.Ranked {
		return request.Workspace.Rank
	}
	return request.Route.Rank
}

// fromPeer reports whether another host sent the request on behalf of its
// caller.
func (request *Request) fromPeer() bool {
	return request.Report != nil
}

// AnswerWithin returns the time after Received within which an answer has to be
// sent to arrive before the route's latency target, 0 when the route has no
// target.
func (request *Request) AnswerWithin() time.Duration {
	target := request.Route.LatencyTarget
	switch {
	case target == 0:
		return 0
	case request.fromPeer():
		return target - peerReportMargin
	case request.NetworkDelay == 0:
		return target - defaultNetworkDelay
	}
	return target - min(request.NetworkDelay+processingMargin, target/2)
}

// Due returns when an answer has to be sent to arrive before the route's latency
// target, the zero time when the route has no target.
func (request *Request) Due() time.Time {
	if within := request.AnswerWithin(); within > 0 {
		return request.Received.Add(within)
	}
	return time.Time{}
}

// Bundle is a group of a request's shards that one peer queries on this host's
// behalf. With a peer in another failure domain, one message each way crosses
// between the domains, instead of one for each shard.
type Bundle struct {
	Peer   string
	Shards []string
	// Domain is the peer's failure domain.
	Domain string
	// Remote is set when the peer is in another failure domain.
	Remote bool
}

// BundleReply is one of a peer's replies to a bundle. It holds the parts that
// were answered since the peer's previous reply.
type BundleReply struct {
	Receipts []string
	Records  []byte
	// Failure is nil for a success, which may lack some shards.
	Failure *verdict.Failure
}

// Attempt is a request that is sent to one replica.
type Attempt struct {
	Request *Request
	Replica roster.Replica
	// Template holds the content of the request for all its attempts; nil if this
	// is the only one.
	Template *exchange.Template
	// Extra is set for a hedge or a retry.
	Extra bool
	// Admits reports whether the limit of the replica, if it has one, still admits the
	// attempt. It is called right before the attempt is sent; nil if it always does.
	Admits func() bool
}

// Reply is the outcome of an attempt.
type Reply struct {
	// Response is the replica's complete response, nil when none was received.
	Response *exchange.Response
	// Receipt proves to the caller which replica answered.
	Receipt string
	// Failure is nil for a success.
	Failure *verdict.Failure
	Load    estimate.Load
	// Leaving is set when the replica said that it leaves.
	Leaving bool
	// Pause is for how long the replica wants no requests.
	Pause time.Duration
	// RetryAfter is the delay after which a request that the replica's limit did not
	// admit may be sent again, 0 for any other.
	RetryAfter time.Duration
	// NamedRate is the number of requests a second that the replica says it takes from
	// all hosts together, 0 if it names none.
	NamedRate float64
}

// Answer is the answer to a request.
type Answer struct {
	// ReplicaResponse is the response of a single replica, a success or a failure,
	// which is passed on unchanged. It is nil for gathered requests.
	ReplicaResponse *exchange.Response
	// Receipts, Missing and Records are set for a successful gathered request.
	// Missing counts the shards without an answer.
	Receipts []string
	Missing  int
	Records  []byte
	// Failure is set when there is no answer of either form.
	Failure *verdict.Failure
	// RetryAfter is the delay after which the caller may send the request
	// again, if it has not run.
	RetryAfter time.Duration
}

// Dispatcher answers requests. Set the fields before use.
type Dispatcher struct {
	// Send sends an attempt and returns its outcome. It always returns a reply, at
	// the latest shortly after ctx has ended.
	Send func(ctx context.Context, attempt *Attempt) *Reply
	// Replicas returns the replicas of a service that accept requests.
	Replicas func(service string) []roster.Replica
	// ReportMisplaced is called with the ID of a replica that was not found at its
	// address.
	ReportMisplaced func(id string)
	// ReportLeaving is called with a replica that said in a reply that it leaves; it
	// may be nil.
	ReportLeaving func(replica roster.Replica)
	// ReportNamedRate is called with the rate that a replica named in a reply, 0 if it
	// named none, and when the attempt was started; it may be nil.
	ReportNamedRate func(replica roster.Replica, rate float64, started time.Time)
	// Regions maps failure domains to their regions.
	Regions map[string]string
	// Plan returns the bundles of a request's shards that are requested from peers. The other
	// shards are requested directly from their replicas. Only the peers and replicas
	// of allowed failure domains may get the request. It may be nil.
	Plan func(request *Request, allows func(domain string) bool) []Bundle
	// Preview returns what Plan would return now, without a change of state; nil if Plan
	// is.
	Preview func(request *Request, allows func(domain string) bool) []Bundle
	// Listed returns all listed replicas of services, also those that accept no
	// requests. It may be nil unless Explain is called.
	Listed func(services []string) map[string][]roster.Listed
	// Delegate requests a bundle from a peer. It calls report with each reply
	// before the last one, and returns the last. It always returns, at the latest
	// shortly after ctx has ended. The cause of ctx is ErrSilent when the peer is
	// given up as silent.
	Delegate func(ctx context.Context, request *Request, bundle Bundle, report func(*BundleReply)) *BundleReply
	// HeardFrom reports whether a peer has sent anything since a time. It may be
	// nil, when that is not known.
	HeardFrom func(peer string, since time.Time) bool
	// Stop is the stop of this host; nil if it never stops.
	Stop *shutdown.Stop
	// Hosts returns the number of hosts that share the budget of extra requests.
	Hosts func() int
	// Picker chooses among replicas, by their IDs.
	Picker *replica.Picker
	// Suspects records which replicas reply late; it may be nil.
	Suspects *suspect.Tracker
	// Limits limits the requests to single replicas; nil if there are no limits.
	Limits *ReplicaLimits
	// Random returns a number in [0, 1).
	Random func() float64
	// Event logs a decision.
	Event func(event string, fields logbook.Fields)
	// Domain is this host's failure domain.
	Domain string
	// Reach records whether other failure domains reply, and reports whether this
	// host is isolated from them; it may be nil.
	Reach *reach.Monitor
	// Observe updates the metrics with each request; it may be nil.
	Observe func(request metric.Request)

	budgets retry.Budgets
	// hedgeDelays holds a *retry.HedgeDelay for each route's name.
	hedgeDelays sync.Map
	// throttles holds a *rank.Throttle for each service.
	throttles sync.Map
}

// SetRetryBudget sets the budget of extra requests, which are retries and
// hedges: all hosts together may send a service at most ratio times its
// requests, plus slack. It may be called again to change the budget.
func (dispatcher *Dispatcher) SetRetryBudget(ratio, slack float64) {
	dispatcher.budgets.SetLimits(ratio, slack, dispatcher.Random)
}

const (
	// hedgeQuantile is the percentile of attempt durations after which an
	// attempt is hedged. The share of attempts above it is well under 20%, the
	// usual setting of the retry budget's ratio.
	hedgeQuantile = 92
	minHedgeDelay = 2 * time.Millisecond
	// singleReplicaSamples is the number of attempts per estimate of the hedge
	// delay for a route that sends each request to one replica.
	singleReplicaSamples = 60
)

// budget returns the budget of extra requests of a service.
func (dispatcher *Dispatcher) budget(service string) *retry.Budget {
	return dispatcher.budgets.ForService(service, dispatcher.Hosts())
}

// throttle returns the throttle for requests to a service. All routes to the
// service share it. Gathered requests use the throttle of their first shard.
func (dispatcher *Dispatcher) throttle(service string) *rank.Throttle {
	if throttle, ok := dispatcher.throttles.Load(service); ok {
		return throttle.(*rank.Throttle)
	}
	throttle, _ := dispatcher.throttles.LoadOrStore(service, &rank.Throttle{Now: time.Now, Random: dispatcher.Random})
	return throttle.(*rank.Throttle)
}

// hedgeDelay returns the estimator of a route's hedge delay, which learns from
// the durations of the route's attempts.
func (dispatcher *Dispatcher) hedgeDelay(route *route.Route) *retry.HedgeDelay {
	if hedgeDelay, ok := dispatcher.hedgeDelays.Load(route.Name); ok {
		return hedgeDelay.(*retry.HedgeDelay)
	}
	created := &retry.HedgeDelay{Quantile: hedgeQuantile, Min: minHedgeDelay}
	if !route.Gathers() {
		created.Samples = singleReplicaSamples
	}
	hedgeDelay, _ := dispatcher.hedgeDelays.LoadOrStore(route.Name, created)
	return hedgeDelay.(*retry.HedgeDelay)
}

// hedgeAfter returns the time after which an attempt of a route is hedged.
// Until enough attempts were measured, it is a third of the route's target or
// timeout.
func (dispatcher *Dispatcher) hedgeAfter(route *route.Route) time.Duration {
	if delay, known := dispatcher.hedgeDelay(route).Current(); known {
		return delay
	}
	const defaultDivisor = 3
	if route.LatencyTarget > 0 {
		return route.LatencyTarget / defaultDivisor
	}
	return route.Timeout / defaultDivisor
}

// isolated reports whether this host can't answer a gathered request because no
// other failure domain can be reached and too few of the shards have a replica
// in this host's failure domain.
func (run *run) isolated() bool {
	dispatcher, route := run.dispatcher, run.request.Route
	if dispatcher.Reach == nil || !route.Gathers() || !dispatcher.Reach.Isolated() {
		return false
	}
	localShards := 0
	for _, shard := range route.Shards {
		if slices.ContainsFunc(dispatcher.Replicas(shard), func(replica roster.Replica) bool {
			return replica.FailureDomain == dispatcher.Domain && run.allows(replica.FailureDomain)
		}) {
			localShards++
		}
	}
	return localShards < route.MinShards()
}

// servable reports whether enough parts of a request have a replica that accepts it.
func (run *run) servable() bool {
	missing := 0
	for _, part := range run.parts {
		if !run.hasReplica(part.service) {
			missing++
		}
	}
	return len(run.parts)-missing >= run.request.Route.MinShards()
}

// trackTarget reports to the throttle whether a request was answered in time. A
// late request is reported as soon as its target has passed, since it may run
// for much longer. done has to be called when the request has been answered.
func (dispatcher *Dispatcher) trackTarget(throttle *rank.Throttle, run *run) (done func()) {
	route := run.request.Route
	if route.LatencyTarget == 0 {
		return func() { throttle.RecordResult(run.request.Rank(), run.inTime) }
	}
	targetTimer := time.AfterFunc(time.Until(run.request.Received.Add(route.LatencyTarget)), func() { throttle.RecordResult(run.request.Rank(), false) })
	return func() {
		if targetTimer.Stop() {
			throttle.RecordResult(run.request.Rank(), run.inTime)
		}
	}
}

// Serve answers one request. It always returns an answer. When ctx ends, which
// means that the caller has left, the answer is a failure.
func (dispatcher *Dispatcher) Serve(ctx context.Context, request *Request) *Answer {
	run := newRun(dispatcher, request)
	if refusal := run.refuseUnlessServable(); refusal != nil {
		return refusal
	}
	throttle := dispatcher.throttle(run.parts[0].service)
	if request.Workspace != nil {
		throttle.RecordArrival(request.Workspace.Name)
	}
	// The peer has already admitted a request that it sends here.
	if !request.fromPeer() {
		if admitted, refusalProbability := throttle.Admit(request.Rank(), request.Workspace.NameOrEmpty()); !admitted {
			return run.refuse(refusalProbability)
		}
		defer dispatcher.trackTarget(throttle, run)()
	}
	if request.Route.Gathers() && !request.fromPeer() && dispatcher.Plan != nil {
		run.startBundles()
	}
	run.startParts()
	callerLeft := run.wait(ctx)
	if !callerLeft && request.Route.Gathers() {
		run.checkRemoteReplies()
	}
	answer := run.answer(callerLeft)
	run.inTime = callerLeft || answer.Failure == nil && run.beforeTarget(time.Now())
	run.close(callerLeft)
	run.log(answer, callerLeft)
	return answer
}
