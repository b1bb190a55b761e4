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

// tailCase is a fault that makes one or all backend servers slow.
type tailCase struct {
	name  string
	fault standin.ServerFault
	// all applies the fault to every server instead of one.
	all bool
}

// tailOutcome is a stream's result and its extra runs at backend servers, as a
// share of the sub-requests that it needed.
type tailOutcome struct {
	result    *load.Result
	extraRuns float64
}

// Tails measures the effect of stragglers with hedging and replica choice, and
// with neither as the baseline.
func Tails(ctx context.Context) ([]Row, error) {
	cases := []tailCase{
		{name: "one replica 10 times slower", fault: standin.ServerFault{SlowFactor: 10}},
		{name: "1 in 100 sub-requests 10 times slower", fault: standin.ServerFault{SlowShare: 0.01}, all: true},
		{name: "every replica 3 times slower", fault: standin.ServerFault{SlowFactor: 3}, all: true},
	}
	ours, err := runTails(ctx, entry.Policy{}, cases)
	if err != nil {
		return nil, err
	}
	baseline, err := runTails(ctx, entry.Policy{NoHedge: true, Strategy: "Random"}, cases)
	if err != nil {
		return nil, err
	}
	return tailRows(cases, ours, baseline), nil
}

// runTails returns the outcome without stragglers, followed by one for each
// case.
func runTails(ctx context.Context, policy entry.Policy, cases []tailCase) ([]tailOutcome, error) {
	var outcomes []tailOutcome
	for index := range len(cases) + 1 {
		err := withFleet(ctx, deskLayout(4, policy), func(testFleet *fleet.Fleet) error {
			if index > 0 {
				cases[index-1].apply(testFleet)
				send(ctx, testFleet, stream("Normal", capacity/5, warmupTime))
			}
			before := totalRecord(testFleet)
			result := send(ctx, testFleet, stream("Normal", capacity/5, 2*measureTime))[0]
			runs := totalRecord(testFleet).Runs - before.Runs
			outcomes = append(outcomes, tailOutcome{result: result, extraRuns: float64(runs)/float64(shards*result.Sent) - 1})
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return outcomes, nil
}

func (tailCase tailCase) apply(testFleet *fleet.Fleet) {
	for _, replica := range testFleet.Configuration.Services["Desk"].Snapshots[0].Replicas {
		testFleet.Servers[replica.Address].SetFault(tailCase.fault)
		if !tailCase.all {
			return
		}
	}
}

func tailRows(cases []tailCase, ours, baseline []tailOutcome) []Row {
	p99NoStragglers := p99WithFailures(ours[0].result)
	rows := []Row{{
		Case:     "No stragglers: p99, failures count as the deadline",
		Baseline: formatMillis(p99WithFailures(baseline[0].result)),
		Ours:     formatMillis(p99NoStragglers),
		Target:   "no worse than 1.1 times the baseline",
		Passed:   p99NoStragglers < deadline && p99NoStragglers <= p99WithFailures(baseline[0].result)*11/10,
	}}
	for index, tailCase := range cases {
		outcome, baselineOutcome := ours[index+1], baseline[index+1]
		if !(tailCase.all && tailCase.fault.SlowFactor > 0) {
			ratio := float64(p99WithFailures(outcome.result)) / float64(p99NoStragglers)
			rows = append(rows, Row{
				Case:     "Stragglers, " + tailCase.name + ": p99 over p99 without",
				Baseline: fmt.Sprintf("%.2f (%s)", float64(p99WithFailures(baselineOutcome.result))/float64(p99WithFailures(baseline[0].result)), formatMillis(p99WithFailures(baselineOutcome.result))),
				Ours:     fmt.Sprintf("%.2f (%s)", ratio, formatMillis(p99WithFailures(outcome.result))),
				Target:   "at most 1.5",
				Passed:   p99NoStragglers < deadline && ratio <= 1.5,
			})
		}
		rows = append(rows, Row{
			Case:     "Stragglers, " + tailCase.name + ": extra sub-requests run",
			Baseline: fmt.Sprintf("%.1f%%", 100*baselineOutcome.extraRuns),
			Ours:     fmt.Sprintf("%.1f%%", 100*outcome.extraRuns),
			Target:   "at most 5%",
			Passed:   allAnswered(outcome.result) && outcome.extraRuns <= 0.05,
		})
	}
	return rows
}
