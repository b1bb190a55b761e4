package rank

import (
	"sync"
	"time"

	"fescuehall/verdict"
)

// Limiter limits the queries that an entry host has in flight for one service
// and rank, so that a query that replicas would refuse is refused before it is
// sent to the shards. The limit adapts to the outcomes of earlier queries.
type Limiter struct {
	// Now is the clock.
	Now func() time.Time

	mu        sync.Mutex
	inFlight  int
	limit     float64
	loweredAt time.Time
	latency   time.Duration
	// overloaded is set after the first outcome that shows overload. Until then
	// the limit grows fast.
	overloaded bool
}

const (
	startLimit = 8
	minLimit   = 1
	maxLimit   = 4096
	// waitFactor lowers the limit after a query that waited long. lossFactor
	// lowers it more after a query that was refused or late: the work of the other
	// shards for that query was wasted.
	waitFactor = 0.9
	lossFactor = 0.7
)

// Outcome is what the replicas' replies to a query show about their load.
type Outcome struct {
	// LongWait is set if a sub-request waited long in a replica's queue.
	LongWait bool
	// RefusedOrLate is set if a sub-request was refused because of load or was not
	// answered in time.
	RefusedOrLate bool
	// Latency is the query's latency, or 0 if it does not reflect the service's
	// speed.
	Latency time.Duration
}

// Acquire admits a query, or refuses it with a failure whose verdict is NotRun.
// Release must be called at the end of an admitted query.
func (limiter *Limiter) Acquire() error {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	if limiter.limit == 0 {
		limiter.limit = startLimit
	}
	if float64(limiter.inFlight) >= limiter.limit {
		return verdict.New(verdict.NotRun, verdict.Overload, "%d queries in flight, limit is %.1f", limiter.inFlight, limiter.limit)
	}
	limiter.inFlight++
	return nil
}

// Release records the end of an admitted query and adjusts the limit. The limit
// is lowered at most once per average query latency, and raised only while most
// of it is used.
func (limiter *Limiter) Release(outcome Outcome) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	nearLimit := float64(limiter.inFlight) >= 0.7*limiter.limit
	limiter.inFlight--
	if outcome.Latency > 0 {
		limiter.latency += (outcome.Latency - limiter.latency) / 8
	}
	if !outcome.LongWait && !outcome.RefusedOrLate {
		if nearLimit {
			limiter.raise()
		}
		return
	}
	limiter.overloaded = true
	if now := limiter.Now(); now.Sub(limiter.loweredAt) >= limiter.latency {
		limiter.loweredAt = now
		limiter.lower(outcome.RefusedOrLate)
	}
}

func (limiter *Limiter) raise() {
	step := 1.0
	if limiter.overloaded {
		step = 1 / limiter.limit
	}
	limiter.limit = min(maxLimit, limiter.limit+step)
}

func (limiter *Limiter) lower(refusedOrLate bool) {
	factor := waitFactor
	if refusedOrLate {
		factor = lossFactor
	}
	limiter.limit = max(minLimit, limiter.limit*factor)
}

// Limit returns the current limit and the number of queries in flight.
func (limiter *Limiter) Limit() (limit float64, inFlight int) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return limiter.limit, limiter.inFlight
}
