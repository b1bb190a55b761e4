package retry

import (
	"sync"
	"sync/atomic"
)

const (
	// slackShare of the slack is spent: the rest covers processes that start
	// again and hosts that are not known yet.
	slackShare = 0.7
	// ratioShare of the ratio is spent, for requests that callers give up before
	// they arrive.
	ratioShare = 0.95
)

// Budgets holds this host's part of budgets that all hosts share, one for each
// service, without asking the others. Share is called before Of.
type Budgets struct {
	shared   atomic.Pointer[shared]
	services sync.Map
}

// shared is the extra requests a service may get from all hosts: a share of its
// requests, and a number.
type shared struct {
	ratio  float64
	slack  float64
	random func() float64
}

// Share bounds the extra requests that a service may get from all hosts by a
// share of its requests and a number. Parts of a request are spent as chances,
// by random, which returns a number in [0, 1). It may be called again.
func (budgets *Budgets) Share(ratio, slack float64, random func() float64) {
	budgets.shared.Store(&shared{ratio: ratio, slack: slack, random: random})
}

// Of returns this host's part of the budget of a service, where a number of
// hosts share it.
func (budgets *Budgets) Of(service string, hosts int) *Budget {
	allowed := budgets.shared.Load()
	ratio := allowed.ratio * ratioShare
	burst := allowed.slack * slackShare / float64(max(1, hosts))
	if found, ok := budgets.services.Load(service); ok {
		budget := found.(*Budget)
		budget.Bound(ratio, burst)
		return budget
	}
	found, _ := budgets.services.LoadOrStore(service, &Budget{Ratio: ratio, Burst: burst, Full: true, Random: allowed.random})
	return found.(*Budget)
}
