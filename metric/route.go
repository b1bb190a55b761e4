package metric

import (
	"expvar"
	"strconv"
	"sync"
	"time"
)

// Routes counts requests by route and records latencies by rank and outcome,
// for a host that dispatches requests by routes.
type Routes struct {
	requests *expvar.Map
	outcomes *expvar.Map
	// shardsLeftOut counts the shards that answers do not cover.
	shardsLeftOut *expvar.Map
	hedges        *expvar.Map
	retries       *expvar.Map
	latencies     Latencies
	workspaces    Workspaces
}

// Request holds the figures of one finished request.
type Request struct {
	Route string
	// Workspace is the workspace that sent the request, empty if it has none.
	Workspace string
	Rank      int
	// Outcome names the request's result, such as answered, failed or refused.
	Outcome string
	// ShardsLeftOut is the number of shards that the answer does not cover.
	ShardsLeftOut int
	Hedges        int
	Retries       int
	// Latency is the duration of the request.
	Latency time.Duration
}

var publishRoutesOnce sync.Once

// NewRoutes returns the metrics of a host. Only the first ones of a process are
// published, since expvar accepts a name only once.
func NewRoutes() *Routes {
	routes := &Routes{requests: new(expvar.Map), outcomes: new(expvar.Map), shardsLeftOut: new(expvar.Map), hedges: new(expvar.Map), retries: new(expvar.Map)}
	publishRoutesOnce.Do(func() {
		expvar.Publish("RouteRequests", routes.requests)
		expvar.Publish("RouteOutcomes", routes.outcomes)
		expvar.Publish("RouteShardsLeftOut", routes.shardsLeftOut)
		expvar.Publish("RouteHedges", routes.hedges)
		expvar.Publish("RouteRetries", routes.retries)
		expvar.Publish("WorkspaceOutcomes", expvar.Func(routes.workspaces.Outcomes))
		expvar.Publish("RankLatencyMillis", expvar.Func(routes.latencies.Quantiles))
	})
	return routes
}

// Observe records one finished request.
func (routes *Routes) Observe(request Request) {
	routes.requests.Add(request.Route, 1)
	if request.Workspace != "" {
		routes.workspaces.Observe(request.Workspace, request.Outcome)
	}
	routes.outcomes.Add(request.Route+"/"+request.Outcome, 1)
	routes.shardsLeftOut.Add(request.Route, int64(request.ShardsLeftOut))
	routes.hedges.Add(request.Route, int64(request.Hedges))
	routes.retries.Add(request.Route, int64(request.Retries))
	routes.latencies.Observe("rank "+rankLabel(request)+"/"+request.Outcome, request.Latency)
}

// maxRankLabel bounds the ranks of workspaces whose latencies are recorded apart, since
// each workspace may have a rank of its own.
const maxRankLabel = 64

func rankLabel(request Request) string {
	if request.Workspace != "" && request.Rank >= maxRankLabel {
		return strconv.Itoa(maxRankLabel) + " and over"
	}
	return strconv.Itoa(request.Rank)
}
