package replica_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/estimate"
	"fescuehall/replica"
)

type clock struct {
	now time.Time
}

func (clock *clock) Now() time.Time { return clock.now }

func newPicker() (*replica.Picker, *clock) {
	clock := &clock{now: time.Unix(1000, 0)}
	return &replica.Picker{Now: clock.Now, Random: rand.New(rand.NewPCG(1, 2)).IntN}, clock
}

// countPicks counts how often each address is picked when every attempt ends as
// result returns.
func countPicks(picker *replica.Picker, clock *clock, times int, addresses []string, result func(string) replica.Result) map[string]int {
	counts := make(map[string]int)
	for range times {
		picked := addresses[picker.Pick(addresses)]
		counts[picked]++
		clock.now = clock.now.Add(time.Millisecond)
		picker.Done(picked, result(picked))
	}
	return counts
}

func TestPickAvoidsBadReplicas(t *testing.T) {
	tests := []struct {
		name     string
		bad      replica.Result
		maxPicks int
	}{
		{name: "slow", bad: replica.Result{Latency: 100 * time.Millisecond}, maxPicks: 20},
		{name: "sheds requests fast", bad: replica.Result{Latency: 10 * time.Microsecond, Failed: true}, maxPicks: 20},
		{name: "unreachable", bad: replica.Result{Failed: true, Unreachable: true}, maxPicks: 10},
		{name: "long queue", bad: replica.Result{Latency: 10 * time.Millisecond, Load: estimate.Load{Waiting: 30}}, maxPicks: 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			picker, clock := newPicker()
			counts := countPicks(picker, clock, 1000, []string{"good", "bad"}, func(address string) replica.Result {
				if address == "bad" {
					return test.bad
				}
				return replica.Result{Latency: 10 * time.Millisecond}
			})
			qt.Assert(t, counts["bad"] <= test.maxPicks, qt.IsTrue, qt.Commentf("%v", counts))
			qt.Assert(t, counts["bad"] > 0, qt.IsTrue)
		})
	}
}

func TestPickUsesAnEjectedReplicaWhenThereIsNoOther(t *testing.T) {
	picker, _ := newPicker()
	picker.Start("only")
	picker.Done("only", replica.Result{Failed: true, Unreachable: true})
	qt.Assert(t, picker.Status("only").Ejected, qt.IsTrue)
	qt.Assert(t, picker.Pick([]string{"only"}), qt.Equals, 0)
	qt.Assert(t, picker.Pick(nil), qt.Equals, -1)
}

func TestPickRampsUpAReplicaAfterItsEjection(t *testing.T) {
	picker, clock := newPicker()
	addresses := []string{"steady", "ejected"}
	result := func(string) replica.Result { return replica.Result{Latency: 10 * time.Millisecond} }
	picker.Start("ejected")
	picker.Done("ejected", replica.Result{Failed: true, Unreachable: true})
	clock.now = clock.now.Add(600 * time.Millisecond)
	during := countPicks(picker, clock, 500, addresses, result)
	clock.now = clock.now.Add(10 * time.Second)
	after := countPicks(picker, clock, 500, addresses, result)
	qt.Assert(t, during["ejected"] < 100, qt.IsTrue, qt.Commentf("%v", during))
	qt.Assert(t, after["ejected"] > 150, qt.IsTrue, qt.Commentf("%v", after))
}

func TestPickForgetsAnOldSlowSample(t *testing.T) {
	picker, clock := newPicker()
	addresses := []string{"fast", "slow"}
	picker.Start("slow")
	picker.Done("slow", replica.Result{Latency: time.Second})
	clock.now = clock.now.Add(time.Minute)
	counts := countPicks(picker, clock, 200, addresses, func(string) replica.Result { return replica.Result{Latency: 10 * time.Millisecond} })
	qt.Assert(t, counts["slow"] > 50, qt.IsTrue, qt.Commentf("%v", counts))
}

// A suspected replica is skipped in favour of others until they are much
// busier.
func TestPickAvoidsSuspectedReplicas(t *testing.T) {
	picker, clock := newPicker()
	picker.Suspected = func(address string) bool { return address == "suspect" }
	result := func(string) replica.Result { return replica.Result{Latency: 10 * time.Millisecond} }
	counts := countPicks(picker, clock, 200, []string{"good", "suspect"}, result)
	qt.Assert(t, counts["good"] > 190, qt.IsTrue, qt.Commentf("%v", counts))
	for range 20 {
		picker.Start("good")
	}
	counts = countPicks(picker, clock, 200, []string{"good", "suspect"}, result)
	qt.Assert(t, counts["suspect"] > 100, qt.IsTrue, qt.Commentf("%v", counts))
}
