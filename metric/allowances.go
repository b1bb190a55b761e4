package metric

import (
	"expvar"
	"sync"
)

var (
	allowances     = new(expvar.Map)
	allowancesOnce sync.Once
)

// PublishAllowances publishes the figures of the limits that all hosts share, for
// those that are most in demand at this host. A later call replaces the function of
// an earlier one.
func PublishAllowances(counts func() any) {
	allowancesOnce.Do(func() { expvar.Publish("Allowances", allowances) })
	allowances.Set("Limits", expvar.Func(counts))
}
