// Package capacity measures how costs grow with size, and works out the page
// docs/CAPACITY.md from the measurements.
package capacity

import (
	"encoding/json"
	"math"
	"os"
	"runtime"
	"syscall"
	"time"
)

// Slope is a cost measured at several sizes, with the line fitted to it.
type Slope struct {
	// Name identifies the slope on the page.
	Name string
	// Cost and Size name what was measured, with units.
	Cost string
	Size string
	// Sizes and Costs are the measured points.
	Sizes []float64
	Costs []float64
	// Base and PerUnit are the fitted line: Base + PerUnit × size.
	Base    float64
	PerUnit float64
	// Error is the largest distance of a point from the line, as a share of
	// the point.
	Error float64
}

// At returns the fitted cost at a size.
func (slope Slope) At(size float64) float64 {
	return slope.Base + slope.PerUnit*size
}

// Bound returns the fitted cost at a size, but no less than the largest point
// measured: for costs that do not grow, whose line may fall by chance.
func (slope Slope) Bound(size float64) float64 {
	bound := slope.At(size)
	for _, cost := range slope.Costs {
		bound = math.Max(bound, cost)
	}
	return bound
}

// fit computes the least-squares line, relative to the points' own size, so
// that the small sizes count as much as the large ones.
func (slope Slope) fit() Slope {
	var weight, x, y, xx, xy float64
	for place, size := range slope.Sizes {
		cost := slope.Costs[place]
		share := 1 / math.Max(cost*cost, 1e-30)
		weight += share
		x += share * size
		y += share * cost
		xx += share * size * size
		xy += share * size * cost
	}
	slope.PerUnit = (weight*xy - x*y) / (weight*xx - x*x)
	slope.Base = (y - slope.PerUnit*x) / weight
	for place, size := range slope.Sizes {
		off := math.Abs(slope.At(size)-slope.Costs[place]) / math.Max(slope.Costs[place], 1e-15)
		slope.Error = math.Max(slope.Error, off)
	}
	return slope
}

// measure takes a slope over sizes.
func measure(name, cost, size string, sizes []int, at func(size int) (float64, error)) (Slope, error) {
	slope := Slope{Name: name, Cost: cost, Size: size}
	for _, point := range sizes {
		value, err := at(point)
		if err != nil {
			return slope, err
		}
		slope.Sizes = append(slope.Sizes, float64(point))
		slope.Costs = append(slope.Costs, value)
	}
	return slope.fit(), nil
}

// processorTime returns what this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// timed returns the processor time of one run of use, in microseconds.
func timed(times int, use func()) float64 {
	runtime.GC()
	began := processorTime()
	for range times {
		use()
	}
	return float64((processorTime() - began).Nanoseconds()) / 1000 / float64(times)
}

// held returns the heap that what make returns keeps, in bytes.
func held[T any](make func() T) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	made := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(made)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// Data is the file of measurements.
type Data struct {
	Measured string
	Machine  string
	Slopes   []Slope
}

// Find returns the slope with the given name; a missing one has no points.
func (data *Data) Find(name string) Slope {
	for _, slope := range data.Slopes {
		if slope.Name == name {
			return slope
		}
	}
	return Slope{Name: name}
}

// With returns the measurements with newer ones in the place of the same
// slopes.
func (data *Data) With(newer *Data) *Data {
	joined := *newer
	joined.Slopes = nil
	for _, slope := range data.Slopes {
		if found := newer.Find(slope.Name); len(found.Sizes) > 0 {
			slope = found
		}
		joined.Slopes = append(joined.Slopes, slope)
	}
	for _, slope := range newer.Slopes {
		if len(data.Find(slope.Name).Sizes) == 0 {
			joined.Slopes = append(joined.Slopes, slope)
		}
	}
	return &joined
}

// Write stores the measurements as JSON.
func (data *Data) Write(file string) error {
	content, err := json.MarshalIndent(data, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(content, '\n'), 0o644)
}

// Read loads a file of measurements.
func Read(file string) (*Data, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	data := &Data{}
	return data, json.Unmarshal(content, data)
}
