package experiment

import (
	"context"
	"fmt"
	"time"

	"fescuehall/entry"
	"fescuehall/fleet"
	"fescuehall/load"
	"fescuehall/replica"
	"fescuehall/standin"
)

// choiceCase is a fault that half of the replicas have.
type choiceCase struct {
	name  string
	fault standin.ServerFault
}

// ReplicaSelection measures replica choice without hedging against three
// baselines.
func ReplicaSelection(ctx context.Context) ([]Row, error) {
	cases := []choiceCase{
		{name: "equal replicas"},
		{name: "mixed hardware, half 3 times slower", fault: standin.ServerFault{SlowFactor: 3}},
		{name: "half shed 9 in 10 at once", fault: standin.ServerFault{ShedShare: 0.9}},
		{name: "half 8 times slower and reporting idle", fault: standin.ServerFault{SlowFactor: 8, HealthLies: true}},
	}
	var rows []Row
	for _, choiceCase := range cases {
		row, err := choiceRow(ctx, choiceCase)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func choiceRow(ctx context.Context, choiceCase choiceCase) (Row, error) {
	baselines, best := "", time.Duration(0)
	for _, baseline := range []string{replica.Random, replica.RoundRobin, replica.LeastOutstanding} {
		result, err := runChoice(ctx, baseline, choiceCase)
		if err != nil {
			return Row{}, err
		}
		p99 := p99WithFailures(result)
		if best == 0 || p99 < best {
			best = p99
		}
		baselines += fmt.Sprintf("%s %s (%.1f%% whole); ", baseline, formatMillis(p99), 100*result.Success())
	}
	ours, err := runChoice(ctx, "", choiceCase)
	if err != nil {
		return Row{}, err
	}
	return Row{
		Case:     "Replica choice, " + choiceCase.name + ": p99, failures count as the deadline",
		Baseline: baselines,
		Ours:     fmt.Sprintf("%s (%.1f%% whole)", formatMillis(p99WithFailures(ours)), 100*ours.Success()),
		Target:   "at most 1.05 times the best baseline",
		Passed:   p99WithFailures(ours) < deadline && float64(p99WithFailures(ours)) <= 1.05*float64(best),
	}, nil
}

func runChoice(ctx context.Context, choice string, choiceCase choiceCase) (*load.Result, error) {
	var result *load.Result
	err := withFleet(ctx, deskLayout(4, entry.Policy{NoHedge: true, Strategy: choice}), func(testFleet *fleet.Fleet) error {
		for index, replica := range testFleet.Configuration.Services["Desk"].Snapshots[0].Replicas {
			if index%2 == 0 {
				testFleet.Servers[replica.Address].SetFault(choiceCase.fault)
			}
		}
		send(ctx, testFleet, stream("Normal", capacity/8, warmupTime))
		result = send(ctx, testFleet, stream("Normal", capacity/8, measureTime))[0]
		return nil
	})
	return result, err
}

// deadline is the deadline of the kind of request that is sent.
const deadline = time.Second

// p99WithFailures returns the p99 latency, counting a request without a whole
// answer as one with a latency of 1 s, the deadline.
func p99WithFailures(result *load.Result) time.Duration {
	failureShare := 1 - result.Success()
	if failureShare >= 0.01 {
		return deadline
	}
	return result.Quantile(100 * (1 - (0.01-failureShare)/(1-failureShare)))
}
