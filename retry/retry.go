// Package retry limits the extra load caused by retries and hedges.
package retry

import (
	"cmp"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Budget is a token bucket that limits extra sub-requests to a ratio of the
// first ones. All layers of one entry host use the same budget of a service.
type Budget struct {
	// Ratio is the number of tokens earned by each first sub-request. An extra
	// sub-request costs one token.
	Ratio float64
	// Burst is the maximum number of tokens.
	Burst float64
	// StartFull makes the budget start with Burst tokens instead of none.
	StartFull bool
	// Random returns a number in [0, 1). If it is set, fractions of a token that are
	// asked for are added up, and each whole one is spent. The sum begins with a
	// random fraction. With a budget shared by many hosts each has only a fraction
	// of a token, which would otherwise be unusable; over all hosts about as many
	// are spent as were earned. If it is nil, only whole tokens are spent.
	Random func() float64

	mu     sync.Mutex
	tokens float64
	// carry is the sum of the fractions, less the tokens spent of it. carrying is
	// set when it has its initial value.
	carry    float64
	carrying bool
	first    uint64
	extra    uint64
	denied   uint64
}

// SetLimits changes Ratio and Burst.
func (budget *Budget) SetLimits(ratio, burst float64) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.Ratio = ratio
	budget.Burst = burst
	budget.tokens = min(burst, budget.tokens)
}

// fillOnce adds the initial tokens of a budget with StartFull set.
func (budget *Budget) fillOnce() {
	if budget.StartFull {
		budget.StartFull = false
		budget.tokens = budget.Burst
	}
}

// RecordFirst records a number of first sub-requests.
func (budget *Budget) RecordFirst(count int) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.first += uint64(count)
	budget.fillOnce()
	budget.tokens = min(budget.Burst, budget.tokens+budget.Ratio*float64(count))
}

// Take takes a token for one extra sub-request. It reports whether the
// sub-request may be sent.
func (budget *Budget) Take() bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.fillOnce()
	if !budget.spend() {
		budget.denied++
		return false
	}
	budget.extra++
	return true
}

// UnderHalf reports whether less than half of the tokens are left that the budget
// holds at most.
func (budget *Budget) UnderHalf() bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.fillOnce()
	return budget.tokens < budget.Burst/2
}

// HasToken reports whether a whole token is left.
func (budget *Budget) HasToken() bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.fillOnce()
	return budget.tokens >= 1
}

// spend takes one token. If only a fraction of one is left and Random is set, it
// adds the fraction to the carry and succeeds when that makes a whole token.
func (budget *Budget) spend() bool {
	if budget.tokens >= 1 {
		budget.tokens--
		return true
	}
	if budget.Random == nil {
		return false
	}
	if !budget.carrying {
		budget.carrying, budget.carry = true, budget.Random()
	}
	budget.carry += budget.tokens
	budget.tokens = 0
	if budget.carry < 1 {
		return false
	}
	budget.carry--
	return true
}

// Refund returns the token of an extra sub-request that was not executed.
func (budget *Budget) Refund() {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.extra--
	budget.tokens = min(budget.Burst, budget.tokens+1)
}

// Counts returns the number of first, extra and denied sub-requests so far.
func (budget *Budget) Counts() (first, extra, denied uint64) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	return budget.first, budget.extra, budget.denied
}

// HedgeDelay estimates the time after which a sub-request is hedged: a high
// quantile of recent latencies.
type HedgeDelay struct {
	// Quantile is in percent.
	Quantile float64
	// Min is the minimum delay.
	Min time.Duration
	// Samples is the number of latencies in one estimate; 0 means 500.
	Samples int64

	mu      sync.Mutex
	current *hdrhistogram.Histogram
	delay   time.Duration
}

const (
	// defaultSamples leaves ten samples above the 98th percentile.
	defaultSamples = 500
	maxMicros      = 60_000_000
	// significantDigits is the precision of the histogram.
	significantDigits = 2
)

// Add records the latency of a sub-request.
func (hedgeDelay *HedgeDelay) Add(latency time.Duration) {
	hedgeDelay.mu.Lock()
	defer hedgeDelay.mu.Unlock()
	if hedgeDelay.current == nil {
		hedgeDelay.current = hdrhistogram.New(1, maxMicros, significantDigits)
	}
	hedgeDelay.current.RecordValue(min(maxMicros, max(1, latency.Microseconds())))
	if hedgeDelay.current.TotalCount() < cmp.Or(hedgeDelay.Samples, defaultSamples) {
		return
	}
	quantile := time.Duration(hedgeDelay.current.ValueAtQuantile(hedgeDelay.Quantile)) * time.Microsecond
	hedgeDelay.delay = max(hedgeDelay.Min, quantile)
	hedgeDelay.current.Reset()
}

// Current returns the delay, or false until there are enough samples for the
// first estimate.
func (hedgeDelay *HedgeDelay) Current() (time.Duration, bool) {
	hedgeDelay.mu.Lock()
	defer hedgeDelay.mu.Unlock()
	return hedgeDelay.delay, hedgeDelay.delay > 0
}
