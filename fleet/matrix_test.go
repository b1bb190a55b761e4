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

// fault is something that goes wrong while requests are served.
type fault struct {
	name string
	// inject is called once traffic has begun.
	inject func(t *testing.T, running *fleet.Fleet, checker *checker)
}

// onServers returns a fault of the first replica of each shard.
func onServers(name string, set standin.ServerFault) fault {
	return fault{name: name, inject: func(_ *testing.T, running *fleet.Fleet, _ *checker) {
		for place, server := range replicas(running) {
			if place%2 == 0 {
				server.SetFault(set)
			}
		}
	}}
}

func onStore(name string, set standin.StoreFault) fault {
	return fault{name: name, inject: func(_ *testing.T, running *fleet.Fleet, _ *checker) { running.Store.SetFault(set) }}
}

// faults is the column of docs/PROOF.md for what one process can show.
var faults = []fault{
	{name: "none", inject: func(*testing.T, *fleet.Fleet, *checker) {}},
	onServers("server sheds half", standin.ServerFault{ShedShare: 0.5}),
	onServers("server cuts after reading", standin.ServerFault{CutAt: standin.CutRead, CutShare: 0.5}),
	onServers("server cuts after running", standin.ServerFault{CutAt: standin.CutRun, CutShare: 0.5}),
	onServers("server cuts half-way", standin.ServerFault{CutAt: standin.CutHalf, CutShare: 0.5}),
	onServers("server crosses answers", standin.ServerFault{Cross: true}),
	onServers("server doubles answers", standin.ServerFault{Double: true}),
	onServers("server is late", standin.ServerFault{LateMillis: 450}),
	onServers("server straggles", standin.ServerFault{SlowFactor: 30}),
	onServers("server freezes", standin.ServerFault{Freeze: true}),
	onServers("server drains", standin.ServerFault{Drain: true}),
	onServers("server lost the snapshot", standin.ServerFault{Snapshots: []string{"S0"}}),
	onStore("store is down", standin.StoreFault{Outage: true}),
	onStore("store is slow", standin.StoreFault{DelayMillis: 100}),
	onStore("store loses replies", standin.StoreFault{LoseReplies: 10}),
	onStore("store answers older values", standin.StoreFault{Stale: true}),
	onStore("watch is dead", standin.StoreFault{WatchDead: true}),
	{name: "host list is empty", inject: func(_ *testing.T, running *fleet.Fleet, _ *checker) { running.HostList.Set(nil) }},
	{name: "host list is down", inject: func(_ *testing.T, running *fleet.Fleet, _ *checker) {
		running.HostList.SetFault(standin.HostListFault{Outage: true})
	}},
	{name: "host list is wrong", inject: func(_ *testing.T, running *fleet.Fleet, _ *checker) {
		running.HostList.Set([]store.Host{{Name: "host-9", Role: store.RoleEntry, Address: "127.0.0.1:9", FailureDomain: "Kochi", State: store.StateLive}})
	}},
	{name: "host stops by plan", inject: func(_ *testing.T, running *fleet.Fleet, _ *checker) { running.Hosts[3].Stop() }},
	{name: "host vanishes", inject: func(_ *testing.T, running *fleet.Fleet, _ *checker) { running.Hosts[3].Vanish() }},
	{name: "domains are cut both ways", inject: func(_ *testing.T, running *fleet.Fleet, _ *checker) {
		running.Network.Cut("Kochi", "Kollam")
		running.Network.Cut("Kollam", "Kochi")
	}},
	{name: "domains are cut one way", inject: func(_ *testing.T, running *fleet.Fleet, _ *checker) { running.Network.Cut("Kochi", "Kollam") }},
	{name: "domain is cut from the platform", inject: func(_ *testing.T, running *fleet.Fleet, _ *checker) {
		running.Network.Cut("Kochi", fleet.Platform)
		running.Network.Cut(fleet.Platform, "Kochi")
	}},
	{name: "snapshot rolls and shards are repartitioned", inject: rollUnderLoad},
}

// rollUnderLoad makes servers load a snapshot with 4 shards one by one, in the
// middle of which it becomes the newest, then drops the old one everywhere.
func rollUnderLoad(t *testing.T, running *fleet.Fleet, checker *checker) {
	checker.mu.Lock()
	checker.shards["S2"] = 4
	checker.mu.Unlock()
	servers := replicas(running)
	for place, server := range servers {
		server.SetFault(standin.ServerFault{Snapshots: []string{"S1", "S2"}})
		if place == len(servers)/2 {
			roll(t, running, 1, "S2", 4)
		}
	}
	for _, server := range servers {
		server.SetFault(standin.ServerFault{Snapshots: []string{"S2"}})
	}
}

// run sends traffic before, during and after the faults.
func run(t *testing.T, injected ...fault) {
	running := start(t)
	checker := newChecker(running)
	checker.traffic("before", 4)
	done := make(chan struct{})
	go func() {
		defer close(done)
		checker.traffic("during", 8)
	}()
	for _, fault := range injected {
		fault.inject(t, running, checker)
	}
	<-done
	checker.traffic("after", 4)
	running.Network.Heal()
	checker.assert(t, 24)
}

// Every promise about answers holds under each fault.
func TestPromisesUnderEachFault(t *testing.T) {
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			run(t, fault)
		})
	}
}

// And under pairs of faults, drawn by a fixed seed.
func TestPromisesUnderPairsOfFaults(t *testing.T) {
	const pairs = 12
	random := rand.New(rand.NewPCG(2026, 12))
	for range pairs {
		first, second := faults[1+random.IntN(len(faults)-1)], faults[1+random.IntN(len(faults)-1)]
		t.Run(fmt.Sprintf("%s and %s", first.name, second.name), func(t *testing.T) {
			t.Parallel()
			run(t, first, second)
		})
	}
}

func TestFleetIsReady(t *testing.T) {
	running := start(t)
	for _, host := range running.Hosts {
		qt.Assert(t, host.Ready(), qt.IsTrue)
	}
}
