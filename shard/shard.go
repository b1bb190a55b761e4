// Package shard selects the entry host that fronts a replica, that is, the one
// host that sends requests to it. All requests to a backend server pass that
// host, so that its limits are enforced in one place.
package shard

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Host is an entry host that replicas can be placed on.
type Host struct {
	Name          string
	Address       string
	FailureDomain string
	// Cores is the number of processor cores that the host may use, 0 when
	// unknown.
	Cores float64
	// KeepsAllowances is set when the host answers asks for tokens of limits that
	// all hosts share. Hosts of earlier releases don't.
	KeepsAllowances bool
}

// hashedHost is a host with the hash of its name.
type hashedHost struct {
	host Host
	hash uint64
}

// Placement maps replicas to entry hosts by rendezvous hashing over the hosts
// of the replica's failure domain. It is immutable.
type Placement struct {
	domains map[string][]hashedHost
	all     []hashedHost
}

// New returns the placement over the given live hosts.
func New(hosts []Host) *Placement {
	placement := &Placement{domains: make(map[string][]hashedHost)}
	for _, host := range hosts {
		hashedHost := hashedHost{host: host, hash: xxhash.Sum64String(host.Name)}
		placement.all = append(placement.all, hashedHost)
		placement.domains[host.FailureDomain] = append(placement.domains[host.FailureDomain], hashedHost)
	}
	return placement
}

// FrontingHosts returns up to count hosts for a replica: first the one that
// fronts it, then those that take over in turn when hosts fail. They are hosts
// of the replica's failure domain, or of any domain when that one has none.
func (placement *Placement) FrontingHosts(replica, failureDomain string, count int) []Host {
	candidates := placement.domains[failureDomain]
	if len(candidates) == 0 {
		candidates = placement.all
	}
	return highestScores(xxhash.Sum64String(replica), candidates, count)
}

// HostsForRole returns up to count hosts of a failure domain for a role, the
// preferred one first. Roles are distinguished by their name.
func (placement *Placement) HostsForRole(role, failureDomain string, count int) []Host {
	return highestScores(xxhash.Sum64String(role), placement.domains[failureDomain], count)
}

// highestScores returns up to count candidates with the highest rendezvous
// score for a key, in descending order. It inserts into a sorted list, which is
// fast because count is small.
func highestScores(key uint64, candidates []hashedHost, count int) []Host {
	type scoredHost struct {
		score uint64
		host  *Host
	}
	top := make([]scoredHost, 0, count+1)
	for i := range candidates {
		score := mix(key ^ candidates[i].hash)
		if len(top) == count && score <= top[count-1].score {
			continue
		}
		index, _ := slices.BinarySearchFunc(top, score, func(other scoredHost, score uint64) int {
			if other.score > score {
				return -1
			}
			return 1
		})
		top = slices.Insert(top, index, scoredHost{score: score, host: &candidates[i].host})
		top = top[:min(len(top), count)]
	}
	hosts := make([]Host, len(top))
	for i, scoredHost := range top {
		hosts[i] = *scoredHost.host
	}
	return hosts
}

// mix is the finalizer of SplitMix64. It spreads the bits of a value evenly.
func mix(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}

// Hosts returns all hosts in order of name.
func (placement *Placement) Hosts() []Host {
	hosts := make([]Host, len(placement.all))
	for i, hashedHost := range placement.all {
		hosts[i] = hashedHost.host
	}
	slices.SortFunc(hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}

// Of returns the shard that a key belongs to, among a number of shards.
func Of(key string, shards int) int {
	return int(xxhash.Sum64String(key) % uint64(shards))
}
