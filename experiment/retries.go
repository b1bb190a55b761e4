package experiment

import (
	"context"
	"fmt"

	"fescuehall/entry"
	"fescuehall/fleet"
	"fescuehall/standin"
)

// Retries measures the load on a service whose requests all fail.
func Retries(ctx context.Context) ([]Row, error) {
	ours, err := runsPerSubRequest(ctx, entry.Policy{})
	if err != nil {
		return nil, err
	}
	baseline, err := runsPerSubRequest(ctx, entry.Policy{NoBudget: true})
	if err != nil {
		return nil, err
	}
	return []Row{{
		Case:     "Every backend server drops the connection of each request after running it: runs per first attempt",
		Baseline: fmt.Sprintf("%.2f", baseline),
		Ours:     fmt.Sprintf("%.2f", ours),
		Target:   "at most 1.1",
		Passed:   ours <= 1.1,
	}}, nil
}

// runsPerSubRequest returns the number of runs at the backend servers for each
// sub-request that the queries needed. Retries and hedges are further runs of a
// sub-request.
func runsPerSubRequest(ctx context.Context, policy entry.Policy) (float64, error) {
	ratio := 0.0
	err := withFleet(ctx, deskLayout(4, policy), func(testFleet *fleet.Fleet) error {
		for _, server := range testFleet.Servers {
			server.SetFault(standin.ServerFault{CutAt: standin.CutRun, CutShare: 1})
		}
		firstBefore, runsBefore := firstAttempts(testFleet), totalRecord(testFleet).Runs
		send(ctx, testFleet, stream("Normal", capacity/2, measureTime))
		ratio = float64(totalRecord(testFleet).Runs-runsBefore) / float64(firstAttempts(testFleet)-firstBefore)
		return nil
	})
	return ratio, err
}
