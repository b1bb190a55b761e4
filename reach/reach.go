// Package reach detects that this host is isolated from the other failure
// domains, so that callers can be sent to hosts that are not.
package reach

import (
	"context"
	"sync"
	"time"

	"fescuehall/shard"
)

const (
	// missThreshold is the number of consecutive requests without an answer from
	// another failure domain after which the host probes its peers there.
	missThreshold = 4
	// missExpiry is the time without a miss after which earlier misses are no
	// longer counted, since old misses say nothing about the present state.
	missExpiry = 2 * time.Second
	// probeInterval is the time between probes while the host may be or is
	// isolated. probeTimeout limits each of them: it is many times the round trip
	// between failure domains.
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
	// maxProbed is the number of peers that are probed at once.
	maxProbed = 4
	// trialInterval is the time between two requests that an isolated host sends to
	// other failure domains all the same.
	trialInterval = 500 * time.Millisecond
)

// Monitor tracks whether this host is isolated. Set the fields before use.
type Monitor struct {
	// Domain is this host's failure domain.
	Domain string
	// Now is the clock.
	Now func() time.Time
	// Peers returns the known hosts.
	Peers func() []shard.Host
	// Probe probes a peer. It returns nil if the peer answers.
	Probe func(ctx context.Context, peer shard.Host) error
	// Shuffle shuffles n elements by swapping pairs, as rand.Shuffle does.
	Shuffle func(n int, swap func(i, j int))
	// Changed is called when the host becomes isolated and when it no longer is.
	Changed func(isolated bool)

	mu       sync.Mutex
	misses   int
	lastMiss time.Time
	isolated bool
	// lastTrial is when TakeTrial last returned true, or the isolation began.
	lastTrial time.Time
}

// RecordReply records an answer from another failure domain.
func (monitor *Monitor) RecordReply() {
	monitor.clear()
}

// clear forgets the misses and ends the isolation.
func (monitor *Monitor) clear() {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	monitor.misses = 0
	monitor.setIsolated(false)
}

// RecordMiss records a request that no other failure domain answered.
func (monitor *Monitor) RecordMiss() {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	now := monitor.Now()
	if now.Sub(monitor.lastMiss) > missExpiry {
		monitor.misses = 0
	}
	monitor.lastMiss = now
	monitor.misses++
}

// Isolated reports whether this host is isolated: it can't reach any other
// failure domain.
func (monitor *Monitor) Isolated() bool {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	return monitor.isolated
}

func (monitor *Monitor) setIsolated(isolated bool) {
	if monitor.isolated == isolated {
		return
	}
	monitor.isolated = isolated
	monitor.lastTrial = monitor.Now()
	monitor.Changed(isolated)
}

// TakeTrial reports whether an isolated host is to send a request to other failure
// domains. Servers there may answer although none of the known hosts does, and one
// answer ends the isolation.
func (monitor *Monitor) TakeTrial() bool {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	now := monitor.Now()
	if !monitor.trialDue(now) {
		return false
	}
	monitor.lastTrial = now
	return true
}

// TrialDue reports whether TakeTrial would return true. It changes no state.
func (monitor *Monitor) TrialDue() bool {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	return monitor.trialDue(monitor.Now())
}

func (monitor *Monitor) trialDue(now time.Time) bool {
	return monitor.isolated && now.Sub(monitor.lastTrial) >= trialInterval
}

// needsProbe reports whether the host may be or is isolated.
func (monitor *Monitor) needsProbe() bool {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	return monitor.isolated || monitor.misses >= missThreshold
}

// Run probes peers while the host may be or is isolated, until ctx ends.
func (monitor *Monitor) Run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if monitor.needsProbe() {
				monitor.probe(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

// probe probes some peers of other failure domains concurrently. One answer
// shows that the host is not isolated. A host without peers in other failure
// domains can't tell and is not considered isolated, also when the last of them has
// left the list of hosts.
func (monitor *Monitor) probe(ctx context.Context) {
	var remote []shard.Host
	for _, peer := range monitor.Peers() {
		if peer.FailureDomain != monitor.Domain {
			remote = append(remote, peer)
		}
	}
	if len(remote) == 0 {
		monitor.clear()
		return
	}
	monitor.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	remote = remote[:min(len(remote), maxProbed)]
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answers := make(chan error, len(remote))
	for _, peer := range remote {
		go func() { answers <- monitor.Probe(ctx, peer) }()
	}
	for range remote {
		if err := <-answers; err == nil {
			monitor.RecordReply()
			return
		}
	}
	if ctx.Err() != context.Canceled {
		monitor.mu.Lock()
		defer monitor.mu.Unlock()
		monitor.setIsolated(true)
	}
}
