// Package shard decides which entry host fronts a replica, so that the limits
// of a backend server are kept in one place.
package shard

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Host is an entry host as placement sees it.
type Host struct {
	Name          string
	Address       string
	FailureDomain string
	// Cores is the processor cores that the host may use, 0 when not known.
	Cores float64
}

type weighted struct {
	host Host
	hash uint64
}

// Placement maps replicas to entry hosts by rendezvous hashing over the hosts
// of the replica's failure domain. It is immutable.
type Placement struct {
	domains map[string][]weighted
	all     []weighted
}

// New returns the placement over the given live hosts.
func New(hosts []Host) *Placement {
	placement := &Placement{domains: make(map[string][]weighted)}
	for _, host := range hosts {
		entry := weighted{host: host, hash: xxhash.Sum64String(host.Name)}
		placement.all = append(placement.all, entry)
		placement.domains[host.FailureDomain] = append(placement.domains[host.FailureDomain], entry)
	}
	return placement
}

// Fronts returns up to count hosts for a replica, the one that fronts it
// first. Hosts of other domains are returned only when the replica's own has
// none.
func (placement *Placement) Fronts(replica, failureDomain string, count int) []Host {
	candidates := placement.domains[failureDomain]
	if len(candidates) == 0 {
		candidates = placement.all
	}
	return best(xxhash.Sum64String(replica), candidates, count)
}

// Chosen returns up to count hosts of a failure domain for a named duty.
func (placement *Placement) Chosen(duty, failureDomain string, count int) []Host {
	return best(xxhash.Sum64String(duty), placement.domains[failureDomain], count)
}

// best keeps the count highest weights by insertion; count is small.
func best(key uint64, candidates []weighted, count int) []Host {
	type scored struct {
		score uint64
		host  *Host
	}
	top := make([]scored, 0, count+1)
	for place := range candidates {
		score := mix(key ^ candidates[place].hash)
		if len(top) == count && score <= top[count-1].score {
			continue
		}
		at, _ := slices.BinarySearchFunc(top, score, func(kept scored, wanted uint64) int {
			if kept.score > wanted {
				return -1
			}
			return 1
		})
		top = slices.Insert(top, at, scored{score: score, host: &candidates[place].host})
		top = top[:min(len(top), count)]
	}
	hosts := make([]Host, len(top))
	for place, kept := range top {
		hosts[place] = *kept.host
	}
	return hosts
}

// mix is the finalizer of SplitMix64.
func mix(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}

// Hosts returns all hosts in order of name.
func (placement *Placement) Hosts() []Host {
	hosts := make([]Host, len(placement.all))
	for place, entry := range placement.all {
		hosts[place] = entry.host
	}
	slices.SortFunc(hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}

// Of returns the shard for a key among a number of shards.
func Of(key string, shards int) int {
	return int(xxhash.Sum64String(key) % uint64(shards))
}
