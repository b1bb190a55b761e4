package experiment

import (
	"context"
	"fmt"
	"time"

	"fescuehall/entry"
	"fescuehall/fleet"
	"fescuehall/load"
)

// Handover measures by how much slots are exceeded while the fronting of
// replicas moves to another host, and how many answers callers of the other
// hosts lose.
func Handover(ctx context.Context) ([]Row, error) {
	crashed, err := runHandover(ctx, func(host *fleet.Host) { host.Crash() })
	if err != nil {
		return nil, err
	}
	stopped, err := runHandover(ctx, (*fleet.Host).Stop)
	if err != nil {
		return nil, err
	}
	return append(handoverRows("host crashes with searches in flight", crashed), handoverRows("host stops gracefully", stopped)...), nil
}

// handoverOutcome is what was measured while one of 8 hosts left.
type handoverOutcome struct {
	result            *load.Result
	maxInFlight       int64
	maxInFlightBefore int64
}

// runHandover sends 0.6 of the capacity to 7 hosts, and calls end with the
// eighth during that time.
func runHandover(ctx context.Context, end func(*fleet.Host)) (*handoverOutcome, error) {
	layout := deskLayout(8, entry.Policy{})
	desk := layout.Services["Desk"]
	desk.Model.Slots = 64
	layout.Services["Desk"] = desk
	outcome := &handoverOutcome{}
	err := withFleet(ctx, layout, func(testFleet *fleet.Fleet) error {
		outcome.maxInFlightBefore = totalRecord(testFleet).MostInFlight
		leavingHost := testFleet.Hosts[7]
		timer := time.AfterFunc(measureTime/3, func() { end(leavingHost) })
		defer timer.Stop()
		runner := &load.Runner{URLs: hostURLs(testFleet)[:7], Client: fleet.Client, Name: "handover"}
		results, err := runner.Run(ctx, []load.Stream{stream("Normal", 0.6*capacity, measureTime)})
		if err != nil {
			return err
		}
		outcome.result = results[0]
		outcome.maxInFlight = totalRecord(testFleet).MostInFlight
		return nil
	})
	return outcome, err
}

func handoverRows(name string, outcome *handoverOutcome) []Row {
	return []Row{
		{
			Case:     "Change of the fronting host, " + name + ": most in flight at a server with 2 slots",
			Baseline: fmt.Sprintf("%d before", outcome.maxInFlightBefore),
			Ours:     fmt.Sprint(outcome.maxInFlight),
			Target:   "at most 4, twice the slots",
			Passed:   allAnswered(outcome.result) && outcome.maxInFlight <= 4,
		},
		{
			Case:     "Change of the fronting host, " + name + ": whole answers through the other 7 hosts, at 0.6 of capacity",
			Baseline: "-",
			Ours:     fmt.Sprintf("%.1f%%, p99 %s", 100*outcome.result.Success(), formatMillis(outcome.result.Quantile(99))),
			Target:   "99% within the deadline of 1 s",
			Passed:   outcome.result.Success() >= 0.99,
		},
	}
}
