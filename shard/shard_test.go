package shard_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/shard"
)

func hosts(domains ...string) []shard.Host {
	var all []shard.Host
	for place, domain := range domains {
		all = append(all, shard.Host{Name: fmt.Sprint("host-", place), FailureDomain: domain})
	}
	return all
}

func TestFrontsAreOfTheReplicasDomain(t *testing.T) {
	placement := shard.New(hosts("a", "b", "a", "b"))
	for replica := range 50 {
		fronts := placement.Fronts(fmt.Sprint(replica), "a", 2)
		qt.Assert(t, len(fronts), qt.Equals, 2)
		qt.Assert(t, fronts[0].FailureDomain, qt.Equals, "a")
		qt.Assert(t, fronts[1].FailureDomain, qt.Equals, "a")
		qt.Assert(t, fronts[0], qt.Not(qt.Equals), fronts[1])
	}
}

func TestFrontsOfADomainWithoutHosts(t *testing.T) {
	placement := shard.New(hosts("b", "b"))
	qt.Assert(t, len(placement.Fronts("replica", "a", 1)), qt.Equals, 1)
	qt.Assert(t, len(shard.New(nil).Fronts("replica", "a", 1)), qt.Equals, 0)
}

// The loss of a host moves only what it fronted, to the second in line.
func TestFrontsMoveOnlyWhatTheLostHostFronted(t *testing.T) {
	all := hosts("a", "a", "a", "a")
	before, after := shard.New(all), shard.New(all[1:])
	moved := 0
	for replica := range 1000 {
		was := before.Fronts(fmt.Sprint(replica), "a", 2)
		now := after.Fronts(fmt.Sprint(replica), "a", 1)[0]
		if was[0].Name == "host-0" {
			moved++
			qt.Assert(t, now, qt.Equals, was[1])
			continue
		}
		qt.Assert(t, now, qt.Equals, was[0])
	}
	qt.Assert(t, moved > 180 && moved < 320, qt.IsTrue, qt.Commentf("%d of 1000 moved", moved))
}

func TestPlacementDoesNotDependOnOrder(t *testing.T) {
	all := hosts("a", "a", "a")
	backwards := []shard.Host{all[2], all[0], all[1]}
	qt.Assert(t, shard.New(backwards).Fronts("replica", "a", 3), qt.DeepEquals, shard.New(all).Fronts("replica", "a", 3))
}
