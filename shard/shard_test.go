package shard_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/shard"
)

// hostsIn returns a host in each of the given failure domains.
func hostsIn(domains ...string) []shard.Host {
	var hosts []shard.Host
	for i, domain := range domains {
		hosts = append(hosts, shard.Host{Name: fmt.Sprint("host-", i), FailureDomain: domain})
	}
	return hosts
}

func TestFrontsAreInTheReplicasDomain(t *testing.T) {
	placement := shard.New(hostsIn("a", "b", "a", "b"))
	for replica := range 50 {
		fronts := placement.FrontingHosts(fmt.Sprint(replica), "a", 2)
		qt.Assert(t, len(fronts), qt.Equals, 2)
		qt.Assert(t, fronts[0].FailureDomain, qt.Equals, "a")
		qt.Assert(t, fronts[1].FailureDomain, qt.Equals, "a")
		qt.Assert(t, fronts[0], qt.Not(qt.Equals), fronts[1])
	}
}

// A replica whose failure domain has no host is fronted by a host of another
// one.
func TestFrontsOfADomainWithoutHosts(t *testing.T) {
	placement := shard.New(hostsIn("b", "b"))
	qt.Assert(t, len(placement.FrontingHosts("replica", "a", 1)), qt.Equals, 1)
	qt.Assert(t, len(shard.New(nil).FrontingHosts("replica", "a", 1)), qt.Equals, 0)
}

// The loss of a host moves only the replicas that it fronted, each to the
// second host of its order.
func TestLostHostMovesOnlyItsReplicas(t *testing.T) {
	all := hostsIn("a", "a", "a", "a")
	before, after := shard.New(all), shard.New(all[1:])
	moved := 0
	for replica := range 1000 {
		old := before.FrontingHosts(fmt.Sprint(replica), "a", 2)
		current := after.FrontingHosts(fmt.Sprint(replica), "a", 1)[0]
		if old[0].Name == "host-0" {
			moved++
			qt.Assert(t, current, qt.Equals, old[1])
			continue
		}
		qt.Assert(t, current, qt.Equals, old[0])
	}
	qt.Assert(t, moved > 180 && moved < 320, qt.IsTrue, qt.Commentf("%d of 1000 moved", moved))
}

func TestPlacementDoesNotDependOnHostOrder(t *testing.T) {
	all := hostsIn("a", "a", "a")
	reordered := []shard.Host{all[2], all[0], all[1]}
	qt.Assert(t, shard.New(reordered).FrontingHosts("replica", "a", 3), qt.DeepEquals, shard.New(all).FrontingHosts("replica", "a", 3))
}
