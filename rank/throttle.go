package rank

import (
	"math"
	"sync"
	"time"
)

// Throttle refuses a part of the requests for services that can't serve all in
// time. It follows the share of requests that were in time, as the adaptive
// throttling of the SRE book's chapter on overload does, and looks at more
// urgent ranks as well: what makes them late is refused first. Set the fields
// before use.
type Throttle struct {
	// Now is the clock.
	Now func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64

	mu    sync.Mutex
	ranks map[int]*record
}

const (
	// throttleFactor times the requests in time are admitted: less would refuse
	// at chance misses, more would fill queues with late work.
	throttleFactor = 2.2
	// throttleFree requests are admitted whatever became of others, so that
	// recovery is seen.
	throttleFree = 3
	// throttleHalf is the time in which what was seen loses half its weight.
	throttleHalf = 1500 * time.Millisecond
	// urgentSamples of a more urgent rank make its lateness count.
	urgentSamples = 3
)

// record is what was seen of one rank, in decaying numbers. Requests that still
// run count for nothing.
type record struct {
	refused float64
	ended   float64
	inTime  float64
	at      time.Time
}

func (throttle *Throttle) record(rank int) *record {
	if throttle.ranks == nil {
		throttle.ranks = make(map[int]*record)
	}
	known := throttle.ranks[rank]
	if known == nil {
		known = &record{at: throttle.Now()}
		throttle.ranks[rank] = known
	}
	known.decay(throttle.Now())
	return known
}

func (record *record) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(record.at)) / float64(throttleHalf))
	record.refused *= factor
	record.ended *= factor
	record.inTime *= factor
	record.at = now
}

// Admit decides on a request and returns the chance it had to be refused.
func (throttle *Throttle) Admit(rank int) (admitted bool, refusal float64) {
	throttle.mu.Lock()
	defer throttle.mu.Unlock()
	own := throttle.record(rank)
	served := own.inTime * throttleFactor * throttle.urgent(rank)
	asked := own.ended + own.refused
	refusal = max(0, (asked-served-throttleFree)/(asked+1))
	if throttle.Random() < refusal {
		own.refused++
		return false, refusal
	}
	return true, refusal
}

// urgent returns 1 while more urgent ranks are in time, and less the more of
// them are late.
func (throttle *Throttle) urgent(rank int) float64 {
	least := 1.0
	for other := range throttle.ranks {
		if other >= rank {
			continue
		}
		seen := throttle.record(other)
		if seen.ended >= urgentSamples {
			least = min(least, throttleFactor*seen.inTime/seen.ended)
		}
	}
	return least
}

// Done records whether an admitted request was answered in time.
func (throttle *Throttle) Done(rank int, inTime bool) {
	throttle.mu.Lock()
	defer throttle.mu.Unlock()
	own := throttle.record(rank)
	own.ended++
	if inTime {
		own.inTime++
	}
}
