package metric

import "expvar"

// PublishIntake publishes the limits that replicas have named, and what this host has
// sent to them since. A later call replaces the function of an earlier one.
func PublishIntake(figures func() any) {
	allowancesOnce.Do(func() { expvar.Publish("Allowances", allowances) })
	allowances.Set("Replicas", expvar.Func(figures))
}
