// Package retry bounds the extra load that retries and hedges make.
package retry

import (
	"cmp"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Budget lets extra sub-requests through as a share of the first ones. All
// layers of one entry host draw on the same budget of a service.
type Budget struct {
	// Ratio is the extra sub-requests for each first one.
	Ratio float64
	// Burst bounds what is saved up, in sub-requests.
	Burst float64
	// Full starts the budget with all that may be saved up.
	Full bool
	// Random returns a number in [0, 1). With it a part of a sub-request that is
	// saved up is a chance of one, so that the many small parts of a budget that
	// hosts share are of use and add up. Without it only whole ones are spent.
	Random func() float64

	mu     sync.Mutex
	tokens float64
	first  uint64
	extra  uint64
	denied uint64
}

// Bound changes the ratio, and what may be saved up in sub-requests.
func (budget *Budget) Bound(ratio, burst float64) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.Ratio = ratio
	budget.Burst = burst
	budget.tokens = min(burst, budget.tokens)
}

func (budget *Budget) start() {
	if budget.Full {
		budget.Full = false
		budget.tokens = budget.Burst
	}
}

// First records a number of first sub-requests.
func (budget *Budget) First(count int) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.first += uint64(count)
	budget.start()
	budget.tokens = min(budget.Burst, budget.tokens+budget.Ratio*float64(count))
}

// Take reports whether one extra sub-request may be sent, and counts it.
func (budget *Budget) Take() bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if !budget.spend() {
		budget.denied++
		return false
	}
	budget.extra++
	return true
}

// spend takes one token, or all of a part of one for that chance.
func (budget *Budget) spend() bool {
	if budget.tokens >= 1 {
		budget.tokens--
		return true
	}
	if budget.Random == nil {
		return false
	}
	chance := budget.tokens
	budget.tokens = 0
	return budget.Random() < chance
}

// Refund gives back what Take took for a sub-request that did not run.
func (budget *Budget) Refund() {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.extra--
	budget.tokens = min(budget.Burst, budget.tokens+1)
}

// Counts returns the first, extra and denied sub-requests so far.
func (budget *Budget) Counts() (first, extra, denied uint64) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	return budget.first, budget.extra, budget.denied
}

// Delay says after what time a sub-request is hedged: a high quantile of the
// times seen lately.
type Delay struct {
	// Quantile is in percent.
	Quantile float64
	// Least bounds the delay from below.
	Least time.Duration
	// Samples make one estimate; 0 means 500.
	Samples int64

	mu      sync.Mutex
	current *hdrhistogram.Histogram
	delay   time.Duration
}

const (
	// usualSamples make an estimate of the 98th percentile from ten of them.
	usualSamples = 500
	maxMicros    = 60_000_000
	digits       = 2
)

// Add records the time of a sub-request.
func (delay *Delay) Add(took time.Duration) {
	delay.mu.Lock()
	defer delay.mu.Unlock()
	if delay.current == nil {
		delay.current = hdrhistogram.New(1, maxMicros, digits)
	}
	delay.current.RecordValue(min(maxMicros, max(1, took.Microseconds())))
	if delay.current.TotalCount() < cmp.Or(delay.Samples, usualSamples) {
		return
	}
	quantile := time.Duration(delay.current.ValueAtQuantile(delay.Quantile)) * time.Microsecond
	delay.delay = max(delay.Least, quantile)
	delay.current.Reset()
}

// After returns the delay, or false while too little is known.
func (delay *Delay) After() (time.Duration, bool) {
	delay.mu.Lock()
	defer delay.mu.Unlock()
	return delay.delay, delay.delay > 0
}
