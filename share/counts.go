// Package share divides room that is short among workspaces: each gets as much as
// any other that wants as much, however much more others want.
package share

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Counts holds what each workspace sends, with exponential decay. It is not safe for
// concurrent use.
type Counts struct {
	// HalfLife is the half-life of the counts.
	HalfLife time.Duration

	// entries hold the counts in units that grow as the counts decay, so that none of
	// them changes with time. At epoch, one unit is one request.
	entries map[string]float64
	total   float64
	epoch   time.Time
	sweptAt time.Time
	// sorted holds the entries in rising order, and sums the sum up to each, as of
	// the last staleAfter requests.
	sorted, sums []float64
	stale        int
}

const (
	// sweepHalfLives is the time between two removals of workspaces that are gone.
	sweepHalfLives = 4
	// minCount is the count below which a workspace is gone.
	minCount = 1.0 / 64
	// staleDivisor is the share of workspaces, as one of this many, after as many
	// requests of which the counts are sorted again. It bounds the time for each
	// request.
	staleDivisor = 64
	// levelSteps is the number of bisections of a level: enough for a thousandth of
	// a request among millions.
	levelSteps = 40
)

// unit returns the value of one request at a time.
func (counts *Counts) unit(now time.Time) float64 {
	return math.Exp2(float64(now.Sub(counts.epoch)) / float64(counts.HalfLife))
}

// Add counts a request of a workspace.
func (counts *Counts) Add(workspace string, now time.Time) {
	if counts.entries == nil {
		counts.entries = make(map[string]float64)
		counts.epoch, counts.sweptAt = now, now
	}
	if now.Sub(counts.sweptAt) >= sweepHalfLives*counts.HalfLife {
		counts.sweep(now)
	}
	unit := counts.unit(now)
	counts.entries[workspace] += unit
	counts.total += unit
	counts.stale++
}

// Clone returns a copy that shares nothing with counts.
func (counts *Counts) Clone() Counts {
	copied := *counts
	copied.entries, copied.sorted, copied.sums = maps.Clone(counts.entries), slices.Clone(counts.sorted), slices.Clone(counts.sums)
	return copied
}

// sweep removes the workspaces that are gone, and restarts the units so that they stay
// small.
func (counts *Counts) sweep(now time.Time) {
	unit := counts.unit(now)
	kept := make(map[string]float64)
	counts.total = 0
	for workspace, count := range counts.entries {
		if count /= unit; count >= minCount {
			kept[workspace] = count
			counts.total += count
		}
	}
	counts.entries, counts.epoch, counts.sweptAt = kept, now, now
	counts.sorted = nil
}

// Len returns the number of workspaces that are counted.
func (counts *Counts) Len() int {
	return len(counts.entries)
}

// sort updates sorted and sums.
func (counts *Counts) sort() {
	if len(counts.sorted) > 0 && counts.stale*staleDivisor <= len(counts.entries) {
		return
	}
	counts.stale = 0
	counts.sorted, counts.sums = counts.sorted[:0], counts.sums[:0]
	for _, count := range counts.entries {
		counts.sorted = append(counts.sorted, count)
	}
	slices.Sort(counts.sorted)
	sum := 0.0
	for _, count := range counts.sorted {
		sum += count
		counts.sums = append(counts.sums, sum)
	}
}

// sumBelow returns the sum of the counts up to a limit, and how many they are.
func (counts *Counts) sumBelow(limit float64) (sum float64, number int) {
	number, _ = slices.BinarySearchFunc(counts.sorted, limit, func(count, limit float64) int {
		if count <= limit {
			return -1
		}
		return 1
	})
	if number == 0 {
		return 0, 0
	}
	return counts.sums[number-1], number
}

// Admitted returns the share of a workspace's requests to admit when room is for a
// share of all. The workspaces that send least are admitted whole; the others get
// equal room each (max-min fairness), but at least the share floor of what each
// would get if all were cut alike.
func (counts *Counts) Admitted(workspace string, room, floor float64) float64 {
	count := counts.entries[workspace]
	if count == 0 || len(counts.entries) == 1 || room >= 1 {
		return room
	}
	counts.sort()
	least := floor * room
	return max(least, min(1, counts.level(room, least)/count))
}

// level returns the room that each workspace gets at most.
func (counts *Counts) level(room, least float64) float64 {
	last := len(counts.sorted) - 1
	target := room * counts.sums[last]
	low, high := 0.0, counts.sorted[last]
	for range levelSteps {
		level := (low + high) / 2
		whole, wholeNumber := counts.sumBelow(level)
		cut, cutNumber := counts.sumBelow(level / least)
		used := whole + level*float64(cutNumber-wholeNumber) + least*(counts.sums[last]-cut)
		if used < target {
			low = level
		} else {
			high = level
		}
	}
	return high
}

// Above reports whether a workspace sends clearly more than an equal share of all.
func (counts *Counts) Above(workspace string, now time.Time) bool {
	const (
		// aboveFactor and aboveSlack cover differences by chance.
		aboveFactor = 1.25
		aboveSlack  = 1
	)
	if len(counts.entries) == 0 {
		return false
	}
	equal := counts.total / float64(len(counts.entries))
	return counts.entries[workspace] > aboveFactor*equal+aboveSlack*counts.unit(now)
}
