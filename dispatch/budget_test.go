package dispatch_test

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/dispatch"
	"fescuehall/verdict"
)

const (
	extraRatio = 0.2
	extraSlack = 56.0
	// windowSteps of stepTime make the platform's window of 10 s.
	windowSteps = 100
	stepTime    = 100 * time.Millisecond
)

// Whatever hosts start again and however replicas fail, the tries of a service
// beyond its requests stay in any window, over all hosts, within the requests
// times the ratio and the slack.
func TestExtraTriesStayWithinTheBudgetOfAllHosts(t *testing.T) {
	tests := []budgetCase{
		{name: "all slow", hosts: 8, perStep: 1, slow: 1},
		{name: "all shed", hosts: 8, perStep: 1, shed: 1},
		{name: "half slow and half shed", hosts: 6, perStep: 2, shed: 0.5, slow: 0.5},
		{name: "one host", hosts: 1, perStep: 8, shed: 0.9},
		{name: "hosts start again", hosts: 8, perStep: 1, shed: 1, restarts: true},
		{name: "many hosts, each with a part of a try", hosts: 200, perStep: 1, shed: 0.5},
		{name: "hosts join", hosts: 4, perStep: 1, shed: 1, joins: true},
		{name: "hosts join while all are slow", hosts: 4, perStep: 2, slow: 1, joins: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, test.run)
		})
	}
}

// budgetCase is hosts that share a budget while replicas fail.
type budgetCase struct {
	name     string
	hosts    int
	perStep  int
	shed     float64
	slow     float64
	restarts bool
	// joins doubles the hosts in the middle, which the first ones learn of a
	// second later.
	joins bool
}

func (test budgetCase) run(t *testing.T) {
	counter := &counter{random: rand.New(rand.NewPCG(1, 2))}
	var known atomic.Int64
	known.Store(int64(test.hosts))
	seen := func() int { return int(known.Load()) }
	running := make([]*dispatch.Dispatcher, test.hosts)
	for place := range running {
		running[place] = test.start(counter, seen)
	}
	for step := range 3 * windowSteps {
		if test.restarts && step%windowSteps == 50 {
			running[step/windowSteps] = test.start(counter, seen)
		}
		if test.joins && step == windowSteps+50 {
			for range test.hosts {
				running = append(running, test.start(counter, func() int { return 2 * test.hosts }))
			}
		}
		if test.joins && step == windowSteps+60 {
			known.Store(int64(2 * test.hosts))
		}
		for _, dispatcher := range running {
			for range test.perStep {
				counter.requests.Add()
				go dispatcher.Serve(t.Context(), ask(plain(true)))
			}
		}
		time.Sleep(stepTime)
		counter.next()
	}
	time.Sleep(5 * time.Second)
	counter.next()
	counter.check(t)
}

// start returns a host's dispatcher; seen is how many hosts it knows.
func (test budgetCase) start(counter *counter, seen func() int) *dispatch.Dispatcher {
	made := newDispatcher(&fleet{rule: func(string, int) (time.Duration, *verdict.Failure) {
		counter.tries.Add()
		took := 5 * time.Millisecond
		if counter.draw() < test.slow {
			took = 300 * time.Millisecond
		}
		if counter.draw() < test.shed {
			return took, failure(verdict.NotRun, verdict.Shed)
		}
		return took, nil
	}})
	made.Hosts = seen
	made.Random = counter.draw
	made.SetExtra(extraRatio, extraSlack)
	// Nothing is refused, so that each request has a first try.
	made.Random = func() float64 { return 1 }
	return made
}

// series counts events by step.
type series struct {
	mu    sync.Mutex
	steps []int
	open  int
}

// Add counts one event.
func (series *series) Add() {
	series.mu.Lock()
	defer series.mu.Unlock()
	series.open++
}

func (series *series) next() {
	series.mu.Lock()
	defer series.mu.Unlock()
	series.steps = append(series.steps, series.open)
	series.open = 0
}

// counter counts requests and tries over all hosts.
type counter struct {
	mu       sync.Mutex
	random   *rand.Rand
	requests series
	tries    series
}

func (counter *counter) draw() float64 {
	counter.mu.Lock()
	defer counter.mu.Unlock()
	return counter.random.Float64()
}

func (counter *counter) next() {
	counter.requests.next()
	counter.tries.next()
}

// check slides the window over all steps.
func (counter *counter) check(t *testing.T) {
	extra := 0
	for begin := range counter.tries.steps {
		requests, tries := 0, 0
		for step := begin; step < min(begin+windowSteps, len(counter.tries.steps)); step++ {
			requests += counter.requests.steps[step]
			tries += counter.tries.steps[step]
		}
		extra = max(extra, tries-requests)
		qt.Assert(t, float64(tries-requests) <= extraRatio*float64(requests)+extraSlack, qt.IsTrue, qt.Commentf("%d tries for %d requests from step %d", tries, requests, begin))
	}
	qt.Assert(t, extra > 0, qt.IsTrue, qt.Commentf("no extra try was sent"))
}
