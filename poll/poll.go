// Package poll reads an external source at intervals, and reports when the
// source is lost and when it is regained.
package poll

import (
	"context"
	"time"
)

const (
	// lossThreshold is the number of consecutive failures that count as a loss.
	// One failure alone may be a single lost reply.
	lossThreshold = 2
	// jitter is the range of random variation of an interval, as a fraction of
	// it. It spreads the reads of hosts that started together.
	jitter = 0.2
)

// Loop reads at a regular interval, with backoff after failures. Set the fields
// before Run.
type Loop struct {
	// Interval is the time between reads.
	Interval time.Duration
	// MinBackoff is the interval after a failure. It is doubled with each
	// consecutive failure, up to MaxBackoff. When it is 0, Interval applies.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// BackoffFactor multiplies the interval after a failure. It may be nil, which
	// means 1.
	BackoffFactor func() float64
	// Due reports whether to read. While it does not, it is called again after
	// IdleInterval. It may be nil, which means always.
	Due          func() bool
	IdleInterval time.Duration
	// Timeout bounds one read.
	Timeout time.Duration
	// Read reads the source once.
	Read func(ctx context.Context) error
	// Lost is called with the last error when the source is lost, Regained with
	// the duration of the loss when it is regained.
	Lost     func(err error)
	Regained func(outage time.Duration)
	// Random returns a random number in [0, 1).
	Random func() float64

	// failures counts consecutive failures.
	failures int
	lostAt   time.Time
}

// Run reads until ctx ends.
func (loop *Loop) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if loop.Due != nil && !loop.Due() {
			loop.sleep(ctx, loop.IdleInterval)
			continue
		}
		loop.readOnce(ctx)
		loop.sleep(ctx, loop.interval())
	}
}

// sleep waits for an interval, varied by the jitter.
func (loop *Loop) sleep(ctx context.Context, interval time.Duration) {
	Sleep(ctx, time.Duration(float64(interval)*(1-jitter/2+jitter*loop.Random())))
}

// Sleep waits for a duration, or until ctx ends.
func Sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// interval returns the time until the next read, without jitter.
func (loop *Loop) interval() time.Duration {
	if loop.failures == 0 || loop.MinBackoff == 0 {
		return loop.Interval
	}
	const maxDoublings = 16
	backoff := min(loop.MaxBackoff, loop.MinBackoff<<min(loop.failures-1, maxDoublings))
	if loop.BackoffFactor != nil {
		return time.Duration(loop.BackoffFactor() * float64(backoff))
	}
	return backoff
}

// readOnce reads once and reports a change. A read that was interrupted by the
// end of ctx counts neither as a success nor as a failure.
func (loop *Loop) readOnce(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, loop.Timeout)
	defer cancel()
	err := loop.Read(readCtx)
	switch {
	case ctx.Err() != nil:
	case err == nil && loop.failures >= lossThreshold:
		loop.Regained(time.Since(loop.lostAt))
		loop.failures = 0
	case err == nil:
		loop.failures = 0
	default:
		loop.failures++
		if loop.failures == lossThreshold {
			loop.lostAt = time.Now()
			loop.Lost(err)
		}
	}
}
