package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/verdict"
)

// maxEnded is the number of servers that may end under a request before it must not be
// sent to any other.
const maxEnded = 3

// Guards against a request under which servers end, one after the other, because it is
// sent to the next one each time: by retries and hedges of its parts, and once more when
// its caller tries again with the same content.
func TestRequestThatEndsServersIsNotSentOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fakeReplicas := &fakeReplicas{extraReplicas: 2}
		dispatcher := newDispatcher(fakeReplicas)
		ended, sentOn := 0, 0
		fakeReplicas.respond = func(string, int) (time.Duration, *verdict.Failure) {
			fakeReplicas.mu.Lock()
			defer fakeReplicas.mu.Unlock()
			if ended >= maxEnded {
				sentOn++
			}
			time.AfterFunc(5*time.Millisecond, func() {
				fakeReplicas.mu.Lock()
				defer fakeReplicas.mu.Unlock()
				ended++
			})
			return 5 * time.Millisecond, verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "the server has ended")
		}
		route := gatherRoute(6, 0.5)
		route.MaxAttempts = 3
		for range 2 {
			dispatcher.Serve(t.Context(), newRequest(route))
			time.Sleep(100 * time.Millisecond)
		}
		qt.Assert(t, sentOn, qt.Equals, 0, qt.Commentf("%d attempts in all", fakeReplicas.attemptCount("s")))
	})
}
