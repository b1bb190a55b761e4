package metric

import (
	"expvar"
	"sync"
)

var (
	callers     = new(expvar.Map)
	callersOnce sync.Once
)

// PublishUnanswered publishes the number of requests that were read and whose
// connection was closed by this host without an answer. A later call replaces the
// function of an earlier one.
func PublishUnanswered(count func() int) {
	callersOnce.Do(func() { expvar.Publish("Callers", callers) })
	callers.Set("Unanswered", expvar.Func(func() any { return count() }))
}
