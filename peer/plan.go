package peer

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fescuehall/dispatch"
	"fescuehall/shard"
)

const (
	// minRemoteShards is the minimum number of remote shards worth a message to
	// a peer: the message takes about as many bytes as two requests to single
	// shards.
	minRemoteShards = 3
	// maxShardsPerHost is the maximum number of shards that one host gathers, unless
	// its processor is known to be fast enough for more. More of them would take the
	// processor of a small host longer than delegating them to a peer takes.
	maxShardsPerHost = 24
	// shardTime is the processor time that one shard takes on a whole core, from the
	// request to the merged answer.
	shardTime = 150 * time.Microsecond
	// gatherShare is the share of a route's latency target that gathering may take
	// of a host's processor. The rest is left to the replicas and the network.
	gatherShare = 0.2
	// gathererFactor is how many times more processor time than another host a host
	// has at least that gathers for it.
	gathererFactor = 2
	// minGathererShards is the minimum number of shards for which a second gatherer
	// is worth its messages.
	minGathererShards = 30
)

// planner plans the bundles of one request.
type planner struct {
	*Delegator
	// pick chooses one of several peers by their names.
	pick func(names []string) int
}

// Plan returns the bundles that peers are to gather. Each remote shard, which
// has no replica in this host's failure domain, goes to a domain that has one;
// a greedy choice keeps the number of domains small. Local shards are bundled
// when there are too many of them for this host: all of them for peers with several
// times its processor time if there are any, or else those that exceed its part. Peers
// and replicas of failure domains that are not allowed get none; a nil function allows
// all.
//
// The picker counts each bundle as outstanding at its peer.
func (delegator *Delegator) Plan(request *dispatch.Request, allows func(domain string) bool) []dispatch.Bundle {
	return planner{Delegator: delegator, pick: delegator.Picker.Pick}.plan(request, allows)
}

// Preview returns the bundles that Plan would return now. It changes no state.
func (delegator *Delegator) Preview(request *dispatch.Request, allows func(domain string) bool) []dispatch.Bundle {
	return planner{Delegator: delegator, pick: delegator.Picker.Preview().Pick}.plan(request, allows)
}

func (planner planner) plan(request *dispatch.Request, allows func(domain string) bool) []dispatch.Bundle {
	if allows == nil {
		allows = func(string) bool { return true }
	}
	shards, target := request.Route.Shards, request.Route.LatencyTarget
	peers := planner.availablePeers(allows)
	var gatherers []shard.Host
	if len(shards) > max(maxShardsPerHost, shardCapacity(planner.Cores, target)) {
		gatherers = largerHosts(peers[planner.Domain], planner.Cores)
	}
	remote := planner.remoteShards(shards, len(gatherers) > 0, allows)
	if len(remote) < minRemoteShards && len(shards) <= maxShardsPerHost {
		return nil
	}
	local := slices.DeleteFunc(slices.Clone(shards), func(shard string) bool { return remote[shard] != nil })
	var bundles []dispatch.Bundle
	if len(gatherers) > 0 {
		bundles = planner.spread(local, gatherers)
	} else {
		bundles = planner.splitLocal(local, peers[planner.Domain], target)
	}
	for i := range bundles {
		bundles[i].Domain = planner.Domain
	}
	delete(peers, planner.Domain)
	for len(peers) > 0 {
		domain, covered := bestDomain(remote, peers)
		if len(covered) < minRemoteShards {
			break
		}
		for _, shard := range covered {
			delete(remote, shard)
		}
		bundles = append(bundles, planner.remoteBundles(covered, domain, peers[domain])...)
		delete(peers, domain)
	}
	return bundles
}

// shardCapacity returns how many shards a host can gather within gatherShare of a
// latency target, 0 when that is not known.
func shardCapacity(cores float64, target time.Duration) int {
	return int(cores * gatherShare * float64(target) / float64(shardTime))
}

// largerHosts returns the hosts that have gathererFactor times the given number of
// cores.
func largerHosts(hosts []shard.Host, cores float64) []shard.Host {
	if cores <= 0 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(host shard.Host) bool { return host.Cores < gathererFactor*cores })
}

// smallestCores returns the cores of the host that has the fewest, 0 when those of a
// host are not known.
func smallestCores(hosts []shard.Host) float64 {
	smallest := math.Inf(1)
	for _, host := range hosts {
		smallest = min(smallest, host.Cores)
	}
	return smallest
}

// splitLocal returns bundles for peers of this host's failure domain with the
// local shards that exceed this host's part. A host that gathers for smaller ones
// takes a larger part, and gives the rest to others that do.
func (planner planner) splitLocal(local []string, peers []shard.Host, target time.Duration) []dispatch.Bundle {
	limit := maxShardsPerHost
	if smallest := smallestCores(peers); smallest > 0 && planner.Cores >= gathererFactor*smallest {
		limit = max(limit, shardCapacity(planner.Cores, target))
		if gatherers := largerHosts(peers, smallest); len(gatherers) > 0 {
			peers = gatherers
		}
	}
	if len(local) <= limit || len(peers) == 0 {
		return nil
	}
	groups := min((len(local)+limit-1)/limit, len(peers)+1)
	size := (len(local) + groups - 1) / groups
	var bundles []dispatch.Bundle
	for group := range slices.Chunk(local[size:], size) {
		bundles = append(bundles, planner.newBundle(peers, group))
	}
	return bundles
}

// remoteBundles returns bundles of remote shards for the peers of a failure domain,
// its larger hosts if it has any.
func (planner planner) remoteBundles(shards []string, domain string, peers []shard.Host) []dispatch.Bundle {
	var bundles []dispatch.Bundle
	if gatherers := largerHosts(peers, smallestCores(peers)); len(gatherers) > 0 {
		bundles = planner.spread(shards, gatherers)
	} else {
		for group := range slices.Chunk(shards, maxShardsPerHost) {
			bundles = append(bundles, planner.newBundle(peers, group))
		}
	}
	for i := range bundles {
		bundles[i].Domain, bundles[i].Remote = domain, true
	}
	return bundles
}

// spread returns bundles of about equal size, each for another peer, and no more than
// minGathererShards call for.
func (planner planner) spread(shards []string, peers []shard.Host) []dispatch.Bundle {
	if len(shards) == 0 {
		return nil
	}
	peers = slices.Clone(peers)
	groups := min((len(shards)+minGathererShards-1)/minGathererShards, len(peers))
	var bundles []dispatch.Bundle
	for group := range slices.Chunk(shards, (len(shards)+groups-1)/groups) {
		bundle := planner.newBundle(peers, group)
		bundles = append(bundles, bundle)
		peers = slices.DeleteFunc(peers, func(peer shard.Host) bool { return peer.Name == bundle.Peer })
	}
	return bundles
}

// newBundle assigns shards to one of several peers.
func (planner planner) newBundle(peers []shard.Host, shards []string) dispatch.Bundle {
	names := make([]string, len(peers))
	for i, peer := range peers {
		names[i] = peer.Name
	}
	return dispatch.Bundle{Peer: names[planner.pick(names)], Shards: shards}
}

// remoteShards returns the shards without a replica in this host's failure
// domain, with the domains of their replicas. Replicas that are ejected don't count,
// but for those of this domain if withEjected is set.
func (delegator *Delegator) remoteShards(shards []string, withEjected bool, allows func(domain string) bool) map[string][]string {
	remote := make(map[string][]string)
	for _, shard := range shards {
		local := false
		var domains []string
		for _, replica := range delegator.Replicas(shard) {
			isLocal := replica.FailureDomain == delegator.Domain
			if !allows(replica.FailureDomain) || !(isLocal && withEjected) && delegator.Ejected(replica.ID) {
				continue
			}
			local = local || isLocal
			domains = append(domains, replica.FailureDomain)
		}
		if !local && len(domains) > 0 {
			remote[shard] = domains
		}
	}
	return remote
}

// availablePeers returns the peers of allowed failure domains that are not ejected, by
// failure domain.
func (delegator *Delegator) availablePeers(allows func(domain string) bool) map[string][]shard.Host {
	available := make(map[string][]shard.Host)
	for _, peer := range delegator.Peers() {
		if peer.Name != delegator.Name && allows(peer.FailureDomain) && !delegator.Picker.Status(peer.Name).Ejected {
			available[peer.FailureDomain] = append(available[peer.FailureDomain], peer)
		}
	}
	return available
}

// bestDomain returns the failure domain that has replicas of the most remote
// shards, and these shards. It chooses at random among equal ones.
func bestDomain(remote map[string][]string, peers map[string][]shard.Host) (string, []string) {
	var best string
	var covered []string
	// Maps are iterated in random order.
	for domain := range peers {
		var shards []string
		for shard, domains := range remote {
			if slices.Contains(domains, domain) {
				shards = append(shards, shard)
			}
		}
		if len(shards) > len(covered) || len(shards) == len(covered) && rand.IntN(2) == 0 {
			best, covered = domain, shards
		}
	}
	return best, covered
}
