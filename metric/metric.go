// Package metric holds the counters and latencies of an entry host, published
// by expvar.
package metric

import (
	"expvar"
	"sync"
	"time"

	"fescuehall/answer"
)

// Host is the counters of one entry host. Names are service/rank.
type Host struct {
	// Version is the configuration version in force.
	Version   *expvar.Int
	requests  *expvar.Map
	failures  *expvar.Map
	partial   *expvar.Map
	latencies Latencies
}

var publishOnce sync.Once

// New returns the metrics of a host; the first in a process are published.
func New() *Host {
	made := &Host{
		requests: new(expvar.Map),
		failures: new(expvar.Map),
		partial:  new(expvar.Map),
		Version:  new(expvar.Int),
	}
	publishOnce.Do(func() {
		expvar.Publish("Requests", made.requests)
		expvar.Publish("Failures", made.failures)
		expvar.Publish("PartialAnswers", made.partial)
		expvar.Publish("ConfigurationVersion", made.Version)
		expvar.Publish("LatencyMillis", expvar.Func(made.latencies.Quantiles))
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
	host.latencies.Observe(name, took)
}
