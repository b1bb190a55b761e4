package query

import (
	"time"

	"fescuehall/rank"
	"fescuehall/retry"
)

const (
	// retryRatio and hedgeRatio bound the retries and the hedges of a service as
	// shares of its first attempts. Their sum bounds its extra load.
	retryRatio = 0.05
	hedgeRatio = 0.04
	extraBurst = 20
	// hedgeQuantile is the percentile of attempt durations after which an attempt
	// is hedged. The share of attempts above it is less than hedgeRatio.
	hedgeQuantile = 98
	minHedgeDelay = time.Millisecond
)

// limits holds the concurrency limiters of one service, one for each rank, its
// retry and hedge budgets and its hedge delay.
type limits struct {
	limiters   []*rank.Limiter
	retries    *retry.Budget
	hedges     *retry.Budget
	hedgeDelay *retry.HedgeDelay
}

// limitsOf returns the limits of a service. They are created on first use, and
// replaced when the configuration has more ranks than they have limiters.
func (coordinator *Coordinator) limitsOf(name string, ranks int) *limits {
	if stored, ok := coordinator.services.Load(name); ok && len(stored.(*limits).limiters) >= ranks {
		return stored.(*limits)
	}
	created := &limits{
		retries:    &retry.Budget{Ratio: retryRatio, Burst: extraBurst},
		hedges:     &retry.Budget{Ratio: hedgeRatio, Burst: extraBurst},
		hedgeDelay: &retry.HedgeDelay{Quantile: hedgeQuantile, Min: minHedgeDelay},
	}
	for range ranks {
		created.limiters = append(created.limiters, &rank.Limiter{Now: coordinator.Now})
	}
	coordinator.services.Store(name, created)
	return created
}

// addFirstAttempts credits both budgets with a number of first attempts.
func (limits *limits) addFirstAttempts(count int) {
	limits.retries.RecordFirst(count)
	limits.hedges.RecordFirst(count)
}

// Load is the load of one service as this host sees it, for the host's status.
// Limits and InFlight are indexed by rank; First, Retries and Hedges count
// sub-requests.
type Load struct {
	Service  string
	Limits   []float64
	InFlight []int
	First    uint64
	Retries  uint64
	Hedges   uint64
}

// Loads returns the load of each service that has had a request, in no
// particular order.
func (coordinator *Coordinator) Loads() []Load {
	var loads []Load
	coordinator.services.Range(func(name, value any) bool {
		limits := value.(*limits)
		load := Load{Service: name.(string)}
		for _, limiter := range limits.limiters {
			limit, inFlight := limiter.Limit()
			load.Limits = append(load.Limits, limit)
			load.InFlight = append(load.InFlight, inFlight)
		}
		load.First, load.Retries, _ = limits.retries.Counts()
		_, load.Hedges, _ = limits.hedges.Counts()
		loads = append(loads, load)
		return true
	})
	return loads
}
