package dispatch

import (
	"slices"

	"fescuehall/roster"
)

// noRegion is a home that allows no failure domain.
const noRegion = ""

// hasHomes reports whether only some regions may get the request.
func (request *Request) hasHomes() bool {
	return len(request.Route.Homes) > 0 || request.Workspace != nil && len(request.Workspace.Homes) > 0
}

// Allows reports whether the replicas and hosts of a failure domain may get the
// request: its region has to be a home of the route and of the workspace, as far as
// these have homes. regions maps failure domains to regions.
func (request *Request) Allows(domain string, regions map[string]string) bool {
	if !request.hasHomes() {
		return true
	}
	region := regions[domain]
	return includes(request.Route.Homes, region) && (request.Workspace == nil || includes(request.Workspace.Homes, region))
}

func includes(homes []string, region string) bool {
	return len(homes) == 0 || region != noRegion && slices.Contains(homes, region)
}

// Homes returns the regions that may get the request, nil for all.
func (request *Request) Homes() []string {
	switch {
	case request.Workspace == nil || len(request.Workspace.Homes) == 0:
		return request.Route.Homes
	case len(request.Route.Homes) == 0:
		return request.Workspace.Homes
	}
	var both []string
	for _, home := range request.Route.Homes {
		if slices.Contains(request.Workspace.Homes, home) {
			both = append(both, home)
		}
	}
	if both == nil {
		// An empty list would allow all.
		return []string{noRegion}
	}
	return both
}

// allows reports whether a failure domain may get the request.
func (run *run) allows(domain string) bool {
	return run.request.Allows(domain, run.dispatcher.Regions)
}

// replicas returns the replicas of a service that accept requests and may get this
// one.
func (run *run) replicas(service string) []roster.Replica {
	all := run.dispatcher.Replicas(service)
	if !run.request.hasHomes() {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(replica roster.Replica) bool { return !run.allows(replica.FailureDomain) })
}

// hasReplica reports whether replicas would return any.
func (run *run) hasReplica(service string) bool {
	return slices.ContainsFunc(run.dispatcher.Replicas(service), func(replica roster.Replica) bool { return run.allows(replica.FailureDomain) })
}
