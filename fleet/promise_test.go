package fleet_test

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/answer"
	"fescuehall/entry"
	"fescuehall/fleet"
	"fescuehall/patch"
	"fescuehall/standin"
	"fescuehall/store"
)

func status(t testing.TB, host *fleet.Host) entry.Status {
	var got entry.Status
	qt.Assert(t, host.Get("/v1/status", &got), qt.IsNil)
	return got
}

// isMarkedLeaving reports whether a host has marked a backend server as
// leaving.
func isMarkedLeaving(t testing.TB, host *fleet.Host, address string) bool {
	for _, mark := range status(t, host).Leaving {
		if mark.Replica == address {
			return true
		}
	}
	return false
}

// Guards against new requests to a leaving backend server. One source (the host
// list, a health check or a reply) is enough to mark it as leaving. Once all
// hosts know, it gets no more requests, even if other sources contradict and if
// the host that fronted it crashes and is restarted.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	tests := []struct {
		name     string
		announce func(testFleet *fleet.Fleet, address string)
	}{
		{name: "host list", announce: func(testFleet *fleet.Fleet, address string) {
			testFleet.HostList.Set([]store.Host{{Name: "server", Role: store.RoleBackend, Address: address, FailureDomain: "Kochi", State: store.StateLeaving}})
		}},
		{name: "health", announce: func(testFleet *fleet.Fleet, address string) {
			testFleet.Servers[address].SetFault(standin.ServerFault{Drain: true})
		}},
		{name: "reply, health check contradicts", announce: func(testFleet *fleet.Fleet, address string) {
			testFleet.Servers[address].SetFault(standin.ServerFault{Drain: true, HealthLies: true})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			testFleet := start(t)
			checker := newChecker(testFleet)
			checker.sendTraffic("before", 4)
			fronting, address := frontedReplica(t, testFleet)
			test.announce(testFleet, address)
			qt.Assert(t, testFleet.Await(func() bool {
				checker.sendTraffic(fmt.Sprint(time.Now().UnixNano()), 2)
				for _, host := range testFleet.Hosts {
					if !isMarkedLeaving(t, host, address) {
						return false
					}
				}
				return true
			}), qt.IsNil)
			testFleet.HostList.Set(nil)
			testFleet.Servers[address].SetFault(standin.ServerFault{})
			runsBefore := testFleet.Servers[address].Record().Runs
			checker.sendTraffic("after", 6)
			testFleet.Hosts[fronting].Crash()
			checker.sendTraffic("crashed", 6)
			qt.Assert(t, testFleet.Restart(fronting), qt.IsNil)
			qt.Assert(t, testFleet.Await(testFleet.Hosts[fronting].Ready), qt.IsNil)
			checker.sendTraffic("restarted", 6)
			qt.Assert(t, testFleet.Servers[address].Record().Runs, qt.Equals, runsBefore)
			checker.assert(t, 24)
		})
	}
}

// frontedReplica returns the index of a host that fronts a replica, and the
// address of that replica. Replicas are placed by a hash of their addresses, so
// that any single host may front none.
func frontedReplica(t *testing.T, testFleet *fleet.Fleet) (host int, address string) {
	for index, candidate := range testFleet.Hosts {
		if replicas := status(t, candidate).Replicas; len(replicas) > 0 {
			return index, replicas[0].Replica
		}
	}
	t.Fatal("no host fronts a replica")
	return 0, ""
}

// Guards against requests that fail because of a graceful stop: those in flight
// on the stopping host, and those sent through other hosts meanwhile.
func TestGracefulStopFailsNoRequest(t *testing.T) {
	t.Parallel()
	slowLayout := layout()
	slowLayout.BalancerLag = 200 * time.Millisecond
	desk := slowLayout.Services["Desk"]
	desk.Model.ServiceTime = 60 * time.Millisecond
	slowLayout.Services["Desk"] = desk
	testFleet, err := fleet.Start(slowLayout)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(testFleet.Close)
	checker := newChecker(testFleet)
	stopping := testFleet.Hosts[1]
	var group sync.WaitGroup
	for client := range 6 {
		group.Go(func() {
			checker.send(1, answer.Request{RequestID: fmt.Sprint("stopping-", client), Kind: "Pull", Text: "x"})
		})
	}
	qt.Assert(t, testFleet.Await(func() bool { return inFlight(status(t, stopping)) > 0 }), qt.IsNil)
	var stopped atomic.Bool
	group.Go(func() {
		stopping.Stop()
		stopped.Store(true)
	})
	sent := 6
	for round := 0; !stopped.Load(); round++ {
		for _, hostIndex := range []int{0, 2, 3} {
			checker.send(hostIndex, answer.Request{RequestID: fmt.Sprintf("other-%d-%d", hostIndex, round), Kind: "Pull", Text: "x"})
			sent++
		}
	}
	group.Wait()
	checker.assert(t, sent)
}

// inFlight returns the number of requests in flight on a host.
func inFlight(status entry.Status) int {
	total := 0
	for _, load := range status.Loads {
		for _, count := range load.InFlight {
			total += count
		}
	}
	return total
}

// configVersion returns the active configuration version of a host, 0 when it
// can't be read.
func configVersion(host *fleet.Host) uint64 {
	var config entry.Config
	if host.Get("/v1/config", &config) != nil {
		return 0
	}
	return config.Version
}

// slotsPatch returns a patch that changes the slots of the service Desk.
func slotsPatch(baseVersion uint64) patch.Patch {
	merge := json.RawMessage(fmt.Sprintf(`{"Services": {"Desk": {"Slots": %d}}}`, 4+baseVersion%3))
	return patch.Patch{PatchID: fmt.Sprint("patch-", baseVersion+1), Against: baseVersion, Merge: merge}
}

// watchVersions polls the configuration version of each host until stop is
// closed. If a version decreases, it stores a description in regression.
func watchVersions(testFleet *fleet.Fleet, stop chan struct{}, regression *atomic.Pointer[string], group *sync.WaitGroup) {
	for index := range testFleet.Hosts {
		host := testFleet.Hosts[index]
		group.Go(func() {
			highest := uint64(0)
			for {
				select {
				case <-stop:
					return
				default:
				}
				got := configVersion(host)
				if got > 0 && got < highest {
					text := fmt.Sprintf("%s went back from version %d to %d", host.Name, highest, got)
					regression.Store(&text)
				}
				highest = max(highest, got)
			}
		})
	}
}

// Guards against hosts that stay on an old configuration or return to one,
// under faults of the store, the host list and the network between domains. A
// restarted host must not return to one either, although the store returns
// older values.
func TestConfigurationBecomesActiveOnAllHosts(t *testing.T) {
	tests := []struct {
		name   string
		inject func(testFleet *fleet.Fleet)
		// isolated is set when one domain can't be reached until the network heals.
		isolated bool
	}{
		{name: "no fault", inject: func(*fleet.Fleet) {}},
		{name: "domain partitioned from the platform", inject: func(testFleet *fleet.Fleet) {
			testFleet.Network.Partition("Kochi", fleet.Platform)
			testFleet.Network.Partition(fleet.Platform, "Kochi")
		}},
		{name: "domain isolated", isolated: true, inject: func(testFleet *fleet.Fleet) { testFleet.Network.Isolate("Kochi") }},
		{name: "unanswered watches", inject: func(testFleet *fleet.Fleet) { testFleet.Store.SetFault(standin.StoreFault{WatchDead: true}) }},
		{name: "host list empty", inject: func(testFleet *fleet.Fleet) { testFleet.HostList.Set(nil) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			testFleet := start(t)
			stop, regression, group := make(chan struct{}), &atomic.Pointer[string]{}, &sync.WaitGroup{}
			watchVersions(testFleet, stop, regression, group)
			test.inject(testFleet)
			for index := range uint64(3) {
				reply, err := testFleet.Patch(1, slotsPatch(index+1))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, reply.Outcome, qt.Equals, patch.Accepted, qt.Commentf("%+v", reply))
			}
			allActive := func() bool {
				for _, host := range testFleet.Hosts {
					if configVersion(host) != 4 {
						return false
					}
				}
				return true
			}
			if test.isolated {
				qt.Assert(t, configVersion(testFleet.Hosts[0]), qt.Equals, uint64(1))
				testFleet.Network.Heal()
			}
			qt.Assert(t, testFleet.Await(allActive), qt.IsNil)
			testFleet.Store.SetFault(standin.StoreFault{Stale: true})
			close(stop)
			group.Wait()
			qt.Assert(t, regression.Load(), qt.IsNil)
			qt.Assert(t, testFleet.Restart(0), qt.IsNil)
			qt.Assert(t, testFleet.Await(testFleet.Hosts[0].Ready), qt.IsNil)
			qt.Assert(t, configVersion(testFleet.Hosts[0]), qt.Equals, uint64(4))
		})
	}
}

// Checks that a host that starts during an outage of the store gets the
// configuration from its peers, and is not ready when no peer is reachable
// either.
func TestStartWithoutStore(t *testing.T) {
	t.Parallel()
	testFleet := start(t)
	testFleet.Store.SetFault(standin.StoreFault{Outage: true})
	testFleet.Hosts[0].Crash()
	qt.Assert(t, testFleet.Restart(0), qt.IsNil)
	qt.Assert(t, testFleet.Await(testFleet.Hosts[0].Ready), qt.IsNil)
	for _, host := range testFleet.Hosts[1:] {
		host.Crash()
	}
	testFleet.Hosts[0].Crash()
	qt.Assert(t, testFleet.Restart(0), qt.IsNil)
	got := status(t, testFleet.Hosts[0])
	qt.Assert(t, got.Ready, qt.IsFalse)
	qt.Assert(t, got.Why, qt.Equals, "no configuration yet")
}

// Checks that an isolated domain still answers requests from the replicas that
// it reaches and lists the missing shards, and that a request that it can't
// serve fails with the verdict NotRun. The first 6 requests may fail. Answers
// cover all shards again once the network has healed.
func TestIsolatedDomainServesReachableShards(t *testing.T) {
	t.Parallel()
	testFleet := start(t)
	checker := newChecker(testFleet)
	testFleet.Network.Isolate("Kochi")
	for round := range 10 {
		got := checker.send(0, answer.Request{RequestID: fmt.Sprint("isolated-", round), Kind: "Lookup", Text: "x"})
		if round > 5 {
			qt.Assert(t, got.Code, qt.Equals, "", qt.Commentf("%+v", got))
		}
	}
	seal := checker.send(0, answer.Request{RequestID: "seal", Kind: "Seal", Key: "k"})
	qt.Assert(t, seal.Verdict, qt.Equals, "NotRun")
	testFleet.Network.Heal()
	qt.Assert(t, testFleet.Await(func() bool {
		got := checker.send(0, answer.Request{RequestID: fmt.Sprint(time.Now().UnixNano()), Kind: "Lookup", Text: "x"})
		return got.ShardsCovered == testShards
	}), qt.IsNil)
	checker.assert(t, 1)
}
