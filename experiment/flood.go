package experiment

import (
	"context"
	"fmt"
	"time"

	"fescuehall/entry"
	"fescuehall/fleet"
	"fescuehall/load"
)

// floodFactor is the rate of the flooding rank, as a multiple of the capacity.
const floodFactor = 4

// otherLoad is the rate of each rank that does not flood, as a share of the
// capacity. The most urgent rank stays within its share at this rate; the
// others are sent twice this rate, twice their share, while the most urgent one
// floods.
const otherLoad = 0.1

// floodOutcome holds the results of one policy: without a flood, and by
// flooding rank, in the order of kinds.
type floodOutcome struct {
	noFlood        *load.Result
	byFloodingRank map[string][]*load.Result
}

var kinds = []string{"Urgent", "Normal", "Late"}

// Floods measures how each rank is served while one rank floods.
func Floods(ctx context.Context) ([]Row, error) {
	ours, err := runFloods(ctx, entry.Policy{})
	if err != nil {
		return nil, err
	}
	baseline, err := runFloods(ctx, entry.Policy{OneRank: true, NoLimits: true})
	if err != nil {
		return nil, err
	}
	return floodRows(ours, baseline), nil
}

func runFloods(ctx context.Context, policy entry.Policy) (*floodOutcome, error) {
	outcome := &floodOutcome{byFloodingRank: make(map[string][]*load.Result)}
	err := withFleet(ctx, deskLayout(8, policy), func(testFleet *fleet.Fleet) error {
		outcome.noFlood = send(ctx, testFleet, stream("Urgent", capacity/10, measureTime))[0]
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
				streams = append(streams, stream(kind, rate, measureTime))
			}
			outcome.byFloodingRank[flooding] = send(ctx, testFleet, streams...)
		}
		return nil
	})
	return outcome, err
}

func floodRows(ours, baseline *floodOutcome) []Row {
	var rows []Row
	urgent, urgentBaseline := ours.byFloodingRank["Late"][0], baseline.byFloodingRank["Late"][0]
	rows = append(rows, Row{
		Case:     "Flood of the least urgent: whole answers of the most urgent",
		Baseline: fmt.Sprintf("%.2f%%", 100*urgentBaseline.Success()),
		Ours:     fmt.Sprintf("%.2f%%", 100*urgent.Success()),
		Target:   "at least 99.9%",
		Passed:   urgent.Success() >= 0.999,
	})
	ratio := float64(urgent.Quantile(99)) / float64(ours.noFlood.Quantile(99))
	rows = append(rows, Row{
		Case:     "Flood of the least urgent: p99 of the most urgent over its p99 without a flood",
		Baseline: fmt.Sprintf("%.2f (%s over %s)", float64(urgentBaseline.Quantile(99))/float64(baseline.noFlood.Quantile(99)), formatMillis(urgentBaseline.Quantile(99)), formatMillis(baseline.noFlood.Quantile(99))),
		Ours:     fmt.Sprintf("%.2f (%s over %s)", ratio, formatMillis(urgent.Quantile(99)), formatMillis(ours.noFlood.Quantile(99))),
		Target:   "at most 1.25",
		Passed:   allAnswered(urgent, ours.noFlood) && ratio <= 1.25,
	})
	for index, kind := range kinds[1:] {
		result, baselineResult := ours.byFloodingRank["Urgent"][index+1], baseline.byFloodingRank["Urgent"][index+1]
		rows = append(rows, Row{
			Case:     fmt.Sprintf("Flood of the most urgent: whole answers of rank %s, of all whole answers, offered twice its share", kind),
			Baseline: fmt.Sprintf("%.1f%%", 100*baselineResult.Goodput()/max(1, goodput(baseline.byFloodingRank["Urgent"]))),
			Ours:     fmt.Sprintf("%.1f%%", 100*result.Goodput()/max(1, goodput(ours.byFloodingRank["Urgent"]))),
			Target:   "at least its 10% share",
			Passed:   result.Goodput() >= 0.1*goodput(ours.byFloodingRank["Urgent"]) && result.Goodput() > 0,
		})
	}
	for _, flooding := range kinds {
		rows = append(rows, goodputRow(flooding, ours, baseline), refusalRow(flooding, ours, baseline))
	}
	return rows
}

func goodputRow(flooding string, ours, baseline *floodOutcome) Row {
	oursGoodput, baselineGoodput := goodput(ours.byFloodingRank[flooding]), goodput(baseline.byFloodingRank[flooding])
	return Row{
		Case:     fmt.Sprintf("Flood of rank %s: whole answers a second, of capacity", flooding),
		Baseline: fmt.Sprintf("%.0f%%", 100*baselineGoodput/capacity),
		Ours:     fmt.Sprintf("%.0f%%", 100*oursGoodput/capacity),
		Target:   "at least 90%",
		Passed:   oursGoodput >= 0.9*capacity,
	}
}

func refusalRow(flooding string, ours, baseline *floodOutcome) Row {
	oursSlowest, baselineSlowest := slowestRefusal(ours.byFloodingRank[flooding]), slowestRefusal(baseline.byFloodingRank[flooding])
	return Row{
		Case:     fmt.Sprintf("Flood of rank %s: p99 time to be refused as not run", flooding),
		Baseline: formatMillis(baselineSlowest),
		Ours:     formatMillis(oursSlowest),
		Target:   "under 5 ms",
		Passed:   countRefused(ours.byFloodingRank[flooding]) > 0 && oursSlowest < 5*time.Millisecond,
	}
}

func goodput(results []*load.Result) float64 {
	total := 0.0
	for _, result := range results {
		total += result.Goodput()
	}
	return total
}

// countRefused counts the requests that were refused as not run.
func countRefused(results []*load.Result) int {
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
