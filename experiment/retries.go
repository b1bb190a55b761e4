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
		Case:     "Every backend server cuts each request after running it: runs for each first sub-request",
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
	err := withFleet(ctx, deskLayout(4, policy), func(running *fleet.Fleet) error {
		for _, server := range running.Servers {
			server.SetFault(standin.ServerFault{CutAt: standin.CutRun, CutShare: 1})
		}
		firstBefore, runsBefore := firstAttempts(running), totalRecord(running).Runs
		send(ctx, running, stream("Normal", capacity/2, measureTime))
		ratio = float64(totalRecord(running).Runs-runsBefore) / float64(firstAttempts(running)-firstBefore)
		return nil
	})
	return ratio, err
}
