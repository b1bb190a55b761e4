package rank

import (
	"sync"
	"time"

	"fescuehall/verdict"
)

// Limiter bounds the queries that an entry host has in flight for one service
// and rank, so that what the replicas would refuse is refused before it is
// spread over the shards. The bound follows what the replicas report.
type Limiter struct {
	// Now is the clock.
	Now func() time.Time

	mu       sync.Mutex
	inFlight int
	limit    float64
	cutAt    time.Time
	latency  time.Duration
}

const (
	startLimit = 16
	minLimit   = 1
	maxLimit   = 4096
	cutFactor  = 0.9
)

// Outcome is what a query met.
type Outcome struct {
	// Pressed is set when a replica refused a part for load or let it wait long.
	Pressed bool
	// Took is the query's time, 0 when it says nothing of the service's speed.
	Took time.Duration
}

// Enter admits a query or refuses it as NotRun.
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

// Leave ends an admitted query. The limit shrinks at most once in a query's
// time, and grows only while it is in use.
func (limiter *Limiter) Leave(outcome Outcome) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	used := float64(limiter.inFlight) >= 0.7*limiter.limit
	limiter.inFlight--
	if outcome.Took > 0 {
		limiter.latency += (outcome.Took - limiter.latency) / 8
	}
	if !outcome.Pressed {
		if used {
			limiter.limit = min(maxLimit, limiter.limit+1/limiter.limit)
		}
		return
	}
	if now := limiter.Now(); now.Sub(limiter.cutAt) >= limiter.latency {
		limiter.limit = max(minLimit, limiter.limit*cutFactor)
		limiter.cutAt = now
	}
}

// Limit returns the bound in force and the queries in flight.
func (limiter *Limiter) Limit() (limit float64, inFlight int) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return limiter.limit, limiter.inFlight
}
