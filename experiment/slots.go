package experiment

import (
	"context"
	"fmt"

	"fescuehall/entry"
	"fescuehall/fleet"
	"fescuehall/load"
	"fescuehall/standin"
)

// slotOutcome holds the results of one policy: at a quarter of the capacity,
// and at 1.5 times the capacity with the records before and after it.
type slotOutcome struct {
	overload    *load.Result
	quarterLoad *load.Result
	before      standin.ServerRecord
	after       standin.ServerRecord
}

// Slots measures calls through the one host that fronts a replica against
// direct calls from all hosts.
func Slots(ctx context.Context) ([]Row, error) {
	ours, err := runSlots(ctx, entry.Policy{})
	if err != nil {
		return nil, err
	}
	direct, err := runSlots(ctx, entry.Policy{CallBackendsDirectly: true})
	if err != nil {
		return nil, err
	}
	return slotRows(ours, direct), nil
}

// runSlots sends 1.5 times the capacity. The stand-in servers accept more
// requests than the configured slots, so that exceeding the slots is seen in
// their records.
func runSlots(ctx context.Context, policy entry.Policy) (*slotOutcome, error) {
	layout := deskLayout(8, policy)
	desk := layout.Services["Desk"]
	desk.Model.Slots = 64
	layout.Services["Desk"] = desk
	outcome := &slotOutcome{}
	err := withFleet(ctx, layout, func(testFleet *fleet.Fleet) error {
		outcome.quarterLoad = send(ctx, testFleet, stream("Normal", capacity/4, measureTime))[0]
		outcome.before = totalRecord(testFleet)
		outcome.overload = send(ctx, testFleet, stream("Normal", 1.5*capacity, measureTime))[0]
		outcome.after = totalRecord(testFleet)
		return nil
	})
	return outcome, err
}

func slotRows(ours, direct *slotOutcome) []Row {
	opened := func(outcome *slotOutcome) int { return outcome.after.Connections - outcome.before.Connections }
	return []Row{
		{
			Case:     "Most requests in flight at a backend server with 2 slots, 8 hosts, 1.5 times capacity",
			Baseline: fmt.Sprint(direct.after.MostInFlight),
			Ours:     fmt.Sprint(ours.after.MostInFlight),
			Target:   "2",
			Passed:   allAnswered(ours.overload) && ours.after.MostInFlight <= 2,
		},
		{
			Case:     "Whole answers a second at 1.5 times capacity, of capacity",
			Baseline: fmt.Sprintf("%.0f%%", 100*direct.overload.Goodput()/capacity),
			Ours:     fmt.Sprintf("%.0f%%", 100*ours.overload.Goodput()/capacity),
			Target:   "at least 90%",
			Passed:   ours.overload.Goodput() >= 0.9*capacity,
		},
		{
			Case:     "Most connections open at a backend server that allows 25",
			Baseline: fmt.Sprint(direct.after.MostOpen),
			Ours:     fmt.Sprint(ours.after.MostOpen),
			Target:   "at most 25",
			Passed:   allAnswered(ours.overload) && ours.after.MostOpen <= 25,
		},
		{
			Case:     "New connections for each 1,000 sub-requests under full demand",
			Baseline: fmt.Sprintf("%.1f", 1000*float64(opened(direct))/float64(max(1, direct.after.Runs-direct.before.Runs))),
			Ours:     fmt.Sprintf("%.1f", 1000*float64(opened(ours))/float64(max(1, ours.after.Runs-ours.before.Runs))),
			Target:   "near none (under 1)",
			Passed:   float64(opened(ours)) < float64(ours.after.Runs-ours.before.Runs)/1000,
		},
		{
			Case:     "Median latency at a quarter of capacity (the cost of the call through the fronting host)",
			Baseline: formatMillis(direct.quarterLoad.Quantile(50)),
			Ours:     formatMillis(ours.quarterLoad.Quantile(50)),
			Target:   "within 2 ms of direct",
			Passed:   allAnswered(ours.quarterLoad, direct.quarterLoad) && ours.quarterLoad.Quantile(50)-direct.quarterLoad.Quantile(50) <= 2*msec,
		},
	}
}
