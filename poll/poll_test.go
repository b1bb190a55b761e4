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

// A loss is told of after two failures, a return with the time that it took,
// and a single failure not at all.
func TestLossAndReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		results := []error{nil, errors.New("one"), nil, errors.New("a"), errors.New("b"), errors.New("c"), nil, nil}
		var told []string
		ctx, cancel := context.WithCancel(t.Context())
		loop := &poll.Loop{Every: time.Second, Timeout: time.Second}
		loop.Read = func(context.Context) error {
			if len(results) == 0 {
				cancel()
				return nil
			}
			err := results[0]
			results = results[1:]
			return err
		}
		loop.Lost = func(err error) { told = append(told, "lost "+err.Error()) }
		loop.Regained = func(out time.Duration) {
			qt.Check(t, out > time.Second, qt.IsTrue)
			told = append(told, "regained")
		}
		loop.Run(ctx)
		qt.Assert(t, told, qt.DeepEquals, []string{"lost b", "regained"})
	})
}

// A reading that hangs ends with its timeout.
func TestHangingReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		readings := 0
		loop := &poll.Loop{Every: time.Second, Timeout: 3 * time.Second, Lost: func(error) { cancel() }, Regained: func(time.Duration) {}}
		loop.Read = func(ctx context.Context) error {
			readings++
			<-ctx.Done()
			return ctx.Err()
		}
		loop.Run(ctx)
		qt.Assert(t, readings, qt.Equals, 2)
	})
}

// The pause grows while readings fail, and is short again after one that does
// not.
func TestPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const steps = 8
		ctx, cancel := context.WithCancel(t.Context())
		var readings []time.Time
		loop := &poll.Loop{Every: 5 * time.Second, FailedEvery: 100 * time.Millisecond, FailedMost: 400 * time.Millisecond, Timeout: time.Second}
		loop.Lost, loop.Regained = func(error) {}, func(time.Duration) {}
		loop.Read = func(context.Context) error {
			readings = append(readings, time.Now())
			if len(readings) == steps {
				cancel()
			}
			if len(readings) == 1 || len(readings) == 6 {
				return nil
			}
			return errors.New("test")
		}
		loop.Run(ctx)
		want := []time.Duration{5000, 100, 200, 400, 400, 5000, 100}
		for place, pause := range want {
			pause *= time.Millisecond
			got := readings[place+1].Sub(readings[place])
			qt.Check(t, got >= pause*9/10 && got <= pause*11/10, qt.IsTrue, qt.Commentf("pause %d is %v, want about %v", place, got, pause))
		}
	})
}
