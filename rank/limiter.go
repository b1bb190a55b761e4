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
	// pressed is set once a replica was short of slots; until then the limit
	// grows fast.
	pressed bool
}

const (
	startLimit = 8
	minLimit   = 1
	maxLimit   = 4096
	// waitFactor cuts the limit after a long wait, lossFactor after a query that
	// was refused or late, whose parts on other shards were wasted.
	waitFactor = 0.9
	lossFactor = 0.7
)

// Outcome is what a query met.
type Outcome struct {
	// Pressed is set when a replica let a part wait long.
	Pressed bool
	// Lost is set when a part was refused for load or was not there in time.
	Lost bool
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
	if !outcome.Pressed && !outcome.Lost {
		if used {
			limiter.grow()
		}
		return
	}
	limiter.pressed = true
	if now := limiter.Now(); now.Sub(limiter.cutAt) >= limiter.latency {
		limiter.cutAt = now
		limiter.cut(outcome.Lost)
	}
}

func (limiter *Limiter) grow() {
	step := 1.0
	if limiter.pressed {
		step = 1 / limiter.limit
	}
	limiter.limit = min(maxLimit, limiter.limit+step)
}

func (limiter *Limiter) cut(lost bool) {
	factor := waitFactor
	if lost {
		factor = lossFactor
	}
	limiter.limit = max(minLimit, limiter.limit*factor)
}

// Limit returns the bound in force and the queries in flight.
func (limiter *Limiter) Limit() (limit float64, inFlight int) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return limiter.limit, limiter.inFlight
}
