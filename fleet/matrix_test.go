package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/fleet"
	"fescuehall/standin"
	"fescuehall/store"
)

// fault is a failure that is injected while requests are served.
type fault struct {
	name string
	// inject is called while requests are being sent.
	inject func(t *testing.T, testFleet *fleet.Fleet, checker *checker)
}

// withServerFault returns a fault of the first replica of each shard.
func withServerFault(name string, serverFault standin.ServerFault) fault {
	return fault{name: name, inject: func(_ *testing.T, testFleet *fleet.Fleet, _ *checker) {
		for index, server := range replicas(testFleet) {
			if index%2 == 0 {
				server.SetFault(serverFault)
			}
		}
	}}
}

func withStoreFault(name string, storeFault standin.StoreFault) fault {
	return fault{name: name, inject: func(_ *testing.T, testFleet *fleet.Fleet, _ *checker) { testFleet.Store.SetFault(storeFault) }}
}

// faults are the faults of docs/PROOF.md that can be injected within one
// process.
var faults = []fault{
	{name: "none", inject: func(*testing.T, *fleet.Fleet, *checker) {}},
	withServerFault("server sheds half", standin.ServerFault{ShedShare: 0.5}),
	withServerFault("server cuts after reading", standin.ServerFault{CutAt: standin.CutRead, CutShare: 0.5}),
	withServerFault("server cuts after running", standin.ServerFault{CutAt: standin.CutRun, CutShare: 0.5}),
	withServerFault("server cuts half-way", standin.ServerFault{CutAt: standin.CutHalf, CutShare: 0.5}),
	withServerFault("server crosses answers", standin.ServerFault{Cross: true}),
	withServerFault("server doubles answers", standin.ServerFault{Double: true}),
	withServerFault("server is late", standin.ServerFault{LateMillis: 450}),
	withServerFault("server straggles", standin.ServerFault{SlowFactor: 30}),
	withServerFault("server freezes", standin.ServerFault{Freeze: true}),
	withServerFault("server drains", standin.ServerFault{Drain: true}),
	withServerFault("server lost the snapshot", standin.ServerFault{Snapshots: []string{"S0"}}),
	withStoreFault("store is down", standin.StoreFault{Outage: true}),
	withStoreFault("store is slow", standin.StoreFault{DelayMillis: 100}),
	withStoreFault("store loses replies", standin.StoreFault{LoseReplies: 10}),
	withStoreFault("store answers older values", standin.StoreFault{Stale: true}),
	withStoreFault("watch is dead", standin.StoreFault{WatchDead: true}),
	{name: "host list is empty", inject: func(_ *testing.T, testFleet *fleet.Fleet, _ *checker) { testFleet.HostList.Set(nil) }},
	{name: "host list is down", inject: func(_ *testing.T, testFleet *fleet.Fleet, _ *checker) {
		testFleet.HostList.SetFault(standin.HostListFault{Outage: true})
	}},
	{name: "host list is wrong", inject: func(_ *testing.T, testFleet *fleet.Fleet, _ *checker) {
		testFleet.HostList.Set([]store.Host{{Name: "host-9", Role: store.RoleEntry, Address: "127.0.0.1:9", FailureDomain: "Kochi", State: store.StateLive}})
	}},
	{name: "host stops gracefully", inject: func(_ *testing.T, testFleet *fleet.Fleet, _ *checker) { testFleet.Hosts[3].Stop() }},
	{name: "host vanishes", inject: func(_ *testing.T, testFleet *fleet.Fleet, _ *checker) { testFleet.Hosts[3].Crash() }},
	{name: "domains are cut both ways", inject: func(_ *testing.T, testFleet *fleet.Fleet, _ *checker) {
		testFleet.Network.Partition("Kochi", "Kollam")
		testFleet.Network.Partition("Kollam", "Kochi")
	}},
	{name: "domains are cut one way", inject: func(_ *testing.T, testFleet *fleet.Fleet, _ *checker) { testFleet.Network.Partition("Kochi", "Kollam") }},
	{name: "domain is cut from the platform", inject: func(_ *testing.T, testFleet *fleet.Fleet, _ *checker) {
		testFleet.Network.Partition("Kochi", fleet.Platform)
		testFleet.Network.Partition(fleet.Platform, "Kochi")
	}},
	{name: "snapshot rolls and shards are repartitioned", inject: repartition},
}

// repartition replaces snapshot S1 by S2, which has 4 shards. The servers load
// S2 one after the other; the configuration lists S2 first once half of them
// have it. At the end all servers drop S1.
func repartition(t *testing.T, testFleet *fleet.Fleet, checker *checker) {
	checker.mu.Lock()
	checker.shards["S2"] = 4
	checker.mu.Unlock()
	servers := replicas(testFleet)
	for index, server := range servers {
		server.SetFault(standin.ServerFault{Snapshots: []string{"S1", "S2"}})
		if index == len(servers)/2 {
			activateSnapshot(t, testFleet, 1, "S2", 4)
		}
	}
	for _, server := range servers {
		server.SetFault(standin.ServerFault{Snapshots: []string{"S2"}})
	}
}

// runWithFaults sends traffic before, during and after the injection of faults,
// and checks all answers.
func runWithFaults(t *testing.T, injected ...fault) {
	testFleet := start(t)
	checker := newChecker(testFleet)
	checker.sendTraffic("before", 4)
	done := make(chan struct{})
	go func() {
		defer close(done)
		checker.sendTraffic("during", 8)
	}()
	for _, fault := range injected {
		fault.inject(t, testFleet, checker)
	}
	<-done
	checker.sendTraffic("after", 4)
	testFleet.Network.Heal()
	checker.assert(t, 24)
}

// Checks the guarantees about answers (see checker) under each fault.
func TestPromisesUnderEachFault(t *testing.T) {
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			runWithFaults(t, fault)
		})
	}
}

// Checks the guarantees about answers under two faults at a time. The pairs are
// chosen at random with a fixed seed.
func TestPromisesUnderPairsOfFaults(t *testing.T) {
	const pairs = 12
	random := rand.New(rand.NewPCG(2026, 12))
	for range pairs {
		first, second := faults[1+random.IntN(len(faults)-1)], faults[1+random.IntN(len(faults)-1)]
		t.Run(fmt.Sprintf("%s and %s", first.name, second.name), func(t *testing.T) {
			t.Parallel()
			runWithFaults(t, first, second)
		})
	}
}

// Checks that all hosts are ready once Start has returned.
func TestFleetIsReady(t *testing.T) {
	testFleet := start(t)
	for _, host := range testFleet.Hosts {
		qt.Assert(t, host.Ready(), qt.IsTrue)
	}
}
