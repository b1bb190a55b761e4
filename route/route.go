// Package route finds the route of a request and holds the active table of
// routes.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// WeightedService is a service that gets a share of a split route's requests.
type WeightedService struct {
	Service string
	// Weight is the service's share of the requests, relative to the sum of all
	// weights.
	Weight float64
}

// Route says which services answer a request and what limits apply to it.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request may take, 0 for no limit.
	Timeout time.Duration
	// LatencyTarget is the latency up to which an answer has its full value to
	// the caller, 0 when unknown.
	LatencyTarget time.Duration
	// MaxAttempts limits how many replicas may run one request, for each shard.
	MaxAttempts int
	// Rank is the priority; 0 is the most urgent.
	Rank int
	// Services are the services that share the requests by weight: one unless
	// the route is split, and none when Shards is set.
	Services []WeightedService
	// Shards are the services that each answer one part of a request. Their
	// answers are merged.
	Shards []string
	// TopK is the number of records in a merged answer.
	TopK int
	// MinShardShare is the minimum fraction of Shards, 0 to 1, that a
	// successful merged answer covers.
	MinShardShare float64
	// Public routes are open to callers without a key.
	Public bool
	// Homes are the regions whose hosts and replicas may get the route's requests,
	// empty for all regions.
	Homes []string
}

// Gathers reports whether answers are merged from shards.
func (route *Route) Gathers() bool {
	return len(route.Shards) > 0
}

// MinShards returns the minimum number of shards that a successful answer
// covers.
func (route *Route) MinShards() int {
	minimum := 1
	for float64(minimum) < route.MinShardShare*float64(len(route.Shards)) {
		minimum++
	}
	return minimum
}

// A part of a merged answer may hold more records than the answer.
// maxPartFactor bounds how many times more, minPartLimit is the least limit.
const (
	recordBytes   = 16
	maxPartFactor = 64
	minPartLimit  = 64 << 10
)

// MaxPartBytes returns the maximum length of one shard's part of a merged
// answer, 0 for a route that does not merge answers.
func (route *Route) MaxPartBytes() int {
	if !route.Gathers() {
		return 0
	}
	return max(minPartLimit, maxPartFactor*recordBytes*route.TopK)
}

// PickService returns the service for a request by weight. The fraction is a
// random number in [0, 1).
func (route *Route) PickService(fraction float64) string {
	total := 0.0
	for _, weightedService := range route.Services {
		total += weightedService.Weight
	}
	remaining := fraction * total
	for _, weightedService := range route.Services {
		remaining -= weightedService.Weight
		if remaining < 0 {
			return weightedService.Service
		}
	}
	return route.Services[len(route.Services)-1].Service
}

// Service is the configuration of a service.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one replica allows from
	// all hosts together, 0 when unknown.
	MaxConnections int
	// HealthPath is the path of a replica's health endpoint, empty when unknown.
	HealthPath string
	// Warmup is how long a replica is cold after its start.
	Warmup time.Duration
	// WarmupRate is the number of requests a second that a cold replica tolerates
	// from all hosts together, 0 when it has no such limit.
	WarmupRate float64
}

// Limits are the limits on callers' requests and connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the routes and of what is configured with them. It is
// immutable.
type Table struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits

	byHost map[string][]*Route
	count  int
	// workspaces maps the hashes of keys to their workspaces.
	workspaces map[keyHash]*Workspace
	// workspaceNames maps names to workspaces.
	workspaceNames map[string]*Workspace
}

// NewTable returns a table of the given routes.
func NewTable(version uint64, routes []Route, services []Service, limits Limits) *Table {
	table := &Table{Version: version, Services: make(map[string]Service, len(services)), Limits: limits, byHost: make(map[string][]*Route), count: len(routes)}
	for index := range routes {
		route := &routes[index]
		host := strings.ToLower(route.Host)
		table.byHost[host] = append(table.byHost[host], route)
	}
	for _, list := range table.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, service := range services {
		table.Services[service.Name] = service
	}
	return table
}

// Len returns the number of routes.
func (table *Table) Len() int {
	return table.count
}

// Find returns the host's route with the longest prefix that matches path, or
// nil if there is none. A port in host is ignored.
func (table *Table) Find(host, path string) *Route {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, route := range table.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Homes returns the regions that routes and workspaces name as their homes, each
// once.
func (table *Table) Homes() []string {
	var homes []string
	for _, routes := range table.byHost {
		for _, route := range routes {
			homes = append(homes, route.Homes...)
		}
	}
	for _, workspace := range table.workspaceNames {
		homes = append(homes, workspace.Homes...)
	}
	slices.Sort(homes)
	return slices.Compact(homes)
}
