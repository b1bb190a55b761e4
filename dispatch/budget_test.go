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
	retryBudgetRatio = 0.2
	retryBudgetSlack = 56.0
	// windowSteps steps of stepTime make up the 10 s window over which the
	// platform checks the budget.
	windowSteps = 100
	stepTime    = 100 * time.Millisecond
)

// In any window, all hosts together send at most ratio times the requests, plus
// slack, of extra attempts. Failing replicas, restarted hosts and hosts that
// join must not break this bound.
func TestExtraAttemptsStayWithinSharedBudget(t *testing.T) {
	tests := []budgetCase{
		{name: "all slow", hosts: 8, perStep: 1, slow: 1},
		{name: "all shed", hosts: 8, perStep: 1, shed: 1},
		{name: "half slow and half shed", hosts: 6, perStep: 2, shed: 0.5, slow: 0.5},
		{name: "one host", hosts: 1, perStep: 8, shed: 0.9},
		{name: "hosts restart", hosts: 8, perStep: 1, shed: 1, restarts: true},
		{name: "many hosts, each with a share of less than one attempt", hosts: 200, perStep: 1, shed: 0.5},
		{name: "hosts join", hosts: 4, perStep: 1, shed: 1, joins: true},
		{name: "hosts join while all are slow", hosts: 4, perStep: 2, slow: 1, joins: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, test.run)
		})
	}
}

// budgetCase describes hosts that share a budget while replicas fail.
type budgetCase struct {
	name  string
	hosts int
	// perStep is the number of requests that each host receives in each step.
	perStep int
	// shed and slow are the shares of attempts that are refused and that are late.
	shed float64
	slow float64
	// restarts restarts one host in each window.
	restarts bool
	// joins doubles the number of hosts during the test. The first hosts learn
	// of the new ones a second later.
	joins bool
}

func (test budgetCase) run(t *testing.T) {
	counter := &counter{random: rand.New(rand.NewPCG(1, 2))}
	var knownHosts atomic.Int64
	knownHosts.Store(int64(test.hosts))
	hostCount := func() int { return int(knownHosts.Load()) }
	dispatchers := make([]*dispatch.Dispatcher, test.hosts)
	for i := range dispatchers {
		dispatchers[i] = test.newHost(counter, hostCount)
	}
	for step := range 3 * windowSteps {
		if test.restarts && step%windowSteps == 50 {
			dispatchers[step/windowSteps] = test.newHost(counter, hostCount)
		}
		if test.joins && step == windowSteps+50 {
			for range test.hosts {
				dispatchers = append(dispatchers, test.newHost(counter, func() int { return 2 * test.hosts }))
			}
		}
		if test.joins && step == windowSteps+60 {
			knownHosts.Store(int64(2 * test.hosts))
		}
		for _, dispatcher := range dispatchers {
			for range test.perStep {
				counter.requests.Add()
				go dispatcher.Serve(t.Context(), newRequest(singleRoute(true)))
			}
		}
		time.Sleep(stepTime)
		counter.next()
	}
	time.Sleep(5 * time.Second)
	counter.next()
	counter.check(t)
}

// newHost returns a host's dispatcher. hostCount returns how many hosts it
// knows.
func (test budgetCase) newHost(counter *counter, hostCount func() int) *dispatch.Dispatcher {
	dispatcher := newDispatcher(&fakeReplicas{respond: func(string, int) (time.Duration, *verdict.Failure) {
		counter.attempts.Add()
		latency := 5 * time.Millisecond
		if counter.randomFloat() < test.slow {
			latency = 300 * time.Millisecond
		}
		if counter.randomFloat() < test.shed {
			return latency, newFailure(verdict.NotRun, verdict.Shed)
		}
		return latency, nil
	}})
	dispatcher.Hosts = hostCount
	dispatcher.Random = counter.randomFloat
	dispatcher.SetRetryBudget(retryBudgetRatio, retryBudgetSlack)
	// Keeps the throttle from refusing requests, so that each has a first attempt.
	dispatcher.Random = func() float64 { return 1 }
	return dispatcher
}

// series counts events in each step.
type series struct {
	mu    sync.Mutex
	steps []int
	// current counts the events of the current step.
	current int
}

// Add counts one event in the current step.
func (series *series) Add() {
	series.mu.Lock()
	defer series.mu.Unlock()
	series.current++
}

// next begins a new step.
func (series *series) next() {
	series.mu.Lock()
	defer series.mu.Unlock()
	series.steps = append(series.steps, series.current)
	series.current = 0
}

// counter counts the requests and attempts of all hosts.
type counter struct {
	mu       sync.Mutex
	random   *rand.Rand
	requests series
	attempts series
}

func (counter *counter) randomFloat() float64 {
	counter.mu.Lock()
	defer counter.mu.Unlock()
	return counter.random.Float64()
}

// next begins a new step.
func (counter *counter) next() {
	counter.requests.next()
	counter.attempts.next()
}

// check asserts the budget in each window.
func (counter *counter) check(t *testing.T) {
	extra := 0
	for begin := range counter.attempts.steps {
		requests, attempts := 0, 0
		for step := begin; step < min(begin+windowSteps, len(counter.attempts.steps)); step++ {
			requests += counter.requests.steps[step]
			attempts += counter.attempts.steps[step]
		}
		extra = max(extra, attempts-requests)
		qt.Assert(t, float64(attempts-requests) <= retryBudgetRatio*float64(requests)+retryBudgetSlack, qt.IsTrue, qt.Commentf("%d attempts for %d requests from step %d", attempts, requests, begin))
	}
	qt.Assert(t, extra > 0, qt.IsTrue, qt.Commentf("no extra attempt was sent"))
}
