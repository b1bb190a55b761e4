// Package metric holds the counters and latencies of an entry host, published
// by expvar.
package metric

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fescuehall/answer"
)

const (
	maxLatencyMicros = 60_000_000
	latencyDigits    = 2
)

// Host is the counters of one entry host. Names are service/rank.
type Host struct {
	// Version is the configuration version in force.
	Version  *expvar.Int
	requests *expvar.Map
	failures *expvar.Map
	partial  *expvar.Map

	mu        sync.Mutex
	latencies map[string]*hdrhistogram.Histogram
}

var publishOnce sync.Once

// New returns the metrics of a host; the first in a process are published.
func New() *Host {
	made := &Host{
		requests:  new(expvar.Map),
		failures:  new(expvar.Map),
		partial:   new(expvar.Map),
		Version:   new(expvar.Int),
		latencies: make(map[string]*hdrhistogram.Histogram),
	}
	publishOnce.Do(func() {
		expvar.Publish("Requests", made.requests)
		expvar.Publish("Failures", made.failures)
		expvar.Publish("PartialAnswers", made.partial)
		expvar.Publish("ConfigurationVersion", made.Version)
		expvar.Publish("LatencyMillis", expvar.Func(made.quantiles))
	})
	return made
}

// Observe counts one answer.
func (host *Host) Observe(serviceName, rankName string, took time.Duration, answer *answer.Answer) {
	name := serviceName + "/" + rankName
	host.requests.Add(name, 1)
	if answer.Code != "" {
		host.failures.Add(name+"/"+answer.Code, 1)
		return
	}
	if answer.ShardsCovered < answer.ShardsAsked {
		host.partial.Add(name, 1)
	}
	host.mu.Lock()
	defer host.mu.Unlock()
	histogram := host.latencies[name]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
		host.latencies[name] = histogram
	}
	histogram.RecordValue(min(maxLatencyMicros, took.Microseconds()))
}

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	Count int64
	P50   float64
	P99   float64
	P999  float64
}

func (host *Host) quantiles() any {
	host.mu.Lock()
	defer host.mu.Unlock()
	shown := make(map[string]Quantiles, len(host.latencies))
	for name, histogram := range host.latencies {
		shown[name] = Quantiles{
			Count: histogram.TotalCount(),
			P50:   float64(histogram.ValueAtQuantile(50)) / 1000,
			P99:   float64(histogram.ValueAtQuantile(99)) / 1000,
			P999:  float64(histogram.ValueAtQuantile(99.9)) / 1000,
		}
	}
	return shown
}
