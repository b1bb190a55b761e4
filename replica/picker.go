// Package replica chooses among the replicas of a shard by what this host has
// seen of them. Load reports of backend servers are not used: they lag.
package replica

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// ejectAfter is the number of failures in a row that eject a replica.
	ejectAfter = 3
	// ejectLeast and ejectMost bound how long a replica stays ejected.
	ejectLeast = 250 * time.Millisecond
	ejectMost  = 10 * time.Second
	// rampTime is how long a returning replica takes to get its whole share.
	rampTime = 5 * time.Second
	// sampleWeight is the least weight of a new sample, and learnTime the time
	// after which history weighs 1/e: a host that sees a replica once a second has
	// to learn from one sample.
	sampleWeight = 1.0 / 8
	learnTime    = time.Second
	// failurePenalty is the time that a failed try counts as.
	failurePenalty = 500 * time.Millisecond
	// forgetTime halves a measured time that has not been renewed.
	forgetTime = 2 * time.Second
	// suspectPenalty is the expected time that the other replicas have to save
	// before a suspected one is used: more than another failure domain costs, so
	// that its work moves there, while a full one still shares its load.
	suspectPenalty = 80 * time.Millisecond
)

// Picker holds what is known of replicas. Set the fields before use.
type Picker struct {
	// Now is the clock.
	Now func() time.Time
	// Random returns a number in [0, n).
	Random func(n int) int
	// Distance makes a replica dearer by a time, as one that is further away; nil
	// takes all alike.
	Distance func(address string) time.Duration
	// Suspected reports whether a replica leaves requests late in a row; it may
	// be nil.
	Suspected func(address string) bool

	states sharded[*state]
}

// state is what this host knows of one replica.
type state struct {
	outstanding int
	chosen      int
	waiting     int
	average     time.Duration
	measured    time.Time
	failures    int
	ejections   int
	ejectedTo   time.Time
	returned    time.Time
}

// New returns a picker that uses the real clock and random numbers.
func New() *Picker {
	return &Picker{Now: time.Now, Random: rand.IntN}
}

func (picker *Picker) with(address string, use func(*state)) {
	picker.states.with(address, func(states map[string]*state) {
		known := states[address]
		if known == nil {
			known = &state{}
			states[address] = known
		}
		use(known)
	})
}

// Pick returns the place of the replica to try among addresses: the better of
// two at random, or the best when distances differ, ejected ones only when
// there is no other. It returns -1 when
// there is none, and counts the try as outstanding otherwise.
func (picker *Picker) Pick(addresses []string) int {
	if len(addresses) == 0 {
		return -1
	}
	open := picker.eligible(addresses)
	if len(open) == 0 {
		chosen := picker.Random(len(addresses))
		picker.Start(addresses[chosen])
		return chosen
	}
	choose := picker.better
	if picker.Distance != nil {
		choose = picker.best
	}
	chosen := choose(addresses, open)
	picker.Start(addresses[chosen])
	return chosen
}

// better returns the better of two at random, so that hosts that know the same
// do not all go to one replica.
func (picker *Picker) better(addresses []string, open []int) int {
	first := open[picker.Random(len(open))]
	second := open[picker.Random(len(open))]
	for len(open) > 1 && second == first {
		second = open[picker.Random(len(open))]
	}
	if picker.score(addresses[second]) < picker.score(addresses[first]) {
		return second
	}
	return first
}

// best returns the best of all. Distances differ from host to host, which spreads
// the hosts.
func (picker *Picker) best(addresses []string, open []int) int {
	start := picker.Random(len(open))
	chosen, least := -1, 0.0
	for step := range open {
		place := open[(start+step)%len(open)]
		if score := picker.score(addresses[place]); chosen < 0 || score < least {
			chosen, least = place, score
		}
	}
	return chosen
}

// Start counts a try as outstanding.
func (picker *Picker) Start(address string) {
	picker.with(address, func(known *state) {
		known.outstanding++
		known.chosen++
	})
}

func (picker *Picker) eligible(addresses []string) []int {
	var open []int
	now := picker.Now()
	for place, address := range addresses {
		picker.with(address, func(known *state) {
			if now.Before(known.ejectedTo) {
				return
			}
			if picker.admitsRamp(known, now) {
				open = append(open, place)
			}
		})
	}
	return open
}

// admitsRamp lets a returning replica take part with growing probability.
func (picker *Picker) admitsRamp(known *state, now time.Time) bool {
	since := now.Sub(known.returned)
	if known.returned.IsZero() || since >= rampTime {
		return true
	}
	const steps = 1000
	return picker.Random(steps) < max(steps/20, int(steps*since/rampTime))
}

// score is the expected time of one more try.
func (picker *Picker) score(address string) (score float64) {
	now := picker.Now()
	picker.with(address, func(known *state) {
		score = float64(known.expected(now)+1) * float64(1+known.outstanding+known.waiting)
	})
	if picker.Distance != nil {
		score += float64(picker.Distance(address))
	}
	if picker.Suspected != nil && picker.Suspected(address) {
		score += float64(suspectPenalty)
	}
	return score
}

// Result is how a try ended.
type Result struct {
	// Took is the time of the try.
	Took time.Duration
	// Waiting is the length of the replica's queue in the reply.
	Waiting int
	// Failed is set when the replica did not answer, shed or refused.
	Failed bool
	// Lost is set when the replica could not be reached at all.
	Lost bool
	// Cancelled is set when this host gave the try up; it tells only that the
	// replica took at least that long.
	Cancelled bool
}

// Done records the end of a try.
func (picker *Picker) Done(address string, result Result) {
	now := picker.Now()
	picker.with(address, func(known *state) {
		known.outstanding--
		switch {
		case result.Cancelled:
			known.atLeast(result.Took, now)
		case result.Failed:
			known.sample(max(result.Took, failurePenalty), now)
			known.fail(result.Lost, now)
		default:
			known.succeed(result, now)
		}
	})
}

// expected is the average time, halved for each forgetTime without a sample.
func (known *state) expected(now time.Time) time.Duration {
	halvings := now.Sub(known.measured) / forgetTime
	return known.average >> min(halvings, 62)
}

func (known *state) sample(took time.Duration, now time.Time) {
	expected := known.expected(now)
	if expected <= time.Microsecond {
		expected = took
	}
	weight := max(sampleWeight, 1-math.Exp(-float64(now.Sub(known.measured))/float64(learnTime)))
	known.average = time.Duration((1-weight)*float64(expected) + weight*float64(took))
	known.measured = now
}

func (known *state) atLeast(took time.Duration, now time.Time) {
	if took > known.expected(now) {
		known.sample(took, now)
	}
}

func (known *state) fail(lost bool, now time.Time) {
	known.failures++
	if !lost && known.failures < ejectAfter {
		return
	}
	known.ejections++
	wait := min(ejectMost, ejectLeast<<min(known.ejections, 8))
	known.ejectedTo = now.Add(wait)
	known.returned = known.ejectedTo
	known.failures = 0
	// The penalty served to avoid the replica; the ramp does that from now on.
	known.average = 0
}

func (known *state) succeed(result Result, now time.Time) {
	known.failures = 0
	known.waiting = result.Waiting
	if now.Sub(known.returned) >= rampTime {
		known.ejections = 0
	}
	known.sample(result.Took, now)
}

// Forget drops what is known of a replica that is gone.
func (picker *Picker) Forget(address string) {
	picker.states.with(address, func(states map[string]*state) {
		if known := states[address]; known != nil && known.outstanding == 0 {
			delete(states, address)
		}
	})
}

// Status is what is known of a replica, for people.
type Status struct {
	Address     string
	Outstanding int
	Average     time.Duration
	Ejected     bool
}

// Status returns what is known of a replica.
func (picker *Picker) Status(address string) Status {
	status := Status{Address: address}
	picker.with(address, func(known *state) {
		status.Outstanding = known.outstanding
		status.Average = known.average
		status.Ejected = picker.Now().Before(known.ejectedTo)
	})
	return status
}
