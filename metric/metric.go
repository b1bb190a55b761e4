// Package metric counts the requests of a host and records their latencies. The
// figures are published by expvar.
package metric

import (
	"expvar"
	"sync"
	"time"

	"fescuehall/answer"
)

// Host holds the counters and latencies of one entry host. Their keys have the
// form service/rank.
type Host struct {
	// Version is the active version of the configuration.
	Version        *expvar.Int
	requests       *expvar.Map
	failures       *expvar.Map
	partialAnswers *expvar.Map
	latencies      Latencies
}

var publishOnce sync.Once

// New returns the metrics of a host. Only the first ones of a process are
// published, since expvar accepts a name only once.
func New() *Host {
	host := &Host{
		requests:       new(expvar.Map),
		failures:       new(expvar.Map),
		partialAnswers: new(expvar.Map),
		Version:        new(expvar.Int),
	}
	publishOnce.Do(func() {
		expvar.Publish("Requests", host.requests)
		expvar.Publish("Failures", host.failures)
		expvar.Publish("PartialAnswers", host.partialAnswers)
		expvar.Publish("ConfigurationVersion", host.Version)
		expvar.Publish("LatencyMillis", expvar.Func(host.latencies.Quantiles))
	})
	return host
}

// Observe records one answer. Failures are counted by code; latencies are
// recorded only for answers without a failure.
func (host *Host) Observe(serviceName, rankName string, latency time.Duration, answer *answer.Answer) {
	name := serviceName + "/" + rankName
	host.requests.Add(name, 1)
	if answer.Code != "" {
		host.failures.Add(name+"/"+answer.Code, 1)
		return
	}
	if answer.ShardsCovered < answer.ShardsAsked {
		host.partialAnswers.Add(name, 1)
	}
	host.latencies.Observe(name, latency)
}
