// Package route finds the route of a request and holds the table of routes in
// force.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Weighted is one service of a split route.
type Weighted struct {
	Service string
	// Weight is the share of requests relative to the sum of all weights.
	Weight float64
}

// Route says which service answers a request and within what bounds.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time a request is kept waiting, 0 for no bound.
	Timeout time.Duration
	// Target is the time within which an answer is of full use, 0 when unknown.
	Target time.Duration
	// MaxTries bounds the replicas that may run one request, for each shard.
	MaxTries int
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Services share the requests by weight. It has one entry unless the route
	// is split, and none when the route gathers.
	Services []Weighted
	// Shards are the services that each answer a part of a gathered request.
	Shards []string
	// TopK is the number of records in a gathered answer.
	TopK int
	// LeastShare is the least share of shards, 0 to 1, of a gathered success.
	LeastShare float64
}

// Gathers reports whether an answer is merged from several shards.
func (route *Route) Gathers() bool {
	return len(route.Shards) > 0
}

// LeastParts returns the number of shards that a success needs.
func (route *Route) LeastParts() int {
	least := 1
	for float64(least) < route.LeastShare*float64(len(route.Shards)) {
		least++
	}
	return least
}

// Pick returns the service for a request; fraction is drawn from [0, 1).
func (route *Route) Pick(fraction float64) string {
	total := 0.0
	for _, weighted := range route.Services {
		total += weighted.Weight
	}
	left := fraction * total
	for _, weighted := range route.Services {
		left -= weighted.Weight
		if left < 0 {
			return weighted.Service
		}
	}
	return route.Services[len(route.Services)-1].Service
}

// Service is what the configuration says of a service.
type Service struct {
	Name string
	// Connections is what one replica bears from all hosts together, 0 when
	// unknown.
	Connections int
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of all routes. It is immutable.
type Table struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits

	byHost map[string][]*Route
	count  int
}

// NewTable returns a table of the given routes.
func NewTable(version uint64, routes []Route, services []Service, limits Limits) *Table {
	table := &Table{Version: version, Services: make(map[string]Service, len(services)), Limits: limits, byHost: make(map[string][]*Route), count: len(routes)}
	for place := range routes {
		route := &routes[place]
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

// Find returns the route with the longest prefix of path on a host, or nil.
// The host may carry a port.
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
