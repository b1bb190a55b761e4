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

// choiceCase makes half of the replicas differ from the other half.
type choiceCase struct {
	name  string
	fault standin.ServerFault
}

// Choice measures the picker without hedging against three baselines.
func Choice(ctx context.Context) ([]Row, error) {
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
	shown, best := "", time.Duration(0)
	for _, baseline := range []string{replica.Random, replica.RoundRobin, replica.LeastOutstanding} {
		result, err := choose(ctx, baseline, choiceCase)
		if err != nil {
			return Row{}, err
		}
		p99 := score(result)
		if best == 0 || p99 < best {
			best = p99
		}
		shown += fmt.Sprintf("%s %s (%.1f%% whole); ", baseline, millis(p99), 100*result.Success())
	}
	ours, err := choose(ctx, "", choiceCase)
	if err != nil {
		return Row{}, err
	}
	return Row{
		Case:     "Replica choice, " + choiceCase.name + ": p99, failures count as the deadline",
		Baseline: shown,
		Ours:     fmt.Sprintf("%s (%.1f%% whole)", millis(score(ours)), 100*ours.Success()),
		Target:   "at most 1.05 times the best baseline",
		Held:     score(ours) < deadline && float64(score(ours)) <= 1.05*float64(best),
	}, nil
}

func choose(ctx context.Context, choice string, choiceCase choiceCase) (*load.Result, error) {
	var result *load.Result
	err := withFleet(ctx, deskLayout(4, entry.Policy{NoHedge: true, Choice: choice}), func(running *fleet.Fleet) error {
		for place, replica := range running.Configuration.Services["Desk"].Snapshots[0].Replicas {
			if place%2 == 0 {
				running.Servers[replica.Address].SetFault(choiceCase.fault)
			}
		}
		send(ctx, running, stream("Normal", capacity/8, warmTime))
		result = send(ctx, running, stream("Normal", capacity/8, runTime))[0]
		return nil
	})
	return result, err
}

// deadline is that of the kind of work that is sent.
const deadline = time.Second

// score is the p99 where a request without a whole answer counts as 1 s.
func score(result *load.Result) time.Duration {
	failed := 1 - result.Success()
	if failed >= 0.01 {
		return deadline
	}
	return result.Quantile(100 * (1 - (0.01-failed)/(1-failed)))
}
