package rank_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/rank"
	"fescuehall/verdict"
)

// fill calls Acquire until the limiter refuses, and returns the number of
// admitted queries.
func fill(limiter *rank.Limiter) int {
	count := 0
	for limiter.Acquire() == nil {
		count++
	}
	return count
}

func TestLimiterRefusesAsNotRun(t *testing.T) {
	limiter := &rank.Limiter{Now: newClock().Now}
	qt.Assert(t, fill(limiter), qt.Equals, 8)
	failure := verdict.FailureOf(limiter.Acquire())
	qt.Assert(t, failure.Verdict, qt.Equals, verdict.NotRun)
	qt.Assert(t, failure.Code, qt.Equals, verdict.Overload)
}

func TestLimiterAdaptsToOutcomes(t *testing.T) {
	tests := []struct {
		name    string
		outcome rank.Outcome
		times   int
		want    int
	}{
		{name: "queries without overload raise the limit while most of it is used", times: 8, want: 10},
		{name: "a refused or late query lowers the limit", outcome: rank.Outcome{RefusedOrLate: true}, times: 1, want: 6},
		{name: "a long wait lowers the limit less", outcome: rank.Outcome{LongWait: true}, times: 1, want: 8},
		{name: "the limit is lowered once per query latency", outcome: rank.Outcome{RefusedOrLate: true, Latency: time.Second}, times: 8, want: 6},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			limiter := &rank.Limiter{Now: newClock().Now}
			admitted := fill(limiter)
			for range test.times {
				limiter.Release(test.outcome)
			}
			limit, inFlight := limiter.Limit()
			qt.Assert(t, inFlight, qt.Equals, admitted-test.times)
			qt.Assert(t, int(limit+0.99), qt.Equals, test.want, qt.Commentf("limit %v", limit))
		})
	}
}

func TestLimitIsAtLeastOne(t *testing.T) {
	clock := newClock()
	limiter := &rank.Limiter{Now: clock.Now}
	for range 100 {
		qt.Assert(t, limiter.Acquire(), qt.IsNil)
		clock.now = clock.now.Add(time.Minute)
		limiter.Release(rank.Outcome{RefusedOrLate: true, Latency: time.Second})
	}
	qt.Assert(t, fill(limiter), qt.Equals, 1)
}
