package poll_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/poll"
)

// A loss is reported after two consecutive failures, and its end with the
// duration of the outage. A single failure is not reported.
func TestLostAndRegained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		results := []error{nil, errors.New("one"), nil, errors.New("a"), errors.New("b"), errors.New("c"), nil, nil}
		var reported []string
		ctx, cancel := context.WithCancel(t.Context())
		loop := &poll.Loop{Random: noJitter, Interval: time.Second, Timeout: time.Second}
		loop.Read = func(context.Context) error {
			if len(results) == 0 {
				cancel()
				return nil
			}
			err := results[0]
			results = results[1:]
			return err
		}
		loop.Lost = func(err error) { reported = append(reported, "lost "+err.Error()) }
		loop.Regained = func(outage time.Duration) {
			qt.Check(t, outage > time.Second, qt.IsTrue)
			reported = append(reported, "regained")
		}
		loop.Run(ctx)
		qt.Assert(t, reported, qt.DeepEquals, []string{"lost b", "regained"})
	})
}

// A read that hangs is ended by its timeout.
func TestHangingRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		reads := 0
		loop := &poll.Loop{Random: noJitter, Interval: time.Second, Timeout: 3 * time.Second, Lost: func(error) { cancel() }, Regained: func(time.Duration) {}}
		loop.Read = func(ctx context.Context) error {
			reads++
			<-ctx.Done()
			return ctx.Err()
		}
		loop.Run(ctx)
		qt.Assert(t, reads, qt.Equals, 2)
	})
}

// The interval doubles with each consecutive failure up to its bound, and is
// the regular one again after a success.
func TestFailureBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxReads = 8
		ctx, cancel := context.WithCancel(t.Context())
		var readTimes []time.Time
		loop := &poll.Loop{Random: noJitter, Interval: 5 * time.Second, MinBackoff: 100 * time.Millisecond, MaxBackoff: 400 * time.Millisecond, Timeout: time.Second}
		loop.Lost, loop.Regained = func(error) {}, func(time.Duration) {}
		loop.Read = func(context.Context) error {
			readTimes = append(readTimes, time.Now())
			if len(readTimes) == maxReads {
				cancel()
			}
			if len(readTimes) == 1 || len(readTimes) == 6 {
				return nil
			}
			return errors.New("test")
		}
		loop.Run(ctx)
		want := []time.Duration{5000, 100, 200, 400, 400, 5000, 100}
		for i, interval := range want {
			interval *= time.Millisecond
			got := readTimes[i+1].Sub(readTimes[i])
			qt.Check(t, got >= interval*9/10 && got <= interval*11/10, qt.IsTrue, qt.Commentf("interval %d is %v, want about %v", i, got, interval))
		}
	})
}

// A loop that is not due asks again after IdleInterval.
func TestDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		start, due := time.Now(), false
		var readAt []time.Duration
		loop := &poll.Loop{Random: noJitter, Interval: time.Second, IdleInterval: 100 * time.Millisecond, Timeout: time.Second}
		loop.Due = func() bool {
			due = due || time.Since(start) >= 300*time.Millisecond
			return due
		}
		loop.Read = func(context.Context) error {
			readAt = append(readAt, time.Since(start))
			if len(readAt) == 2 {
				cancel()
			}
			return nil
		}
		loop.Run(ctx)
		qt.Assert(t, readAt, qt.DeepEquals, []time.Duration{300 * time.Millisecond, 1300 * time.Millisecond})
	})
}

// noJitter leaves intervals as they are.
func noJitter() float64 { return 0.5 }
