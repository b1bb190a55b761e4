package front

import (
	"context"
	"errors"
	"sync"
	"time"

	"fescuehall/retry"
)

const (
	// preemptRatio bounds the searches that are run a second time.
	preemptRatio = 0.1
	preemptBurst = 8
)

var errPreempted = errors.New("preempted by a more urgent request")

// running is one search that holds a slot.
type running struct {
	rank int
	// yields is set when the search may be run again.
	yields    bool
	started   time.Time
	cancel    context.CancelCauseFunc
	preempted bool
}

// runners are the searches that hold the slots of one replica.
type runners struct {
	mu      sync.Mutex
	current map[*running]bool
	budget  retry.Budget
}

func newRunners() *runners {
	return &runners{current: make(map[*running]bool), budget: retry.Budget{Ratio: preemptRatio, Burst: preemptBurst}}
}

func (runners *runners) start(search *running) {
	runners.budget.First(1)
	runners.mu.Lock()
	defer runners.mu.Unlock()
	runners.current[search] = true
}

func (runners *runners) end(search *running) {
	runners.mu.Lock()
	defer runners.mu.Unlock()
	delete(runners.current, search)
}

// preempt cancels the youngest search of a less urgent rank that may run
// again. It reports whether there was one.
func (runners *runners) preempt(rank int) bool {
	runners.mu.Lock()
	defer runners.mu.Unlock()
	var victim *running
	for search := range runners.current {
		if search.rank <= rank || !search.yields || search.preempted {
			continue
		}
		if victim == nil || search.started.After(victim.started) {
			victim = search
		}
	}
	if victim == nil || !runners.budget.Take() {
		return false
	}
	victim.preempted = true
	victim.cancel(errPreempted)
	return true
}
