package experiment

import (
	"context"
	"fmt"

	"fescuehall/entry"
	"fescuehall/fleet"
	"fescuehall/standin"
)

// Retries measures the load on a service that fails wholly.
func Retries(ctx context.Context) ([]Row, error) {
	ours, err := retries(ctx, entry.Policy{})
	if err != nil {
		return nil, err
	}
	plain, err := retries(ctx, entry.Policy{NoBudget: true})
	if err != nil {
		return nil, err
	}
	return []Row{{
		Case:     "Every backend server cuts each request after running it: runs for each first sub-request",
		Baseline: fmt.Sprintf("%.2f", plain),
		Ours:     fmt.Sprintf("%.2f", ours),
		Target:   "at most 1.1",
		Held:     ours <= 1.1,
	}}, nil
}

// retries returns the runs at the backend servers for each sub-request that
// the queries needed.
func retries(ctx context.Context, policy entry.Policy) (float64, error) {
	ratio := 0.0
	err := withFleet(ctx, deskLayout(4, policy), func(running *fleet.Fleet) error {
		for _, server := range running.Servers {
			server.SetFault(standin.ServerFault{CutAt: standin.CutRun, CutShare: 1})
		}
		first, runs := firsts(running), records(running).Runs
		send(ctx, running, stream("Normal", capacity/2, runTime))
		ratio = float64(records(running).Runs-runs) / float64(firsts(running)-first)
		return nil
	})
	return ratio, err
}
