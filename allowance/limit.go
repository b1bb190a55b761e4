// Package allowance holds limits on the number of requests that all hosts together
// may send, such as the requests a second of a workspace. Tokens of such a limit are
// accrued by one host of each failure domain, its keeper, and moved to the hosts that
// receive requests. Tokens are never copied: one that is lost with a message or a
// host is not used.
package allowance

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limit is a limit on the requests of all hosts together: in each span of Window, at
// most (Rate x Window + Burst) x (1 + Overage) + Slack, and what Reserve adds. Requests up
// to Rate x Window + Burst are to be allowed. The rest covers what the division among
// hosts costs.
type Limit struct {
	// Rate is in requests a second.
	Rate    float64
	Burst   float64
	Window  time.Duration
	Overage float64
	Slack   float64
	// Reserve is the number of requests a second that the hosts which no keeper tells
	// anything may send together. Each has a fixed part of it.
	Reserve float64
}

// Bound returns the maximum number of requests in one window.
func (limit Limit) Bound() float64 {
	window := limit.Window.Seconds()
	return (limit.Rate*window+limit.Burst)*(1+limit.Overage) + limit.Slack + limit.Reserve*(window+reserveSlot.Seconds())
}

const (
	// lifetimeShare is the share of the overage that is used for tokens that were
	// granted before a window and are used in it.
	lifetimeShare = 0.5
	minLifetime   = 50 * time.Millisecond
	maxLifetime   = 500 * time.Millisecond
	// capacityShare is the share of the slack by which buckets hold more than the
	// burst, so that a rare request of a small workspace finds a whole token in its
	// failure domain. startShare is the share of the slack that new keepers may
	// start with.
	capacityShare = 0.5
	startShare    = 0.375
	// startsPerWindow is the maximum number of keepers of one failure domain that
	// start within a window.
	startsPerWindow = 2
)

// lifetime returns the time after an ask was sent after which its tokens are void.
func (limit Limit) lifetime() time.Duration {
	share := time.Duration(lifetimeShare * limit.Overage * float64(limit.Window))
	return min(max(share, minLifetime), maxLifetime)
}

// share is a failure domain's part of a limit.
type share struct {
	// rate is in tokens a second, capacity the maximum number of tokens in the
	// bucket, and start the number that a new keeper begins with.
	rate     float64
	capacity float64
	start    float64
}

// share returns the part of each of the failure domains that share the limit. The
// sum of what they grant in a window and the lifetime before it stays below Bound.
func (limit Limit) share(domains int) share {
	window := limit.Window.Seconds()
	factor := min(1, (1+limit.Overage)*window/(window+limit.lifetime().Seconds()))
	count := float64(domains)
	return share{
		rate:     limit.Rate * factor / count,
		capacity: max(1, (limit.Burst+capacityShare*limit.Slack)/count),
		start:    min(1, startShare*limit.Slack/(startsPerWindow*count)),
	}
}

// sharingDomains returns the failure domains that share a limit, the preferred ones
// first. All of them do, unless the capacity of a bucket would be less than a token.
func (limit Limit) sharingDomains(name string, domains []string) []string {
	count := min(max(1, int(limit.Burst+capacityShare*limit.Slack)), len(domains))
	if count == len(domains) {
		return domains
	}
	ranked := slices.Clone(domains)
	slices.SortFunc(ranked, func(a, b string) int {
		scoreA, scoreB := xxhash.Sum64String(name+"\x00"+a), xxhash.Sum64String(name+"\x00"+b)
		switch {
		case scoreA < scoreB:
			return -1
		case scoreA > scoreB:
			return 1
		}
		return strings.Compare(a, b)
	})
	return ranked[:count]
}
