// Package intake records the limits that replicas name in their answers: how many
// requests a second each takes from all hosts together.
package intake

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// changeInterval is the minimum time between two reports of a limit's changes. A
// replica may name another rate with each answer.
const changeInterval = time.Second

// Events of a limit.
const (
	Named   = "limit named"
	Changed = "limit changed"
	Lifted  = "limit lifted"
)

// Limit is a limit that a replica has named, with what this host has sent to it since.
type Limit struct {
	// Rate is in requests a second.
	Rate float64
	// Since is when this host learnt of the limit, NamedAt when it last heard of it.
	Since   time.Time
	NamedAt time.Time
	Counts  Counts
}

// Counts are the attempts that this host has sent to a replica since it learnt of its
// limit.
type Counts struct {
	Sent int
	// Extra counts the hedges and retries among them, ForPeers those for bundles.
	Extra    int
	ForPeers int
}

// Limits holds the limits that replicas have named. Set the exported fields before use.
type Limits struct {
	// Now is the clock.
	Now func() time.Time
	// Report is called with an event of a replica's limit and the rate before it, 0 if
	// there was none. It may be nil.
	Report func(event, replica string, limit Limit, before float64)

	// count is the number of limits, so that nothing is looked up while there are none.
	count  atomic.Int64
	mu     sync.Mutex
	limits map[string]*tracked
}

// tracked is a limit with what was last reported of it.
type tracked struct {
	Limit
	reported   float64
	reportedAt time.Time
}

// Any reports whether any replica has named a limit.
func (limits *Limits) Any() bool {
	return limits.count.Load() > 0
}

// Rate returns the rate that a replica has named, 0 if it has not.
func (limits *Limits) Rate(replica string) float64 {
	if !limits.Any() {
		return 0
	}
	limits.mu.Lock()
	defer limits.mu.Unlock()
	if found := limits.limits[replica]; found != nil {
		return found.Rate
	}
	return 0
}

// Record records an answer of a replica to an attempt that was started at a time. A
// rate of 0 means that the answer names no limit. It lifts the limit unless the attempt
// was started before an answer that named one, since answers may overtake each other.
func (limits *Limits) Record(replica string, rate float64, started time.Time) {
	if rate <= 0 && !limits.Any() {
		return
	}
	now := limits.Now()
	limits.mu.Lock()
	event, limit, before := "", Limit{}, 0.0
	if rate > 0 {
		event, limit, before = limits.name(replica, rate, now)
	} else {
		event, limit, before = limits.lift(replica, started)
	}
	limits.mu.Unlock()
	if event != "" && limits.Report != nil {
		limits.Report(event, replica, limit, before)
	}
}

// name records that a replica names a rate. It returns the event to report, empty if
// there is none, with the limit and the rate that was reported before. The caller holds
// the lock.
func (limits *Limits) name(replica string, rate float64, now time.Time) (event string, limit Limit, before float64) {
	found := limits.limits[replica]
	if found == nil {
		found = &tracked{Limit: Limit{Since: now}}
		if limits.limits == nil {
			limits.limits = make(map[string]*tracked)
		}
		limits.limits[replica] = found
		limits.count.Add(1)
		event = Named
	} else if rate != found.reported && now.Sub(found.reportedAt) >= changeInterval {
		event, before = Changed, found.reported
	}
	found.Rate, found.NamedAt = rate, now
	if event != "" {
		found.reported, found.reportedAt = rate, now
	}
	return event, found.Limit, before
}

// lift removes a replica's limit unless an attempt was started before an answer that
// named it. It returns what name does. The caller holds the lock.
func (limits *Limits) lift(replica string, started time.Time) (event string, limit Limit, before float64) {
	found := limits.limits[replica]
	if found == nil || !started.After(found.NamedAt) {
		return "", Limit{}, 0
	}
	delete(limits.limits, replica)
	limits.count.Add(-1)
	return Lifted, found.Limit, found.Rate
}

// RecordSent records an attempt that is sent to a replica.
func (limits *Limits) RecordSent(replica string, extra, forPeer bool) {
	if !limits.Any() {
		return
	}
	limits.mu.Lock()
	defer limits.mu.Unlock()
	found := limits.limits[replica]
	if found == nil {
		return
	}
	found.Counts.Sent++
	if extra {
		found.Counts.Extra++
	}
	if forPeer {
		found.Counts.ForPeers++
	}
}

// Forget drops the limit of a replica that no longer exists.
func (limits *Limits) Forget(replica string) {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	if limits.limits[replica] != nil {
		delete(limits.limits, replica)
		limits.count.Add(-1)
	}
}

// Figures are the metrics of one limit.
type Figures struct {
	Replica string
	// Rate is in requests a second, NamedAgeMillis the time since it was last named.
	Rate           float64
	NamedAgeMillis int64
	Counts
}

// maxFigures is the number of limits of which Figures returns the metrics.
const maxFigures = 100

// Figures returns the metrics of the limits with the lowest rates.
func (limits *Limits) Figures() []Figures {
	now := limits.Now()
	limits.mu.Lock()
	list := make([]Figures, 0, len(limits.limits))
	for replica, found := range limits.limits {
		list = append(list, Figures{Replica: replica, Rate: found.Rate, NamedAgeMillis: now.Sub(found.NamedAt).Milliseconds(), Counts: found.Counts})
	}
	limits.mu.Unlock()
	slices.SortFunc(list, func(a, b Figures) int {
		return cmp.Or(cmp.Compare(a.Rate, b.Rate), strings.Compare(a.Replica, b.Replica))
	})
	return list[:min(len(list), maxFigures)]
}
