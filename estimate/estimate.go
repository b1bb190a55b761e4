// Package estimate estimates how long the next request to a replica takes, from
// all that is known of the replica. Each part counts less the older it is. The
// package uses no clock and no network.
package estimate

import (
	"math"
	"time"
)

const (
	// averageHalfLife is the age at which a measured time counts half.
	averageHalfLife = 2 * time.Second
	// minSampleWeight is the minimum weight of a new sample in the average.
	// averageTimeConstant is the time after which the history weighs 1/e: a host
	// that sends one request a second to a replica has to learn from one sample.
	minSampleWeight     = 1.0 / 8
	averageTimeConstant = time.Second
	// loadHalfLife is the age at which a reported load counts half: a few service
	// times, in which a queue of a few requests is served.
	loadHalfLife = 500 * time.Millisecond
	// slownessHalfLife is the age at which a reported slowness counts half. It
	// changes several times a second.
	slownessHalfLife = 250 * time.Millisecond
	// maxTime bounds measured times, so that none keeps requests away for long.
	maxTime = 10 * time.Second
	// maxRequests bounds the reported numbers of requests.
	maxRequests = 1000
	// minSlowness and maxSlowness bound the reported slowness. usualSlowness is the
	// figure of a replica at its usual speed.
	minSlowness   = 0.5
	maxSlowness   = 4.0
	usualSlowness = 100
)

// Load is the load that a replica reports with a reply. The zero value means that
// it reports none.
type Load struct {
	// Running and Waiting count requests. Slots is how many can run at a time.
	Running, Waiting, Slots int
	// Slowness is the time that work takes there now in percent of the usual, 0 if
	// it is unknown.
	Slowness int
}

// figure is a value and the time of its latest sample.
type figure struct {
	value float64
	at    time.Time
}

// halved returns the weight of the figure: it is halved for each halfLife of its
// age, and 0 if there is no figure.
func (figure figure) halved(halfLife time.Duration, now time.Time) float64 {
	if figure.at.IsZero() {
		return 0
	}
	return halvings(float64(max(now.Sub(figure.at), 0)) / float64(halfLife))
}

// halvings returns 2 to the power of -count for a count of at least 0, linear
// between whole counts. It takes a fraction of the time of math.Exp2.
func halvings(count float64) float64 {
	const maxHalvings = 62
	if count >= maxHalvings {
		return 0
	}
	whole := uint64(count)
	return (1 - (count-float64(whole))/2) / float64(uint64(1)<<whole)
}

// age returns the age of the figure, negative if there is none.
func (figure figure) age(now time.Time) time.Duration {
	if figure.at.IsZero() {
		return -1
	}
	return max(now.Sub(figure.at), 0)
}

// Estimate is what a host knows of one replica. It is an immutable value; the zero
// value knows nothing.
type Estimate struct {
	// own is the average time of this host's samples in nanoseconds, at the replica's
	// usual speed if the replica reports its slowness.
	own figure
	// running and waiting are the requests at the replica, slowness the factor by
	// which work takes longer than usual there.
	running, waiting, slowness figure
}

// WithSample adds the time of a reply or of a failed attempt.
func (estimate Estimate) WithSample(latency time.Duration, now time.Time) Estimate {
	sample := float64(min(max(latency, 0), maxTime)) / estimate.slownessAt(now)
	expected := estimate.own.decayed(now)
	if expected <= float64(time.Microsecond) {
		expected = sample
	}
	weight := max(minSampleWeight, 1-math.Exp(-float64(max(now.Sub(estimate.own.at), 0))/float64(averageTimeConstant)))
	estimate.own = figure{value: (1-weight)*expected + weight*sample, at: now}
	return estimate
}

// WithLowerBound adds a time that a request would have exceeded. It counts when it
// exceeds the expected time.
func (estimate Estimate) WithLowerBound(latency time.Duration, now time.Time) Estimate {
	if latency > estimate.Time(now) {
		return estimate.WithSample(latency, now)
	}
	return estimate
}

// WithLoad replaces the load by the one reported with a reply, or by an empty one
// if the reply reported none: then a queue that was reported before may be long
// gone.
func (estimate Estimate) WithLoad(load Load, now time.Time) Estimate {
	estimate.running, estimate.waiting = requests(load.Running, now), requests(load.Waiting, now)
	estimate.slowness = figure{}
	if load.Slowness > 0 {
		estimate.slowness = figure{value: min(max(float64(load.Slowness)/usualSlowness, minSlowness), maxSlowness), at: now}
	}
	return estimate
}

func requests(count int, at time.Time) figure {
	return figure{value: float64(min(max(count, 0), maxRequests)), at: at}
}

// WithoutTimes drops the measured times.
func (estimate Estimate) WithoutTimes() Estimate {
	estimate.own.value = 0
	return estimate
}

// Time returns the expected time of a request that doesn't wait.
func (estimate Estimate) Time(now time.Time) time.Duration {
	return time.Duration(estimate.own.decayed(now) * estimate.slownessAt(now))
}

// Waiting returns the expected length of the replica's queue.
func (estimate Estimate) Waiting(now time.Time) float64 {
	if estimate.waiting.value == 0 {
		return 0
	}
	return estimate.waiting.value * estimate.waiting.halved(loadHalfLife, now)
}

// slownessAt approaches 1 as the reported slowness ages.
func (estimate Estimate) slownessAt(now time.Time) float64 {
	if estimate.slowness.at.IsZero() {
		return 1
	}
	return 1 + (estimate.slowness.value-1)*estimate.slowness.halved(slownessHalfLife, now)
}

// decayed returns the value, halved for each averageHalfLife without a sample. A
// replica therefore becomes attractive again with time, whatever is known of it.
func (figure figure) decayed(now time.Time) float64 {
	return figure.value * halvings(math.Floor(float64(max(now.Sub(figure.at), 0))/float64(averageHalfLife)))
}

// Parts are the parts of an estimate, as operators see them. The age of a part
// that is unknown is negative.
type Parts struct {
	// Own is what this host has measured.
	Own    time.Duration
	OwnAge time.Duration
	// Running, Waiting and Slowness are as the replica last reported them.
	Running, Waiting, Slowness float64
	LoadAge, SlownessAge       time.Duration
}

// Parts returns the parts of the estimate.
func (estimate Estimate) Parts(now time.Time) Parts {
	return Parts{
		Own: time.Duration(estimate.own.value), OwnAge: estimate.own.age(now),
		Running: estimate.running.value, Waiting: estimate.waiting.value, LoadAge: estimate.waiting.age(now),
		Slowness: estimate.slowness.value, SlownessAge: estimate.slowness.age(now),
	}
}
