package feed

import (
	"slices"

	"fescuehall/shard"
)

const (
	// readersPerDomain is how many hosts of a failure domain read the store. A
	// second reader would double the calls; when the only one fails, the other
	// hosts read the store themselves until it is replaced.
	readersPerDomain = 1
	// maxCandidates is how many hosts a follower fetches from, one after the
	// other and the reader first. The second becomes the reader once the first
	// is off the host list.
	maxCandidates = 3
	// maxRemote is how many readers of other failure domains a follower fetches from
	// when its own has no recent lists.
	maxRemote = 2
	// readerRole is the key by which the reader is chosen among the hosts.
	readerRole = "ReadStore"
)

// ranking is what is selected from a list of hosts.
type ranking struct {
	hosts []shard.Host
	// candidates are the hosts of this failure domain to fetch from, the reader
	// first.
	candidates []shard.Host
	// remote are readers of other failure domains.
	remote []shard.Host
}

// ranking returns the hosts to fetch from. It computes them when the list of hosts
// has changed.
func (follower *Follower) ranking() *ranking {
	hosts := follower.Hosts()
	if cached := follower.cached.Load(); cached != nil && slices.Equal(cached.hosts, hosts) {
		return cached
	}
	computed := &ranking{hosts: hosts, candidates: readersOf(follower.Domain, hosts, maxCandidates)}
	for _, domain := range otherDomains(follower.Domain, hosts) {
		if len(computed.remote) < maxRemote {
			computed.remote = append(computed.remote, readersOf(domain, hosts, 1)...)
		}
	}
	follower.cached.Store(computed)
	return computed
}

// otherDomains returns the failure domains of hosts other than one. They begin with
// the one that follows it in order of name, so that domains choose different ones.
func otherDomains(domain string, hosts []shard.Host) []string {
	var domains []string
	for _, host := range hosts {
		if host.FailureDomain != domain {
			domains = append(domains, host.FailureDomain)
		}
	}
	slices.Sort(domains)
	domains = slices.Compact(domains)
	next, _ := slices.BinarySearch(domains, domain)
	return slices.Concat(domains[next:], domains[:next])
}

// readersOf returns up to count hosts of a failure domain, the reader first. The
// hosts with the most cores come before smaller ones: a small host takes longer to
// read the store than the lists may age.
func readersOf(domain string, hosts []shard.Host, count int) []shard.Host {
	maxCores := 0.0
	for _, host := range hosts {
		if host.FailureDomain == domain {
			maxCores = max(maxCores, host.Cores)
		}
	}
	largest := make([]shard.Host, 0, len(hosts))
	for _, host := range hosts {
		if host.Cores >= maxCores {
			largest = append(largest, host)
		}
	}
	readers := shard.New(largest).HostsForRole(readerRole, domain, count)
	if len(readers) == count {
		return readers
	}
	for _, host := range shard.New(hosts).HostsForRole(readerRole, domain, count) {
		if len(readers) < count && !slices.Contains(readers, host) {
			readers = append(readers, host)
		}
	}
	return readers
}
