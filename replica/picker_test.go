package replica_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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

// picks counts which of the addresses are chosen when every try ends as result
// says.
func picks(picker *replica.Picker, clock *clock, times int, addresses []string, result func(string) replica.Result) map[string]int {
	counts := make(map[string]int)
	for range times {
		chosen := addresses[picker.Pick(addresses)]
		counts[chosen]++
		clock.now = clock.now.Add(time.Millisecond)
		picker.Done(chosen, result(chosen))
	}
	return counts
}

func TestPickerAvoids(t *testing.T) {
	tests := []struct {
		name string
		bad  replica.Result
		most int
	}{
		{name: "a straggler", bad: replica.Result{Took: 100 * time.Millisecond}, most: 20},
		{name: "a fast shedder", bad: replica.Result{Took: 10 * time.Microsecond, Failed: true}, most: 20},
		{name: "an unreachable one", bad: replica.Result{Failed: true, Lost: true}, most: 10},
		{name: "one with a long queue", bad: replica.Result{Took: 10 * time.Millisecond, Waiting: 30}, most: 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			picker, clock := newPicker()
			counts := picks(picker, clock, 1000, []string{"good", "bad"}, func(address string) replica.Result {
				if address == "bad" {
					return test.bad
				}
				return replica.Result{Took: 10 * time.Millisecond}
			})
			qt.Assert(t, counts["bad"] <= test.most, qt.IsTrue, qt.Commentf("%v", counts))
			qt.Assert(t, counts["bad"] > 0, qt.IsTrue)
		})
	}
}

func TestPickerUsesEjectedOnesWhenThereIsNoOther(t *testing.T) {
	picker, _ := newPicker()
	picker.Start("only")
	picker.Done("only", replica.Result{Failed: true, Lost: true})
	qt.Assert(t, picker.Status("only").Ejected, qt.IsTrue)
	qt.Assert(t, picker.Pick([]string{"only"}), qt.Equals, 0)
	qt.Assert(t, picker.Pick(nil), qt.Equals, -1)
}

func TestPickerReturnsAReplicaInSteps(t *testing.T) {
	picker, clock := newPicker()
	addresses := []string{"steady", "back"}
	same := func(string) replica.Result { return replica.Result{Took: 10 * time.Millisecond} }
	picker.Start("back")
	picker.Done("back", replica.Result{Failed: true, Lost: true})
	clock.now = clock.now.Add(600 * time.Millisecond)
	first := picks(picker, clock, 500, addresses, same)
	clock.now = clock.now.Add(10 * time.Second)
	later := picks(picker, clock, 500, addresses, same)
	qt.Assert(t, first["back"] < 100, qt.IsTrue, qt.Commentf("%v", first))
	qt.Assert(t, later["back"] > 150, qt.IsTrue, qt.Commentf("%v", later))
}

func TestPickerForgetsAnOldSlowTime(t *testing.T) {
	picker, clock := newPicker()
	addresses := []string{"fast", "slow"}
	picker.Start("slow")
	picker.Done("slow", replica.Result{Took: time.Second})
	clock.now = clock.now.Add(time.Minute)
	counts := picks(picker, clock, 200, addresses, func(string) replica.Result { return replica.Result{Took: 10 * time.Millisecond} })
	qt.Assert(t, counts["slow"] > 50, qt.IsTrue, qt.Commentf("%v", counts))
}

// A suspected replica is passed over for others, until these are much busier.
func TestPickerAvoidsSuspects(t *testing.T) {
	picker, clock := newPicker()
	picker.Suspected = func(address string) bool { return address == "suspect" }
	result := func(string) replica.Result { return replica.Result{Took: 10 * time.Millisecond} }
	counts := picks(picker, clock, 200, []string{"good", "suspect"}, result)
	qt.Assert(t, counts["good"] > 190, qt.IsTrue, qt.Commentf("%v", counts))
	for range 20 {
		picker.Start("good")
	}
	counts = picks(picker, clock, 200, []string{"good", "suspect"}, result)
	qt.Assert(t, counts["suspect"] > 100, qt.IsTrue, qt.Commentf("%v", counts))
}
