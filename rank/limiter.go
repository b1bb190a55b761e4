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
	// Pressed is set if a sub-request waited long in a replica's queue.
	Pressed bool
	// Lost is set if a sub-request was refused because of load or was not answered
	// in time.
	Lost bool
	// Took is the query's latency, or 0 if it does not reflect the service's
	// speed.
	Took time.Duration
}

// Enter admits a query, or refuses it with a failure whose verdict is NotRun.
// Leave must be called at the end of an admitted query.
func (limiter *Limiter) Enter() error {
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

// Leave records the end of an admitted query and adjusts the limit. The limit is
// lowered at most once per average query latency, and raised only while most of
// it is used.
func (limiter *Limiter) Leave(outcome Outcome) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	nearLimit := float64(limiter.inFlight) >= 0.7*limiter.limit
	limiter.inFlight--
	if outcome.Took > 0 {
		limiter.latency += (outcome.Took - limiter.latency) / 8
	}
	if !outcome.Pressed && !outcome.Lost {
		if nearLimit {
			limiter.raise()
		}
		return
	}
	limiter.overloaded = true
	if now := limiter.Now(); now.Sub(limiter.loweredAt) >= limiter.latency {
		limiter.loweredAt = now
		limiter.lower(outcome.Lost)
	}
}

func (limiter *Limiter) raise() {
	step := 1.0
	if limiter.overloaded {
		step = 1 / limiter.limit
	}
	limiter.limit = min(maxLimit, limiter.limit+step)
}

func (limiter *Limiter) lower(lost bool) {
	factor := waitFactor
	if lost {
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
