package front_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/backend"
	"fescuehall/shutdown"
	"fescuehall/verdict"
)

// Guards against a host that ends without a reply to its peers' sub-requests, which
// wait for a slot or for a server that does not answer.
func TestStopRepliesToSubRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		front := newFront(t, newSearches())
		front.Stop = shutdown.New()
		front.Search = func(ctx context.Context, _ *backend.Client, _ *backend.Search) (*backend.Found, error) {
			<-ctx.Done()
			return nil, verdict.New(verdict.MayHaveRun, verdict.Cancelled, "test")
		}
		type outcome struct {
			ID      string
			Verdict verdict.Verdict
			At      time.Time
		}
		done := make(chan outcome)
		run := func(id string) {
			reply := front.Run(context.Background(), request(id, 0))
			done <- outcome{id, verdict.Verdict(reply.Verdict), time.Now()}
		}
		// The service has two slots.
		go run("first")
		synctest.Wait()
		go run("second")
		synctest.Wait()
		go run("waiting")
		synctest.Wait()
		schedule := shutdown.NewSchedule(time.Now(), 6*time.Second)
		front.Stop.Begin(schedule)
		qt.Check(t, <-done, qt.Equals, outcome{"waiting", verdict.NotRun, schedule.LastSend})
		go run("late")
		qt.Check(t, <-done, qt.Equals, outcome{"late", verdict.NotRun, schedule.LastSend})
		for range 2 {
			reply := <-done
			qt.Check(t, reply, qt.Equals, outcome{reply.ID, verdict.MayHaveRun, schedule.LastAnswer})
		}
		<-front.Stop.Exit()
	})
}
