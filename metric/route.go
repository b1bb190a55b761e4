package metric

import (
	"expvar"
	"strconv"
	"sync"
	"time"
)

// Routes counts requests by route, for a host that dispatches by routes.
type Routes struct {
	requests  *expvar.Map
	outcomes  *expvar.Map
	leftOut   *expvar.Map
	hedges    *expvar.Map
	retries   *expvar.Map
	latencies Latencies
}

// Request is what is counted of one request.
type Request struct {
	Route string
	Rank  int
	// Outcome is a word such as answered, failed or refused.
	Outcome string
	// LeftOut is the number of shards that the answer does not cover.
	LeftOut int
	Hedges  int
	Retries int
	Took    time.Duration
}

var publishRoutesOnce sync.Once

// NewRoutes returns counters; the first in a process are published.
func NewRoutes() *Routes {
	routes := &Routes{requests: new(expvar.Map), outcomes: new(expvar.Map), leftOut: new(expvar.Map), hedges: new(expvar.Map), retries: new(expvar.Map)}
	publishRoutesOnce.Do(func() {
		expvar.Publish("RouteRequests", routes.requests)
		expvar.Publish("RouteOutcomes", routes.outcomes)
		expvar.Publish("RouteShardsLeftOut", routes.leftOut)
		expvar.Publish("RouteHedges", routes.hedges)
		expvar.Publish("RouteRetries", routes.retries)
		expvar.Publish("RankLatencyMillis", expvar.Func(routes.latencies.Quantiles))
	})
	return routes
}

// Observe counts one request.
func (routes *Routes) Observe(request Request) {
	routes.requests.Add(request.Route, 1)
	routes.outcomes.Add(request.Route+"/"+request.Outcome, 1)
	routes.leftOut.Add(request.Route, int64(request.LeftOut))
	routes.hedges.Add(request.Route, int64(request.Hedges))
	routes.retries.Add(request.Route, int64(request.Retries))
	routes.latencies.Observe("rank "+strconv.Itoa(request.Rank)+"/"+request.Outcome, request.Took)
}
