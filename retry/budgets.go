package retry

import (
	"sync"
	"sync/atomic"
)

const (
	// slackShare is the part of the slack that is used: the rest covers processes
	// that restart and hosts that are not known yet.
	slackShare = 0.7
	// ratioShare is the part of the ratio that is used: the rest covers requests
	// that callers abandon before they arrive.
	ratioShare = 0.95
)

// Budgets holds this host's share of each service's retry budget, which limits
// retries and hedges from all hosts together. The hosts don't communicate to
// share it. Call SetLimits before ForService.
type Budgets struct {
	limits   atomic.Pointer[limits]
	services sync.Map
}

// limits bounds the extra requests to a service from all hosts together: a
// ratio of its first requests, plus a fixed number.
type limits struct {
	ratio  float64
	slack  float64
	random func() float64
}

// SetLimits sets the limits of each service's budget: the extra requests from
// all hosts together stay within ratio times the first requests plus slack.
// random returns a number in [0, 1), with which the sum of fractions of a request
// begins, see Budget.Random. SetLimits may be called again.
func (budgets *Budgets) SetLimits(ratio, slack float64, random func() float64) {
	budgets.limits.Store(&limits{ratio: ratio, slack: slack, random: random})
}

// ForService returns this host's share of the budget of a service that is
// shared by the given number of hosts.
func (budgets *Budgets) ForService(service string, hosts int) *Budget {
	limits := budgets.limits.Load()
	ratio := limits.ratio * ratioShare
	burst := limits.slack * slackShare / float64(max(1, hosts))
	if existing, ok := budgets.services.Load(service); ok {
		budget := existing.(*Budget)
		budget.SetLimits(ratio, burst)
		return budget
	}
	stored, _ := budgets.services.LoadOrStore(service, &Budget{Ratio: ratio, Burst: burst, StartFull: true, Random: limits.random})
	return stored.(*Budget)
}
