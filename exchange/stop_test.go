package exchange_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/exchange"
	"fescuehall/shutdown"
	"fescuehall/verdict"
)

// outcome is how a request ended, and how long after the stop began.
type outcome struct {
	err   error
	after time.Duration
}

// doDuringStop sends requests to a server with one connection, begins a stop once
// they have waited, and returns how they ended.
func doDuringStop(server *busyServer, work, waited time.Duration, count int) []outcome {
	pool := pool()
	pool.Dial = server.dial
	pool.Stop = shutdown.New()
	outcomes := make([]outcome, count)
	began := time.Now().Add(waited)
	var group sync.WaitGroup
	for number := range count {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
			defer cancel()
			_, err := pool.Do(ctx, exchange.Destination{Address: "server", MaxOpen: 1}, func() (*exchange.Request, error) {
				sent := request(fmt.Sprint(number))
				sent.Header.Set("Work", work.String())
				return sent, nil
			})
			outcomes[number] = outcome{err, time.Since(began)}
		})
		synctest.Wait()
	}
	time.Sleep(waited)
	pool.Stop.Begin(shutdown.NewSchedule(time.Now(), 6*time.Second))
	group.Wait()
	pool.Forget("server")
	return outcomes
}

// Guards against a stop that cuts the requests that wait for a connection to a busy
// server: each of them is sent in time, or refused as not run before the process ends.
func TestStopRefusesWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcomes := doDuringStop(&busyServer{slots: 1}, 800*time.Millisecond, 2*time.Second, 20)
		served := 0
		for number, outcome := range outcomes {
			if outcome.err == nil {
				served++
				continue
			}
			failure := verdict.FailureOf(outcome.err)
			qt.Check(t, failure.Code, qt.Equals, verdict.Stopping, qt.Commentf("request %d", number))
			qt.Check(t, failure.Verdict, qt.Equals, verdict.NotRun)
			qt.Check(t, outcome.after <= 5*time.Second, qt.IsTrue, qt.Commentf("request %d ended %v after the stop began", number, outcome.after))
		}
		// Three are sent before the stop, and five until LastSend.
		qt.Check(t, served, qt.Equals, 8)
	})
}

// Guards against requests that a stopping host sends to a server that can't reply
// before the process ends.
func TestStopSendsNothingToSlowServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcomes := doDuringStop(&busyServer{slots: 1}, 3500*time.Millisecond, 4*time.Second, 4)
		qt.Check(t, outcomes[0].err, qt.IsNil)
		qt.Check(t, outcomes[1].err, qt.IsNil)
		for _, outcome := range outcomes[2:] {
			// The second reply comes 3 s after the stop began, and the next one would
			// come 6.5 s after it.
			qt.Check(t, verdict.FailureOf(outcome.err).Code, qt.Equals, verdict.Stopping)
		}
	})
}

// Guards against requests that wait behind one to a server that hangs: no connection is
// granted to them during the stop, and they are refused all the same.
func TestStopRefusesRequestsBehindAHungServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcomes := doDuringStop(&busyServer{slots: 1}, time.Minute, 2*time.Second, 4)
		for _, outcome := range outcomes[1:] {
			failure := verdict.FailureOf(outcome.err)
			qt.Check(t, failure.Code, qt.Equals, verdict.Stopping)
			qt.Check(t, failure.Verdict, qt.Equals, verdict.NotRun)
			qt.Check(t, outcome.after <= 5*time.Second, qt.IsTrue, qt.Commentf("ended %v after the stop began", outcome.after))
		}
		// The server gives up the first request.
		time.Sleep(time.Minute)
	})
}
