// Package experiment measures design decisions against baselines, each case and
// its baseline in one run on one machine.
package experiment

import (
	"context"
	"fmt"
	"time"

	"fescuehall/entry"
	"fescuehall/fleet"
	"fescuehall/load"
	"fescuehall/service"
	"fescuehall/standin"
)

// Row is one line of the table of measurements. Baseline is the result with the
// baseline, Ours that with the design decision. Passed reports whether Ours
// meets Target.
type Row struct {
	Case     string
	Baseline string
	Ours     string
	Target   string
	Passed   bool
}

// Experiment measures one design decision.
type Experiment struct {
	Name string
	Help string
	Run  func(ctx context.Context) ([]Row, error)
}

// All lists the experiments in the order they are run.
func All() []Experiment {
	return []Experiment{
		{"slots", "Use of slots and connections by all entry hosts together.", Slots},
		{"handover", "Slots and answers while the fronting host changes.", Handover},
		{"flood", "Service by rank under floods of 4 times the capacity.", Floods},
		{"tails", "Stragglers and random slow sub-requests.", Tails},
		{"choice", "Replica choice against random, round robin and least outstanding.", ReplicaSelection},
		{"retries", "Load on a service whose requests all fail.", Retries},
		{"membership", "False deaths, in fake time.", Membership},
		{"spread", "Time until all hosts know of a leaving server and of a new configuration.", Propagation},
		{"calls", "Calls to the configuration store.", StoreCalls},
		{"overhead", "Latency that an entry host adds.", Overhead},
	}
}

const (
	shards      = 20
	serviceTime = 40 * time.Millisecond
	spread      = 0.3
	measureTime = 6 * time.Second
	// warmupTime is how long load is sent before a measurement, so that
	// connections are open and estimates have settled.
	warmupTime = 3 * time.Second
	// capacity is how many queries a second 20 shards of 2 replicas with 2 slots
	// can answer at the mean service time, exp(spread²/2) times the median.
	capacity = 4 / (0.040 * 1.046)
)

// deskLayout is the layout of a fleet with one service: 20 shards, 2 replicas
// each, 2 slots, and 25 connections that take 6 ms to set up, in 4 failure
// domains. FrontDesk in samples/guild is such a service.
func deskLayout(hosts int, policy entry.Policy) fleet.Layout {
	return fleet.Layout{
		Domains: []string{"Kochi", "Kollam", "Kannur", "Kasaragod"},
		Hosts:   hosts,
		Policy:  policy,
		Ranks:   []service.Rank{{Name: "Urgent", SharePercent: 10}, {Name: "Normal", SharePercent: 10}, {Name: "Late", SharePercent: 10}},
		Services: map[string]fleet.ServiceLayout{
			"Desk": {
				Shards: shards, Replicas: 2, Slots: 2, Connections: 25,
				Kinds: []service.Kind{
					{Name: "Urgent", Rank: "Urgent", DeadlineMillis: 500, Idempotent: true, MinCoveragePercent: 100},
					{Name: "Normal", Rank: "Normal", DeadlineMillis: 1000, Idempotent: true, MinCoveragePercent: 100},
					{Name: "Late", Rank: "Late", DeadlineMillis: 3000, Idempotent: true, MinCoveragePercent: 100},
				},
				Model: standin.Model{Queue: 0, ConnectionCost: 6 * time.Millisecond, ServiceTime: serviceTime, Spread: spread, Seed: 1},
			},
		},
	}
}

func hostURLs(testFleet *fleet.Fleet) []string {
	var urls []string
	for _, host := range testFleet.Hosts {
		urls = append(urls, host.URL)
	}
	return urls
}

func send(ctx context.Context, testFleet *fleet.Fleet, streams ...load.Stream) []*load.Result {
	runner := &load.Runner{URLs: hostURLs(testFleet), Client: fleet.Client, Name: fmt.Sprint(time.Now().UnixNano())}
	results, _ := runner.Run(ctx, streams)
	return results
}

func stream(kind string, rate float64, length time.Duration) load.Stream {
	return load.Stream{Service: "Desk", Kind: kind, Rate: rate, Length: length, Seed: 7}
}

// totalRecord combines the records of all backend servers: sums, and maxima of
// what was in flight and open at a server.
func totalRecord(testFleet *fleet.Fleet) standin.ServerRecord {
	var total standin.ServerRecord
	for _, server := range testFleet.Servers {
		record := server.Record()
		total.Runs += record.Runs
		total.Shed += record.Shed
		total.Cancelled += record.Cancelled
		total.Connections += record.Connections
		total.MostInFlight = max(total.MostInFlight, record.MostInFlight)
		total.MostOpen = max(total.MostOpen, record.MostOpen)
	}
	return total
}

// allAnswered reports whether every stream got some whole answers; without any
// its quantiles are meaningless.
func allAnswered(results ...*load.Result) bool {
	for _, result := range results {
		if result.Whole == 0 {
			return false
		}
	}
	return true
}

func formatMillis(duration time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(duration.Microseconds())/1000)
}

// withFleet starts a fleet, warms it up and calls run with it.
func withFleet(ctx context.Context, layout fleet.Layout, run func(*fleet.Fleet) error) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	testFleet, err := fleet.Start(layout)
	if err != nil {
		return err
	}
	defer testFleet.Close()
	send(ctx, testFleet, stream("Normal", capacity/4, warmupTime))
	return run(testFleet)
}
