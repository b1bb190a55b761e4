// Package replica selects a replica of a shard by what this host has measured
// of each one. Load reports of backend servers are not used, since they lag.
package replica

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"
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
	// minSampleWeight is the minimum weight of a new sample in the average.
	// averageTimeConstant is the time after which the history weighs 1/e: a
	// host that sends one request a second to a replica has to learn from one
	// sample.
	minSampleWeight     = 1.0 / 8
	averageTimeConstant = time.Second
	// failurePenalty is the minimum time that a failed attempt is recorded
	// with.
	failurePenalty = 500 * time.Millisecond
	// averageHalfLife is the time without a sample after which an average
	// counts half.
	averageHalfLife = 2 * time.Second
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
	outstanding         int
	picks               int
	queueLength         int
	average             time.Duration
	measuredAt          time.Time
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

// Pick returns the index of the replica that gets the next attempt, and counts
// the attempt as outstanding. It is the better of two random replicas, or the
// best of all when Distance is set. Ejected replicas are picked only when no
// other is eligible. Pick returns -1 when addresses is empty.
func (picker *Picker) Pick(addresses []string) int {
	if len(addresses) == 0 {
		return -1
	}
	eligible := picker.eligible(addresses)
	if len(eligible) == 0 {
		chosen := picker.Random(len(addresses))
		picker.Start(addresses[chosen])
		return chosen
	}
	choose := picker.betterOfTwo
	if picker.Distance != nil {
		choose = picker.best
	}
	chosen := choose(addresses, eligible)
	picker.Start(addresses[chosen])
	return chosen
}

// betterOfTwo returns the better of two random replicas, so that hosts with the
// same measurements do not all pick one replica.
func (picker *Picker) betterOfTwo(addresses []string, eligible []int) int {
	first := eligible[picker.Random(len(eligible))]
	second := eligible[picker.Random(len(eligible))]
	for len(eligible) > 1 && second == first {
		second = eligible[picker.Random(len(eligible))]
	}
	if picker.score(addresses[second]) < picker.score(addresses[first]) {
		return second
	}
	return first
}

// best returns the replica with the lowest score. Distances differ from host to
// host, so that hosts do not all pick one replica.
func (picker *Picker) best(addresses []string, eligible []int) int {
	start := picker.Random(len(eligible))
	chosen, lowest := -1, 0.0
	for offset := range eligible {
		index := eligible[(start+offset)%len(eligible)]
		if score := picker.score(addresses[index]); chosen < 0 || score < lowest {
			chosen, lowest = index, score
		}
	}
	return chosen
}

// Start counts an attempt as outstanding.
func (picker *Picker) Start(address string) {
	picker.withState(address, func(state *state) {
		state.outstanding++
		state.picks++
	})
}

func (picker *Picker) eligible(addresses []string) []int {
	var eligible []int
	now := picker.Now()
	for index, address := range addresses {
		picker.withState(address, func(state *state) {
			if now.Before(state.ejectedUntil) {
				return
			}
			if picker.admitsRamp(state, now) {
				eligible = append(eligible, index)
			}
		})
	}
	return eligible
}

// admitsRamp admits a replica after its ejection with a probability that grows
// over rampDuration.
func (picker *Picker) admitsRamp(state *state, now time.Time) bool {
	elapsed := now.Sub(state.rampStart)
	if state.rampStart.IsZero() || elapsed >= rampDuration {
		return true
	}
	const steps = 1000
	return picker.Random(steps) < max(steps/20, int(steps*elapsed/rampDuration))
}

// score is the expected time of one more attempt, with penalties.
func (picker *Picker) score(address string) (score float64) {
	now := picker.Now()
	picker.withState(address, func(state *state) {
		score = float64(state.expectedTime(now)+1) * float64(1+state.outstanding+state.queueLength)
	})
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
	// QueueLength is the length of the replica's queue, as its reply gives it.
	QueueLength int
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
			state.addLowerBound(result.Latency, now)
		case result.Failed:
			state.addSample(max(result.Latency, failurePenalty), now)
			state.recordFailure(result.Unreachable, now)
		default:
			state.recordSuccess(result, now)
		}
	})
}

// expectedTime is the average time, halved for each averageHalfLife without a
// sample.
func (state *state) expectedTime(now time.Time) time.Duration {
	halvings := now.Sub(state.measuredAt) / averageHalfLife
	return state.average >> min(halvings, 62)
}

func (state *state) addSample(latency time.Duration, now time.Time) {
	expected := state.expectedTime(now)
	if expected <= time.Microsecond {
		expected = latency
	}
	weight := max(minSampleWeight, 1-math.Exp(-float64(now.Sub(state.measuredAt))/float64(averageTimeConstant)))
	state.average = time.Duration((1-weight)*float64(expected) + weight*float64(latency))
	state.measuredAt = now
}

// addLowerBound adds a sample that is only a lower bound of the replica's time.
// It counts when it exceeds the expected time.
func (state *state) addLowerBound(latency time.Duration, now time.Time) {
	if latency > state.expectedTime(now) {
		state.addSample(latency, now)
	}
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
	state.average = 0
}

func (state *state) recordSuccess(result Result, now time.Time) {
	state.consecutiveFailures = 0
	state.queueLength = result.QueueLength
	if now.Sub(state.rampStart) >= rampDuration {
		state.ejections = 0
	}
	state.addSample(result.Latency, now)
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

// Status is the state of a replica as operators see it.
type Status struct {
	Address     string
	Outstanding int
	Average     time.Duration
	Ejected     bool
}

// Status returns the state of a replica.
func (picker *Picker) Status(address string) Status {
	status := Status{Address: address}
	picker.withState(address, func(state *state) {
		status.Outstanding = state.outstanding
		status.Average = state.average
		status.Ejected = picker.Now().Before(state.ejectedUntil)
	})
	return status
}
