package metric

import (
	"expvar"
	"sync"
	"time"
)

var (
	configuration     = new(expvar.Map)
	configurationOnce sync.Once
)

// PublishConfiguration publishes the version of the active configuration and the
// milliseconds since the store last confirmed it, -1 if it never did. A later
// call replaces the functions of an earlier one.
func PublishConfiguration(version func() uint64, age func() (time.Duration, bool)) {
	configurationOnce.Do(func() { expvar.Publish("Configuration", configuration) })
	configuration.Set("Version", expvar.Func(func() any { return version() }))
	configuration.Set("AgeMillis", ageMillis(age))
}

// ageMillis returns a variable that is an age in milliseconds, -1 while it is not known.
func ageMillis(age func() (time.Duration, bool)) expvar.Func {
	return func() any {
		if age, known := age(); known {
			return age.Milliseconds()
		}
		return -1
	}
}

// PublishEvacuations publishes the failure domains whose replicas get no requests. A
// later call replaces the function of an earlier one.
func PublishEvacuations(domains func() []string) {
	configurationOnce.Do(func() { expvar.Publish("Configuration", configuration) })
	configuration.Set("Evacuated", expvar.Func(func() any { return domains() }))
}

// PublishLists publishes the milliseconds since the state of the store that the lists
// of replicas and hosts show, -1 if they were never read. A later call replaces the
// function of an earlier one.
func PublishLists(age func() (time.Duration, bool)) {
	configurationOnce.Do(func() { expvar.Publish("Configuration", configuration) })
	configuration.Set("ListAgeMillis", ageMillis(age))
}

// CountStaleRead counts a read of a list that was repeated as a consistent one, since it
// may have shown too old a state.
func CountStaleRead() {
	configuration.Add("StaleReads", 1)
}
