package metric

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatencyMicros         = 60_000_000
	latencySignificantDigits = 2
)

// Latencies holds histograms of latencies by name.
type Latencies struct {
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// Observe records one latency. Latencies over a minute count as a minute.
func (latencies *Latencies) Observe(name string, latency time.Duration) {
	latencies.mu.Lock()
	defer latencies.mu.Unlock()
	if latencies.histograms == nil {
		latencies.histograms = make(map[string]*hdrhistogram.Histogram)
	}
	histogram := latencies.histograms[name]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits)
		latencies.histograms[name] = histogram
	}
	// RecordValue fails only for values out of range, which min and max rule out.
	_ = histogram.RecordValue(min(maxLatencyMicros, max(1, latency.Microseconds())))
}

// Quantiles holds the number of latencies observed under one name, and their
// quantiles in milliseconds.
type Quantiles struct {
	Count int64
	P50   float64
	P99   float64
	P999  float64
}

// Quantiles returns a map of Quantiles by name, for expvar.Func.
func (latencies *Latencies) Quantiles() any {
	latencies.mu.Lock()
	defer latencies.mu.Unlock()
	quantiles := make(map[string]Quantiles, len(latencies.histograms))
	for name, histogram := range latencies.histograms {
		quantiles[name] = Quantiles{
			Count: histogram.TotalCount(),
			P50:   float64(histogram.ValueAtQuantile(50)) / 1000,
			P99:   float64(histogram.ValueAtQuantile(99)) / 1000,
			P999:  float64(histogram.ValueAtQuantile(99.9)) / 1000,
		}
	}
	return quantiles
}
