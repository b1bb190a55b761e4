// Package poll reads something outside the process again and again, and tells
// when it is lost and regained.
package poll

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// failuresLost is how many failures in a row count as a loss: one alone may
	// be a single lost answer.
	failuresLost = 2
	// jitter spreads the readings of hosts that started together, as a part of
	// the pause.
	jitter = 0.2
)

// Loop reads at a steady pace. Set the fields before Run.
type Loop struct {
	// Every is the pause between readings.
	Every time.Duration
	// FailedEvery is the pause after a failure, doubled with each further one up
	// to FailedMost. When it is 0, Every holds.
	FailedEvery time.Duration
	FailedMost  time.Duration
	// Timeout bounds one reading.
	Timeout time.Duration
	// Read reads once.
	Read func(ctx context.Context) error
	// Lost and Regained are told of changes, Lost with the last error.
	Lost     func(err error)
	Regained func(out time.Duration)

	failures int
	lostAt   time.Time
}

// Run reads until ctx ends.
func (loop *Loop) Run(ctx context.Context) {
	for ctx.Err() == nil {
		loop.once(ctx)
		pause := time.Duration(float64(loop.pause()) * (1 - jitter/2 + jitter*rand.Float64()))
		Pause(ctx, pause)
	}
}

// Pause waits for a time, or until ctx ends.
func Pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// pause is the time to the next reading.
func (loop *Loop) pause() time.Duration {
	if loop.failures == 0 || loop.FailedEvery == 0 {
		return loop.Every
	}
	const mostDoublings = 16
	return min(loop.FailedMost, loop.FailedEvery<<min(loop.failures-1, mostDoublings))
}

func (loop *Loop) once(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, loop.Timeout)
	defer cancel()
	err := loop.Read(bounded)
	switch {
	case ctx.Err() != nil:
	case err == nil && loop.failures >= failuresLost:
		loop.Regained(time.Since(loop.lostAt))
		loop.failures = 0
	case err == nil:
		loop.failures = 0
	default:
		loop.failures++
		if loop.failures == failuresLost {
			loop.lostAt = time.Now()
			loop.Lost(err)
		}
	}
}
