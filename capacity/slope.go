// Package capacity measures how costs grow with size, and computes the page
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
	// Cost and Size describe the cost and the size that were measured, with
	// units.
	Cost string
	Size string
	// Sizes and Costs are the measured points.
	Sizes []float64
	Costs []float64
	// Base and PerUnit define the fitted line: Base + PerUnit × size.
	Base    float64
	PerUnit float64
	// Error is the largest distance of a point from the line, relative to the
	// point.
	Error float64
}

// At returns the fitted cost at a size.
func (slope Slope) At(size float64) float64 {
	return slope.Base + slope.PerUnit*size
}

// Bound returns the fitted cost at a size, but no less than the largest
// measured point. It is for costs that do not grow with size, whose fitted line
// may fall because of noise.
func (slope Slope) Bound(size float64) float64 {
	bound := slope.At(size)
	for _, cost := range slope.Costs {
		bound = math.Max(bound, cost)
	}
	return bound
}

// fit computes the least-squares line of the relative errors, weighting each
// point by 1/cost², so that small sizes count as much as large ones.
func (slope Slope) fit() Slope {
	var sumWeight, sumX, sumY, sumXX, sumXY float64
	for index, size := range slope.Sizes {
		cost := slope.Costs[index]
		weight := 1 / math.Max(cost*cost, 1e-30)
		sumWeight += weight
		sumX += weight * size
		sumY += weight * cost
		sumXX += weight * size * size
		sumXY += weight * size * cost
	}
	slope.PerUnit = (sumWeight*sumXY - sumX*sumY) / (sumWeight*sumXX - sumX*sumX)
	slope.Base = (sumY - slope.PerUnit*sumX) / sumWeight
	for index, size := range slope.Sizes {
		relativeError := math.Abs(slope.At(size)-slope.Costs[index]) / math.Max(slope.Costs[index], 1e-15)
		slope.Error = math.Max(slope.Error, relativeError)
	}
	return slope
}

// measureSlope measures the cost at each size and fits the line.
func measureSlope(name, cost, size string, sizes []int, measureAt func(size int) (float64, error)) (Slope, error) {
	slope := Slope{Name: name, Cost: cost, Size: size}
	for _, point := range sizes {
		value, err := measureAt(point)
		if err != nil {
			return slope, err
		}
		slope.Sizes = append(slope.Sizes, float64(point))
		slope.Costs = append(slope.Costs, value)
	}
	return slope.fit(), nil
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// processorMicros calls run the given number of times and returns the processor
// time of one call on average, in microseconds.
func processorMicros(runs int, run func()) float64 {
	runtime.GC()
	start := processorTime()
	for range runs {
		run()
	}
	return float64((processorTime() - start).Nanoseconds()) / 1000 / float64(runs)
}

// heapBytes returns how many bytes of the heap the value that make returns
// keeps allocated.
func heapBytes[T any](make func() T) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// Data is the file of measurements.
type Data struct {
	Measured string
	Machine  string
	Slopes   []Slope
}

// Find returns the slope with the given name, or one without points if there is
// none.
func (data *Data) Find(name string) Slope {
	for _, slope := range data.Slopes {
		if slope.Name == name {
			return slope
		}
	}
	return Slope{Name: name}
}

// With returns a copy in which newer slopes replace those of the same name.
func (data *Data) With(newer *Data) *Data {
	merged := *newer
	merged.Slopes = nil
	for _, slope := range data.Slopes {
		if newerSlope := newer.Find(slope.Name); len(newerSlope.Sizes) > 0 {
			slope = newerSlope
		}
		merged.Slopes = append(merged.Slopes, slope)
	}
	for _, slope := range newer.Slopes {
		if len(data.Find(slope.Name).Sizes) == 0 {
			merged.Slopes = append(merged.Slopes, slope)
		}
	}
	return &merged
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
