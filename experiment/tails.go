package experiment

import (
	"context"
	"fmt"
	"time"

	"fescuehall/entry"
	"fescuehall/fleet"
	"fescuehall/load"
	"fescuehall/standin"
)

const msec = time.Millisecond

// tailCase is one way in which backend servers are slow.
type tailCase struct {
	name  string
	fault standin.ServerFault
	// all is set when every server is slow, otherwise one is.
	all bool
}

// tailOutcome is a stream's result and the runs for each of its sub-requests.
type tailOutcome struct {
	result *load.Result
	extra  float64
}

// Tails measures stragglers with hedging and choice against neither.
func Tails(ctx context.Context) ([]Row, error) {
	cases := []tailCase{
		{name: "one replica 10 times slower", fault: standin.ServerFault{SlowFactor: 10}},
		{name: "1 in 100 sub-requests 10 times slower", fault: standin.ServerFault{SlowShare: 0.01}, all: true},
		{name: "every replica 3 times slower", fault: standin.ServerFault{SlowFactor: 3}, all: true},
	}
	ours, err := tails(ctx, entry.Policy{}, cases)
	if err != nil {
		return nil, err
	}
	plain, err := tails(ctx, entry.Policy{NoHedge: true, Choice: "Random"}, cases)
	if err != nil {
		return nil, err
	}
	return tailRows(cases, ours, plain), nil
}

// tails returns the outcome without stragglers and then one for each case.
func tails(ctx context.Context, policy entry.Policy, cases []tailCase) ([]tailOutcome, error) {
	var outcomes []tailOutcome
	for place := range len(cases) + 1 {
		err := withFleet(ctx, deskLayout(4, policy), func(running *fleet.Fleet) error {
			if place > 0 {
				cases[place-1].apply(running)
				send(ctx, running, stream("Normal", capacity/5, warmTime))
			}
			before := records(running)
			result := send(ctx, running, stream("Normal", capacity/5, 2*runTime))[0]
			runs := records(running).Runs - before.Runs
			outcomes = append(outcomes, tailOutcome{result: result, extra: float64(runs)/float64(shards*result.Sent) - 1})
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return outcomes, nil
}

func (tailCase tailCase) apply(running *fleet.Fleet) {
	for _, replica := range running.Configuration.Services["Desk"].Snapshots[0].Replicas {
		running.Servers[replica.Address].SetFault(tailCase.fault)
		if !tailCase.all {
			return
		}
	}
}

func tailRows(cases []tailCase, ours, plain []tailOutcome) []Row {
	calm := score(ours[0].result)
	rows := []Row{{
		Case:     "No stragglers: p99, failures count as the deadline",
		Baseline: millis(score(plain[0].result)),
		Ours:     millis(calm),
		Target:   "no worse than 1.1 times the baseline",
		Held:     calm < deadline && calm <= score(plain[0].result)*11/10,
	}}
	for place, tailCase := range cases {
		got, was := ours[place+1], plain[place+1]
		if !(tailCase.all && tailCase.fault.SlowFactor > 0) {
			ratio := float64(score(got.result)) / float64(calm)
			rows = append(rows, Row{
				Case:     "Stragglers, " + tailCase.name + ": p99 over p99 without",
				Baseline: fmt.Sprintf("%.2f (%s)", float64(score(was.result))/float64(score(plain[0].result)), millis(score(was.result))),
				Ours:     fmt.Sprintf("%.2f (%s)", ratio, millis(score(got.result))),
				Target:   "at most 1.5",
				Held:     calm < deadline && ratio <= 1.5,
			})
		}
		rows = append(rows, Row{
			Case:     "Stragglers, " + tailCase.name + ": extra sub-requests run",
			Baseline: fmt.Sprintf("%.1f%%", 100*was.extra),
			Ours:     fmt.Sprintf("%.1f%%", 100*got.extra),
			Target:   "at most 5%",
			Held:     answered(got.result) && got.extra <= 0.05,
		})
	}
	return rows
}
