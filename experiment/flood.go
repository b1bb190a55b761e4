package experiment

import (
	"context"
	"fmt"
	"time"

	"fescuehall/entry"
	"fescuehall/fleet"
	"fescuehall/load"
)

// floodFactor is the flood's rate as a multiple of the capacity.
const floodFactor = 4

// otherLoad is what each other rank offers, of capacity: the most urgent less
// than its share, the others twice theirs.
const otherLoad = 0.1

// floodOutcome is what one policy gave under the three floods.
type floodOutcome struct {
	calm   *load.Result
	floods map[string][]*load.Result
}

var kinds = []string{"Urgent", "Normal", "Late"}

// Floods measures each rank's service while one rank floods.
func Floods(ctx context.Context) ([]Row, error) {
	ours, err := floods(ctx, entry.Policy{})
	if err != nil {
		return nil, err
	}
	plain, err := floods(ctx, entry.Policy{OneRank: true, NoLimits: true})
	if err != nil {
		return nil, err
	}
	return floodRows(ours, plain), nil
}

func floods(ctx context.Context, policy entry.Policy) (*floodOutcome, error) {
	outcome := &floodOutcome{floods: make(map[string][]*load.Result)}
	err := withFleet(ctx, deskLayout(8, policy), func(running *fleet.Fleet) error {
		outcome.calm = send(ctx, running, stream("Urgent", capacity/10, runTime))[0]
		for _, flooding := range kinds {
			var streams []load.Stream
			for _, kind := range kinds {
				rate := capacity * otherLoad
				if kind != "Urgent" && flooding == "Urgent" {
					rate = 2 * capacity * otherLoad
				}
				if kind == flooding {
					rate = capacity * floodFactor
				}
				streams = append(streams, stream(kind, rate, runTime))
			}
			outcome.floods[flooding] = send(ctx, running, streams...)
		}
		return nil
	})
	return outcome, err
}

func floodRows(ours, plain *floodOutcome) []Row {
	var rows []Row
	urgent, base := ours.floods["Late"][0], plain.floods["Late"][0]
	rows = append(rows, Row{
		Case:     "Flood of the least urgent: whole answers of the most urgent",
		Baseline: fmt.Sprintf("%.2f%%", 100*base.Success()),
		Ours:     fmt.Sprintf("%.2f%%", 100*urgent.Success()),
		Target:   "at least 99.9%",
		Held:     urgent.Success() >= 0.999,
	})
	ratio := float64(urgent.Quantile(99)) / float64(ours.calm.Quantile(99))
	rows = append(rows, Row{
		Case:     "Flood of the least urgent: p99 of the most urgent over its calm p99",
		Baseline: fmt.Sprintf("%.2f (%s over %s)", float64(base.Quantile(99))/float64(plain.calm.Quantile(99)), millis(base.Quantile(99)), millis(plain.calm.Quantile(99))),
		Ours:     fmt.Sprintf("%.2f (%s over %s)", ratio, millis(urgent.Quantile(99)), millis(ours.calm.Quantile(99))),
		Target:   "at most 1.25",
		Held:     answered(urgent, ours.calm) && ratio <= 1.25,
	})
	for place, kind := range kinds[1:] {
		got, was := ours.floods["Urgent"][place+1], plain.floods["Urgent"][place+1]
		rows = append(rows, Row{
			Case:     fmt.Sprintf("Flood of the most urgent: whole answers of rank %s, of all whole answers, offered twice its share", kind),
			Baseline: fmt.Sprintf("%.1f%%", 100*was.Goodput()/max(1, goodput(plain.floods["Urgent"]))),
			Ours:     fmt.Sprintf("%.1f%%", 100*got.Goodput()/max(1, goodput(ours.floods["Urgent"]))),
			Target:   "at least its 10% share",
			Held:     got.Goodput() >= 0.1*goodput(ours.floods["Urgent"]) && got.Goodput() > 0,
		})
	}
	for _, flooding := range kinds {
		rows = append(rows, goodputRow(flooding, ours, plain), refusalRow(flooding, ours, plain))
	}
	return rows
}

func goodputRow(flooding string, ours, plain *floodOutcome) Row {
	got, was := goodput(ours.floods[flooding]), goodput(plain.floods[flooding])
	return Row{
		Case:     fmt.Sprintf("Flood of rank %s: whole answers a second, of capacity", flooding),
		Baseline: fmt.Sprintf("%.0f%%", 100*was/capacity),
		Ours:     fmt.Sprintf("%.0f%%", 100*got/capacity),
		Target:   "at least 90%",
		Held:     got >= 0.9*capacity,
	}
}

func refusalRow(flooding string, ours, plain *floodOutcome) Row {
	got, was := slowestRefusal(ours.floods[flooding]), slowestRefusal(plain.floods[flooding])
	return Row{
		Case:     fmt.Sprintf("Flood of rank %s: p99 time to be refused as not run", flooding),
		Baseline: millis(was),
		Ours:     millis(got),
		Target:   "under 5 ms",
		Held:     refused(ours.floods[flooding]) > 0 && got < 5*time.Millisecond,
	}
}

func goodput(results []*load.Result) float64 {
	total := 0.0
	for _, result := range results {
		total += result.Goodput()
	}
	return total
}

// refused counts the requests that were refused as not run.
func refused(results []*load.Result) int {
	total := 0
	for _, result := range results {
		total += result.NotRun
	}
	return total
}

func slowestRefusal(results []*load.Result) time.Duration {
	slowest := time.Duration(0)
	for _, result := range results {
		slowest = max(slowest, time.Duration(result.Refusals.ValueAtQuantile(99))*time.Microsecond)
	}
	return slowest
}
