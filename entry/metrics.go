package entry

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

// metrics are the counters of one host. Names are service/rank.
type metrics struct {
	requests *expvar.Map
	failures *expvar.Map
	partial  *expvar.Map
	version  *expvar.Int

	mu        sync.Mutex
	latencies map[string]*hdrhistogram.Histogram
}

var publishOnce sync.Once

// newMetrics returns the metrics of a host; the first in a process are
// published.
func newMetrics() *metrics {
	made := &metrics{
		requests:  new(expvar.Map),
		failures:  new(expvar.Map),
		partial:   new(expvar.Map),
		version:   new(expvar.Int),
		latencies: make(map[string]*hdrhistogram.Histogram),
	}
	publishOnce.Do(func() {
		expvar.Publish("Requests", made.requests)
		expvar.Publish("Failures", made.failures)
		expvar.Publish("PartialAnswers", made.partial)
		expvar.Publish("ConfigurationVersion", made.version)
		expvar.Publish("LatencyMillis", expvar.Func(made.quantiles))
	})
	return made
}

func (metrics *metrics) observe(serviceName, rankName string, took time.Duration, answer *answer.Answer) {
	name := serviceName + "/" + rankName
	metrics.requests.Add(name, 1)
	if answer.Code != "" {
		metrics.failures.Add(name+"/"+answer.Code, 1)
		return
	}
	if answer.ShardsCovered < answer.ShardsAsked {
		metrics.partial.Add(name, 1)
	}
	metrics.mu.Lock()
	defer metrics.mu.Unlock()
	histogram := metrics.latencies[name]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
		metrics.latencies[name] = histogram
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

func (metrics *metrics) quantiles() any {
	metrics.mu.Lock()
	defer metrics.mu.Unlock()
	shown := make(map[string]Quantiles, len(metrics.latencies))
	for name, histogram := range metrics.latencies {
		shown[name] = Quantiles{
			Count: histogram.TotalCount(),
			P50:   float64(histogram.ValueAtQuantile(50)) / 1000,
			P99:   float64(histogram.ValueAtQuantile(99)) / 1000,
			P999:  float64(histogram.ValueAtQuantile(99.9)) / 1000,
		}
	}
	return shown
}
