package rank

import (
	"maps"
	"math"
	"sync"
	"time"

	"fescuehall/share"
)

// Throttle refuses a part of the requests for services that can't answer all of
// them in time. The probability of refusal depends on the share of requests
// that were answered in time, as in the adaptive throttling of the SRE book's
// chapter on overload. It also rises when requests of more urgent ranks are
// late, so that the less urgent requests that delay them are refused first. Of a
// rank's requests, those of workspaces that send more than their fair share are
// refused first. Set the fields before use.
type Throttle struct {
	// Now is the clock.
	Now func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64

	mu    sync.Mutex
	ranks map[int]*rankCounts
	// arrived counts the requests of workspaces of all ranks, also those that other
	// hosts have admitted.
	arrived share.Counts
}

const (
	// throttleFactor is the ratio of requests to requests answered in time
	// above which requests are refused. A lower one would refuse requests after
	// random late answers; a higher one would fill queues with requests that
	// end late.
	throttleFactor = 2.2
	// alwaysAdmitted is the number of requests admitted beyond that ratio, so that
	// recovery is noticed.
	alwaysAdmitted = 3
	// countHalfLife is the half-life of the counts.
	countHalfLife = 1500 * time.Millisecond
	// minUrgentSamples is the number of completed requests of a more urgent rank
	// from which its late answers are taken into account.
	minUrgentSamples = 3
	// leastServed is the share of a workspace's requests that are admitted at least,
	// relative to that of all requests of its rank. Under a quarter counts as
	// starved; the rest covers differences by chance.
	leastServed = 0.3
	// maxRanks is the number of ranks from which those without recent requests are
	// dropped, so that neither memory nor the time for a request grows with the ranks
	// that were ever used. idleHalfLives is the time without a request after which
	// little is left of a rank's counts.
	maxRanks      = 64
	idleHalfLives = 16
)

// rankCounts counts the requests of one rank by outcome, with exponential
// decay. Running requests are not counted.
type rankCounts struct {
	refused   float64
	completed float64
	inTime    float64
	updatedAt time.Time
	// usedAt is when a request of the rank was last admitted, refused or completed.
	usedAt time.Time
	// sent counts the requests of each workspace, refused ones included.
	sent share.Counts
}

// counts returns the counts of a rank, decayed to the current time.
func (throttle *Throttle) counts(rank int) *rankCounts {
	if throttle.ranks == nil {
		throttle.ranks = make(map[int]*rankCounts)
	}
	counts := throttle.ranks[rank]
	if counts == nil {
		if len(throttle.ranks) >= maxRanks {
			throttle.dropIdle()
		}
		counts = &rankCounts{updatedAt: throttle.Now(), sent: share.Counts{HalfLife: countHalfLife}}
		throttle.ranks[rank] = counts
	}
	counts.decay(throttle.Now())
	return counts
}

// dropIdle drops the ranks without recent requests.
func (throttle *Throttle) dropIdle() {
	now := throttle.Now()
	maps.DeleteFunc(throttle.ranks, func(_ int, counts *rankCounts) bool {
		return now.Sub(counts.usedAt) >= idleHalfLives*countHalfLife
	})
}

func (counts *rankCounts) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(counts.updatedAt)) / float64(countHalfLife))
	counts.refused *= factor
	counts.completed *= factor
	counts.inTime *= factor
	counts.updatedAt = now
}

// Admit decides whether to admit a request of a workspace, empty if it has none, and
// returns the probability with which it was refused.
func (throttle *Throttle) Admit(rank int, workspace string) (admitted bool, refusalProbability float64) {
	throttle.mu.Lock()
	defer throttle.mu.Unlock()
	counts := throttle.counts(rank)
	refusalProbability = throttle.refusalProbability(counts, rank, workspace)
	if throttle.Random() < refusalProbability {
		counts.refused++
		return false, refusalProbability
	}
	return true, refusalProbability
}

// RefusalProbability returns the probability with which Admit would refuse a request
// now. It changes no state.
func (throttle *Throttle) RefusalProbability(rank int, workspace string) float64 {
	copied := &Throttle{Now: throttle.Now, ranks: make(map[int]*rankCounts)}
	throttle.mu.Lock()
	for other, counts := range throttle.ranks {
		copiedCounts := *counts
		if other == rank {
			copiedCounts.sent = counts.sent.Clone()
		}
		copied.ranks[other] = &copiedCounts
	}
	throttle.mu.Unlock()
	return copied.refusalProbability(copied.counts(rank), rank, workspace)
}

// refusalProbability counts a request that arrives and returns the probability with
// which it is refused. The caller holds the lock.
func (throttle *Throttle) refusalProbability(counts *rankCounts, rank int, workspace string) float64 {
	counts.usedAt = counts.updatedAt
	accepted := counts.inTime * throttleFactor * throttle.urgentFactor(rank)
	total := counts.completed + counts.refused
	refusalProbability := max(0, (total-accepted-alwaysAdmitted)/(total+1))
	if workspace != "" {
		counts.sent.Add(workspace, counts.updatedAt)
		refusalProbability = 1 - counts.sent.Admitted(workspace, 1-refusalProbability, leastServed)
	}
	return refusalProbability
}

// urgentFactor returns the factor by which late requests of more urgent ranks
// reduce the admitted requests of a rank: 1 if enough of them are answered in
// time, and less the more of them are late.
func (throttle *Throttle) urgentFactor(rank int) float64 {
	factor := 1.0
	for other := range throttle.ranks {
		if other >= rank {
			continue
		}
		counts := throttle.counts(other)
		if counts.completed >= minUrgentSamples {
			factor = min(factor, throttleFactor*counts.inTime/counts.completed)
		}
	}
	return factor
}

// RecordResult records the end of an admitted request, and whether it was
// answered in time.
func (throttle *Throttle) RecordResult(rank int, inTime bool) {
	throttle.mu.Lock()
	defer throttle.mu.Unlock()
	counts := throttle.counts(rank)
	counts.usedAt = counts.updatedAt
	counts.completed++
	if inTime {
		counts.inTime++
	}
}

// Ranks returns the number of ranks that have counts.
func (throttle *Throttle) Ranks() int {
	throttle.mu.Lock()
	defer throttle.mu.Unlock()
	return len(throttle.ranks)
}

// RecordArrival records a request of a workspace that is served here, whichever host
// has admitted it.
func (throttle *Throttle) RecordArrival(workspace string) {
	throttle.mu.Lock()
	defer throttle.mu.Unlock()
	throttle.arrived.HalfLife = countHalfLife
	throttle.arrived.Add(workspace, throttle.Now())
}

// AboveShare reports whether more of the requests that arrive are of a workspace than
// an equal share.
func (throttle *Throttle) AboveShare(workspace string) bool {
	throttle.mu.Lock()
	defer throttle.mu.Unlock()
	return throttle.arrived.Above(workspace, throttle.Now())
}
