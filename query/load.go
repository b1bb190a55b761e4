package query

import (
	"time"

	"fescuehall/rank"
	"fescuehall/retry"
)

const (
	// retryRatio and hedgeRatio add up to the extra load a service may get.
	retryRatio = 0.05
	hedgeRatio = 0.04
	extraBurst = 20
	// hedgeAfter is in percent: what is later than it costs less than hedgeRatio.
	hedgeAfter  = 98
	leastHedged = time.Millisecond
)

// load is what this host knows of the load on one service.
type load struct {
	limiters []*rank.Limiter
	retries  *retry.Budget
	hedges   *retry.Budget
	delay    *retry.Delay
}

func (coordinator *Coordinator) loadOf(name string, ranks int) *load {
	if found, ok := coordinator.services.Load(name); ok && len(found.(*load).limiters) >= ranks {
		return found.(*load)
	}
	made := &load{
		retries: &retry.Budget{Ratio: retryRatio, Burst: extraBurst},
		hedges:  &retry.Budget{Ratio: hedgeRatio, Burst: extraBurst},
		delay:   &retry.Delay{Quantile: hedgeAfter, Least: leastHedged},
	}
	for range ranks {
		made.limiters = append(made.limiters, &rank.Limiter{Now: coordinator.Now})
	}
	coordinator.services.Store(name, made)
	return made
}

func (load *load) first(count int) {
	load.retries.First(count)
	load.hedges.First(count)
}

// Load is the state of one service at this host, for people.
type Load struct {
	Service  string
	Limits   []float64
	InFlight []int
	First    uint64
	Retries  uint64
	Hedges   uint64
}

// Loads returns the state of all services in use, in no order.
func (coordinator *Coordinator) Loads() []Load {
	var all []Load
	coordinator.services.Range(func(name, value any) bool {
		known := value.(*load)
		shown := Load{Service: name.(string)}
		for _, limiter := range known.limiters {
			limit, inFlight := limiter.Limit()
			shown.Limits = append(shown.Limits, limit)
			shown.InFlight = append(shown.InFlight, inFlight)
		}
		shown.First, shown.Retries, _ = known.retries.Counts()
		_, shown.Hedges, _ = known.hedges.Counts()
		all = append(all, shown)
		return true
	})
	return all
}
