package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"fescuehall/entry"
	"fescuehall/fleet"
	"fescuehall/patch"
	"fescuehall/standin"
)

// Membership counts false deaths in fake time. It compares the rule that a
// time-out across failure domains declares no host dead with a baseline that
// trusts every time-out.
func Membership(context.Context) ([]Row, error) {
	partition := func(trustAllTimeouts bool) int {
		detectors := fleet.NewDetectors(8, 4, trustAllTimeouts)
		detectors.Run(10 * time.Second)
		detectors.Lost = func(from, to *fleet.Node) bool {
			return (from.Domain() == "domain-0") != (to.Domain() == "domain-0")
		}
		detectors.Run(time.Minute)
		return detectors.Deaths()
	}
	lossyLinks := func(trustAllTimeouts bool) int {
		detectors := fleet.NewDetectors(8, 4, trustAllTimeouts)
		detectors.Lost = func(from, to *fleet.Node) bool {
			return from.Domain() != to.Domain() && detectors.Random.Float64() < 0.4
		}
		detectors.Run(10 * time.Minute)
		return detectors.Deaths()
	}
	pauses := func(trustAllTimeouts bool) int {
		detectors := fleet.NewDetectors(8, 4, trustAllTimeouts)
		detectors.Lost = func(*fleet.Node, *fleet.Node) bool { return detectors.Random.Float64() < 0.01 }
		for range 120 {
			detectors.Run(4500 * time.Millisecond)
			paused := detectors.Nodes[detectors.Random.IntN(len(detectors.Nodes))]
			paused.Stopped = true
			detectors.Run(500 * time.Millisecond)
			paused.Stopped = false
		}
		return detectors.Deaths()
	}
	row := func(name, target string, count func(bool) int) Row {
		ours := count(false)
		return Row{Case: name, Baseline: fmt.Sprint(count(true)), Ours: fmt.Sprint(ours), Target: target, Passed: ours == 0}
	}
	return []Row{
		row("False deaths in a minute while one domain of four is partitioned from the others, 8 hosts; baseline trusts every time-out", "0", partition),
		row("False deaths in 10 minutes of 40% loss between domains, 8 hosts", "0", lossyLinks),
		row("False deaths in 10 minutes of 1% loss and pauses of 500 ms, 8 hosts", "0", pauses),
	}, nil
}

// Propagation measures how long it takes until all of 8 hosts know that a
// backend server is leaving, and until a new configuration is active on all of
// them.
func Propagation(ctx context.Context) ([]Row, error) {
	var rows []Row
	err := withFleet(ctx, deskLayout(8, entry.Policy{}), func(testFleet *fleet.Fleet) error {
		address := testFleet.Configuration.Services["Desk"].Snapshots[0].Replicas[0].Address
		start := time.Now()
		testFleet.Servers[address].SetFault(standin.ServerFault{Drain: true})
		err := testFleet.Await(func() bool { return leavingEverywhere(testFleet) })
		elapsed := time.Since(start)
		rows = append(rows, Row{Case: "A draining backend server is known on 8 hosts, by its health endpoint, without traffic", Baseline: "-", Ours: formatMillis(elapsed), Target: "3 s", Passed: err == nil && elapsed <= 3*time.Second})
		if err != nil {
			return err
		}
		slowest, err := slowestPatch(testFleet)
		rows = append(rows, Row{Case: "Longest time until an accepted patch is active on all 8 hosts, of 20 patches", Baseline: "-", Ours: formatMillis(slowest), Target: "1 s", Passed: err == nil && slowest <= time.Second})
		return err
	})
	return rows, err
}

func leavingEverywhere(testFleet *fleet.Fleet) bool {
	for _, host := range testFleet.Hosts {
		var status entry.Status
		if host.Get("/v1/status", &status) != nil || len(status.Leaving) == 0 {
			return false
		}
	}
	return true
}

// slowestPatch submits patches through the hosts in rotation, and returns the
// longest time until one was active on all hosts.
func slowestPatch(testFleet *fleet.Fleet) (time.Duration, error) {
	slowest := time.Duration(0)
	for baseVersion := range uint64(20) {
		start := time.Now()
		reply, err := testFleet.Patch(int(baseVersion)%len(testFleet.Hosts), slotsPatch(baseVersion+1))
		if err != nil {
			return 0, err
		}
		err = testFleet.Await(func() bool { return activeEverywhere(testFleet, reply.Version) })
		if err != nil {
			return 0, err
		}
		slowest = max(slowest, time.Since(start))
	}
	return slowest, nil
}

func slotsPatch(baseVersion uint64) patch.Patch {
	merge := json.RawMessage(fmt.Sprintf(`{"Services": {"Desk": {"Slots": %d}}}`, 2+baseVersion%2))
	return patch.Patch{PatchID: fmt.Sprint("patch-", baseVersion+1), Against: baseVersion, Merge: merge}
}

func activeEverywhere(testFleet *fleet.Fleet, version uint64) bool {
	for _, host := range testFleet.Hosts {
		var config entry.Config
		if host.Get("/v1/config", &config) != nil || config.Version < version {
			return false
		}
	}
	return true
}

// StoreCalls measures the store's calls in the steady state and on a change.
func StoreCalls(ctx context.Context) ([]Row, error) {
	var rows []Row
	for _, hosts := range []int{8, 32, 64} {
		err := withFleet(ctx, deskLayout(hosts, entry.Policy{}), func(testFleet *fleet.Fleet) error {
			before := testFleet.Store.Counts()
			time.Sleep(measureTime)
			after := testFleet.Store.Counts()
			steady := float64(after.Reads-before.Reads)/measureTime.Seconds() + float64(after.Waiting)
			if _, err := testFleet.Patch(0, slotsPatch(1)); err != nil {
				return err
			}
			if err := testFleet.Await(func() bool { return activeEverywhere(testFleet, 2) }); err != nil {
				return err
			}
			changed := testFleet.Store.Counts()
			rows = append(rows, Row{
				Case:     fmt.Sprintf("Store with %d hosts in 4 domains: calls a second in the steady state, and calls of a patch", hosts),
				Baseline: fmt.Sprintf("%d and %d with a watch on each host", hosts, 2*hosts),
				Ours:     fmt.Sprintf("%.1f and %d reads, %d writes", steady, changed.Reads-after.Reads, changed.Writes-after.Writes),
				Target:   "under 10% of 2,000 reads and of 300 writes a second",
				Passed:   steady < 200 && changed.Reads-after.Reads < 200 && changed.Writes-after.Writes < 30,
			})
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return rows, nil
}
