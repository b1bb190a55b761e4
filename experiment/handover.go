package experiment

import (
	"context"
	"fmt"
	"time"

	"fescuehall/entry"
	"fescuehall/fleet"
	"fescuehall/load"
)

// Handover measures how far slots are exceeded while another host comes to
// front replicas, and what callers of the other hosts lose.
func Handover(ctx context.Context) ([]Row, error) {
	vanish, err := handover(ctx, func(host *fleet.Host) { host.Vanish() })
	if err != nil {
		return nil, err
	}
	stop, err := handover(ctx, (*fleet.Host).Stop)
	if err != nil {
		return nil, err
	}
	return append(handoverRows("host vanishes with searches in flight", vanish), handoverRows("host stops by plan", stop)...), nil
}

// handoverOutcome is what happened while one host of 8 went.
type handoverOutcome struct {
	result *load.Result
	most   int64
	before int64
}

// handover offers 0.6 of the capacity to 7 hosts, and lets the eighth go.
func handover(ctx context.Context, end func(*fleet.Host)) (*handoverOutcome, error) {
	layout := deskLayout(8, entry.Policy{})
	desk := layout.Services["Desk"]
	desk.Model.Slots = 64
	layout.Services["Desk"] = desk
	outcome := &handoverOutcome{}
	err := withFleet(ctx, layout, func(running *fleet.Fleet) error {
		outcome.before = records(running).MostInFlight
		gone := running.Hosts[7]
		timer := time.AfterFunc(runTime/3, func() { end(gone) })
		defer timer.Stop()
		runner := &load.Runner{URLs: urls(running)[:7], Client: fleet.Client, Name: "handover"}
		results, err := runner.Run(ctx, []load.Stream{stream("Normal", 0.6*capacity, runTime)})
		if err != nil {
			return err
		}
		outcome.result = results[0]
		outcome.most = records(running).MostInFlight
		return nil
	})
	return outcome, err
}

func handoverRows(name string, outcome *handoverOutcome) []Row {
	return []Row{
		{
			Case:     "Change of the fronting host, " + name + ": most in flight at a server with 2 slots",
			Baseline: fmt.Sprintf("%d before", outcome.before),
			Ours:     fmt.Sprint(outcome.most),
			Target:   "at most 4, twice the slots",
			Held:     answered(outcome.result) && outcome.most <= 4,
		},
		{
			Case:     "Change of the fronting host, " + name + ": whole answers through the other 7 hosts, at 0.6 of capacity",
			Baseline: "-",
			Ours:     fmt.Sprintf("%.1f%%, p99 %s", 100*outcome.result.Success(), millis(outcome.result.Quantile(99))),
			Target:   "99% within the deadline of 1 s",
			Held:     outcome.result.Success() >= 0.99,
		},
	}
}
