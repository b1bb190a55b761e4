package shutdown_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/shutdown"
)

// Whatever the grace period, requests at servers are awaited into its last sixth, and
// there is time to write the last answers.
func TestSchedule(t *testing.T) {
	now := time.Unix(100, 0)
	for _, grace := range []time.Duration{0, time.Second, 4 * time.Second, 6 * time.Second, time.Minute} {
		schedule := shutdown.NewSchedule(now, grace)
		comment := qt.Commentf("grace %v: %+v", grace, schedule)
		qt.Check(t, schedule.LastAccept.Before(now), qt.IsFalse, comment)
		qt.Check(t, schedule.LastSend.Before(schedule.LastAccept), qt.IsFalse, comment)
		qt.Check(t, schedule.LastAnswer.Before(schedule.LastSend), qt.IsFalse, comment)
		qt.Check(t, schedule.FirstAnswer.Before(now.Add(grace*5/6)), qt.IsFalse, comment)
		qt.Check(t, schedule.LastAnswer.Before(schedule.FirstAnswer), qt.IsFalse, comment)
		qt.Check(t, schedule.Exit.Before(schedule.LastAnswer), qt.IsFalse, comment)
		qt.Check(t, schedule.LastExit.Before(schedule.Exit), qt.IsFalse, comment)
		qt.Check(t, schedule.LastExit.After(now.Add(grace)), qt.IsFalse, comment)
	}
}

// state is what a Stop says at one time.
type state struct {
	Sending, Answering, AdmitsFast, AdmitsSlow bool
}

func stateOf(stop *shutdown.Stop) state {
	return state{
		Sending:    isOpen(stop.SendingEnded()),
		Answering:  isOpen(stop.AnsweringEnded()),
		AdmitsFast: stop.Admits(0),
		AdmitsSlow: stop.Admits(4 * time.Second),
	}
}

func isOpen(ended <-chan struct{}) bool {
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// Requests are sent until LastSend and awaited until LastAnswer. One whose reply is
// expected after that is not sent.
func TestStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stop := shutdown.New()
		qt.Check(t, stateOf(stop), qt.Equals, state{true, true, true, true})
		begin := time.Now()
		schedule := shutdown.NewSchedule(begin, 6*time.Second)
		stop.Begin(schedule)
		qt.Check(t, stateOf(stop), qt.Equals, state{true, true, true, true})
		for _, step := range []struct {
			at   time.Time
			want state
		}{
			{begin.Add(2 * time.Second), state{true, true, true, false}},
			{schedule.LastSend, state{false, true, false, false}},
			{schedule.LastAnswer, state{false, false, false, false}},
		} {
			time.Sleep(time.Until(step.at))
			synctest.Wait()
			qt.Check(t, stateOf(stop), qt.Equals, step.want, qt.Commentf("after %v", step.at.Sub(begin)))
		}
		// A second signal changes nothing.
		stop.Begin(shutdown.NewSchedule(time.Now(), time.Minute))
		qt.Check(t, stateOf(stop), qt.Equals, state{})
	})
}

func TestNilStopNeverStops(t *testing.T) {
	var stop *shutdown.Stop
	stop.Advance()
	stop.Await()()
	qt.Check(t, stateOf(stop), qt.Equals, state{true, true, true, true})
}

// Guards against a process that was delayed beyond its whole schedule and then ends
// before it has given the answers that it had until then.
func TestDelayedStopHasTimeToAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stop := shutdown.New()
		schedule := shutdown.NewSchedule(time.Now().Add(-time.Minute), 6*time.Second)
		stop.Begin(schedule)
		time.Sleep(time.Millisecond)
		qt.Check(t, isOpen(stop.AnsweringEnded()), qt.IsFalse)
		qt.Check(t, isOpen(stop.Exit()), qt.IsTrue)
		time.Sleep(schedule.Exit.Sub(schedule.LastAnswer))
		qt.Check(t, isOpen(stop.Exit()), qt.IsFalse)
	})
}

// Guards against a stop that ends at a fixed time and cuts answers that still advance.
func TestStopGoesOnWhileAnswersAdvance(t *testing.T) {
	schedule := shutdown.NewSchedule(time.Time{}, 6*time.Second)
	exit, lastExit := schedule.Exit.Sub(time.Time{}), schedule.LastExit.Sub(time.Time{})
	for _, test := range []struct {
		name string
		// Answers advance from first until last, at an interval.
		first, last, interval time.Duration
		want                  time.Duration
	}{
		{name: "never", first: time.Second, want: exit},
		{name: "not since LastAnswer", first: 0, last: 5 * time.Second, interval: 10 * time.Millisecond, want: exit},
		{name: "until the end", first: 5 * time.Second, last: time.Minute, interval: 10 * time.Millisecond, want: lastExit},
		{name: "slowly until the end", first: 5 * time.Second, last: time.Minute, interval: 450 * time.Millisecond, want: lastExit},
		{name: "until they stall", first: 5 * time.Second, last: 5350 * time.Millisecond, interval: 50 * time.Millisecond, want: 5850 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stop := shutdown.New()
				begin := time.Now()
				stop.Begin(shutdown.NewSchedule(begin, 6*time.Second))
				var group sync.WaitGroup
				group.Go(func() {
					for at := test.first; at <= test.last && isOpen(stop.Exit()); at += test.interval {
						time.Sleep(time.Until(begin.Add(at)))
						stop.Advance()
					}
				})
				<-stop.Exit()
				qt.Check(t, time.Since(begin), qt.Equals, test.want)
				group.Wait()
			})
		})
	}
}

// However long a stop was delayed, and although answers advance, it ends.
func TestDelayedStopEndsWhileAnswersAdvance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stop := shutdown.New()
		begin := time.Now()
		schedule := shutdown.NewSchedule(begin.Add(-time.Minute), 6*time.Second)
		stop.Begin(schedule)
		for isOpen(stop.Exit()) {
			stop.Advance()
			time.Sleep(time.Millisecond)
		}
		qt.Check(t, time.Since(begin) <= schedule.LastExit.Sub(schedule.LastAnswer)+time.Millisecond, qt.IsTrue)
	})
}

// Guards against hundreds of answers that are all begun too late for a slow processor.
func TestManyAnswersBeginSooner(t *testing.T) {
	schedule := shutdown.NewSchedule(time.Time{}, 6*time.Second)
	first, last := schedule.FirstAnswer.Sub(time.Time{}), schedule.LastAnswer.Sub(time.Time{})
	for _, test := range []struct {
		name string
		// awaiting requests await replies, of which some get one after FirstAnswer.
		awaiting, replied int
		want              time.Duration
	}{
		{name: "none", want: last},
		{name: "some", awaiting: 50, want: last - 50*time.Millisecond},
		{name: "hundreds", awaiting: 1000, want: first},
		{name: "most get replies", awaiting: 200, replied: 150, want: last - 50*time.Millisecond},
		{name: "all get replies", awaiting: 200, replied: 200, want: last},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stop := shutdown.New()
				begin := time.Now()
				stop.Begin(shutdown.NewSchedule(begin, 6*time.Second))
				for number := range test.awaiting {
					done := stop.Await()
					if number < test.replied {
						time.AfterFunc(first+50*time.Millisecond, done)
					}
				}
				<-stop.AnsweringEnded()
				qt.Check(t, time.Since(begin), qt.Equals, test.want)
				// The time until the process ends is not shortened.
				<-stop.Exit()
				qt.Check(t, time.Since(begin), qt.Equals, schedule.Exit.Sub(time.Time{}))
			})
		})
	}
}
