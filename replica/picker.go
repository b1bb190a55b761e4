// Package replica selects a replica of a shard by what this host knows of each
// one: what it has measured, and what replicas report with replies.
package replica

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"fescuehall/estimate"
)

const (
	// ejectAfterFailures is the number of consecutive failures that eject a
	// replica.
	ejectAfterFailures = 3
	// A replica's nth consecutive ejection lasts ejectionBase<<n, and at most
	// maxEjection.
	ejectionBase = 250 * time.Millisecond
	maxEjection  = 10 * time.Second
	// rampDuration is how long a replica takes after an ejection to get its
	// full share of requests again.
	rampDuration = 5 * time.Second
	// failurePenalty is the minimum time that a failed attempt is recorded
	// with.
	failurePenalty = 500 * time.Millisecond
	// maxSilence bounds the time without a reply that counts. It exceeds the pauses
	// of replicas.
	maxSilence = time.Second
	// suspectPenalty is added to the score of a suspected replica. It exceeds
	// the extra cost of another failure domain, so that requests move there,
	// but lets the suspected replica take load when the others are busy.
	suspectPenalty = 80 * time.Millisecond
)

// Picker selects replicas by their measured times, queues and failures. Set the
// fields before use.
type Picker struct {
	// Now is the clock.
	Now func() time.Time
	// Random returns a number in [0, n).
	Random func(n int) int
	// Distance returns a time that is added to a replica's score, such as the
	// network delay to it; nil adds none.
	Distance func(address string) time.Duration
	// Suspected reports whether a replica has had consecutive late replies; it
	// may be nil.
	Suspected func(address string) bool

	states sharded[*state]
	// pausesEnd is the latest end of a pause, nil before the first one, so that
	// nothing is looked up while no pause lasts.
	pausesEnd atomic.Pointer[time.Time]
}

// state is what this host has measured of one replica.
type state struct {
	outstanding int
	picks       int
	estimate    estimate.Estimate
	// silentSince is since when the replica has had requests of this host and has
	// replied to none.
	silentSince         time.Time
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
	rampStart           time.Time
	// pausedUntil is when the pause ends that the replica asked for.
	pausedUntil time.Time
}

// New returns a picker that uses the real clock and random numbers.
func New() *Picker {
	return &Picker{Now: time.Now, Random: rand.IntN}
}

func (picker *Picker) withState(address string, use func(*state)) {
	picker.states.withShard(address, func(states map[string]*state) {
		found := states[address]
		if found == nil {
			found = &state{}
			states[address] = found
		}
		use(found)
	})
}

// maxJudged is the number of replicas that Pick judges without an allocation.
const maxJudged = 16

// judged is a replica that may be picked.
type judged struct {
	index int
	score float64
}

// Pick returns the index of the replica that gets the next attempt, and counts
// the attempt as outstanding. It is the better of two random replicas, or the
// best of all when Distance is set. Ejected replicas are picked only when no
// other is eligible. Pick returns -1 when addresses is empty.
func (picker *Picker) Pick(addresses []string) int {
	if len(addresses) == 0 {
		return -1
	}
	now := picker.Now()
	chosen := picker.choose(addresses, now)
	picker.startAt(addresses[chosen], now)
	return chosen
}

// PickAdmitted picks as Pick does, among the replicas that admits admits, or all if it
// is nil. It asks only about the one that it would pick, by its index, then about the
// next best.
func (picker *Picker) PickAdmitted(addresses []string, admits func(index int) bool) int {
	if admits == nil {
		return picker.Pick(addresses)
	}
	now := picker.Now()
	remaining, indexes := slices.Clone(addresses), make([]int, len(addresses))
	for index := range indexes {
		indexes[index] = index
	}
	for len(remaining) > 0 {
		chosen := picker.choose(remaining, now)
		if admits(indexes[chosen]) {
			picker.startAt(remaining[chosen], now)
			return indexes[chosen]
		}
		remaining, indexes = slices.Delete(remaining, chosen, chosen+1), slices.Delete(indexes, chosen, chosen+1)
	}
	return -1
}

// choose returns the index of the replica that gets the next attempt. There is at least
// one.
func (picker *Picker) choose(addresses []string, now time.Time) int {
	var buffer [maxJudged]judged
	eligible := picker.judge(buffer[:0], addresses, now)
	switch {
	case len(eligible) == 0:
		return picker.Random(len(addresses))
	case picker.Distance != nil:
		return picker.best(eligible)
	}
	return picker.betterOfTwo(eligible)
}

// betterOfTwo returns the better of two random replicas, so that hosts with the
// same measurements do not all pick one replica.
func (picker *Picker) betterOfTwo(eligible []judged) int {
	first := eligible[picker.Random(len(eligible))]
	second := eligible[picker.Random(len(eligible))]
	for len(eligible) > 1 && second == first {
		second = eligible[picker.Random(len(eligible))]
	}
	if second.score < first.score {
		return second.index
	}
	return first.index
}

// best returns the replica with the lowest score. Distances differ from host to
// host, so that hosts do not all pick one replica.
func (picker *Picker) best(eligible []judged) int {
	start := picker.Random(len(eligible))
	best := eligible[start]
	for offset := range eligible {
		if candidate := eligible[(start+offset)%len(eligible)]; candidate.score < best.score {
			best = candidate
		}
	}
	return best.index
}

// Start counts an attempt as outstanding.
func (picker *Picker) Start(address string) {
	picker.startAt(address, picker.Now())
}

func (picker *Picker) startAt(address string, now time.Time) {
	picker.withState(address, func(state *state) {
		if state.outstanding == 0 {
			state.silentSince = now
		}
		state.outstanding++
		state.picks++
	})
}

// judge appends the replicas that are not ejected, and those that are admitted
// after an ejection, with their scores.
func (picker *Picker) judge(eligible []judged, addresses []string, now time.Time) []judged {
	for index, address := range addresses {
		ejected, ramp, expected := false, 1.0, 1.0
		picker.states.withShard(address, func(states map[string]*state) {
			if state := states[address]; state != nil {
				ejected, ramp, expected = now.Before(state.ejectedUntil), state.ramp(now), state.expectedTime(now)
			}
		})
		if !ejected && picker.admitsRamp(ramp) {
			eligible = append(eligible, judged{index: index, score: picker.withPenalties(expected, address)})
		}
	}
	return eligible
}

// admitsRamp admits a replica after its ejection with the probability ramp.
func (picker *Picker) admitsRamp(ramp float64) bool {
	const steps = 1000
	return ramp >= 1 || picker.Random(steps) < int(steps*ramp)
}

// ramp is the probability with which a replica is admitted after its ejection. It
// grows over rampDuration.
func (state *state) ramp(now time.Time) float64 {
	const minRamp = 0.05
	elapsed := now.Sub(state.rampStart)
	if state.rampStart.IsZero() || elapsed >= rampDuration {
		return 1
	}
	return max(minRamp, float64(elapsed)/float64(rampDuration))
}

// withPenalties returns the score of a replica: the expected time of one more attempt,
// with penalties.
func (picker *Picker) withPenalties(expected float64, address string) float64 {
	score := expected
	if picker.Distance != nil {
		score += float64(picker.Distance(address))
	}
	if picker.Suspected != nil && picker.Suspected(address) {
		score += float64(suspectPenalty)
	}
	return score
}

// Result describes how an attempt ended.
type Result struct {
	// Latency is the duration of the attempt.
	Latency time.Duration
	// Load is the load that the replica reported with its reply.
	Load estimate.Load
	// Failed is set when the replica did not answer, or shed or refused the
	// request.
	Failed bool
	// Unreachable is set when the replica could not be reached at all.
	Unreachable bool
	// Cancelled is set when this host abandoned the attempt. Latency is then
	// only a lower bound of the replica's time.
	Cancelled bool
}

// Done records the end of an attempt.
func (picker *Picker) Done(address string, result Result) {
	now := picker.Now()
	picker.withState(address, func(state *state) {
		state.outstanding--
		switch {
		case result.Cancelled:
			state.estimate = state.estimate.WithLowerBound(result.Latency, now)
		case result.Failed:
			state.estimate = state.estimate.WithSample(max(result.Latency, failurePenalty), now)
			state.recordFailure(result.Unreachable, now)
		default:
			state.recordSuccess(result, now)
		}
	})
}

// expectedTime is the time that one more request is expected to take, in
// nanoseconds.
func (state *state) expectedTime(now time.Time) float64 {
	return float64(max(state.estimate.Time(now), state.silence(now))+1) * (1 + float64(state.outstanding) + state.estimate.Waiting(now))
}

// silence is how long the replica has not replied to requests that it has, at most
// maxSilence: its next reply takes at least that long.
func (state *state) silence(now time.Time) time.Duration {
	if state.outstanding == 0 {
		return 0
	}
	return min(max(now.Sub(state.silentSince), 0), maxSilence)
}

// recordFailure ejects an unreachable replica at once, and others after
// ejectAfterFailures failures.
func (state *state) recordFailure(unreachable bool, now time.Time) {
	state.consecutiveFailures++
	if !unreachable && state.consecutiveFailures < ejectAfterFailures {
		return
	}
	state.ejections++
	ejection := min(maxEjection, ejectionBase<<min(state.ejections, 8))
	state.ejectedUntil = now.Add(ejection)
	state.rampStart = state.ejectedUntil
	state.consecutiveFailures = 0
	// failurePenalty in the average kept requests away until now; the ejection
	// and the ramp do so from here on.
	state.estimate = state.estimate.WithoutTimes()
}

func (state *state) recordSuccess(result Result, now time.Time) {
	state.consecutiveFailures = 0
	if now.Sub(state.rampStart) >= rampDuration {
		state.ejections = 0
	}
	state.silentSince = now
	state.estimate = state.estimate.WithLoad(result.Load, now).WithSample(result.Latency, now)
}

// Forget drops the state of a replica that no longer exists, unless attempts
// are outstanding or it is paused.
func (picker *Picker) Forget(address string) {
	picker.states.withShard(address, func(states map[string]*state) {
		if state := states[address]; state != nil && state.outstanding == 0 && !picker.Now().Before(state.pausedUntil) {
			delete(states, address)
		}
	})
}
