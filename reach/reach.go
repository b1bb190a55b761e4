// Package reach finds out that this host is cut off from other failure domains,
// so that callers can be sent to hosts that are not.
package reach

import (
	"context"
	"sync"
	"time"

	"fescuehall/shard"
)

const (
	// missesSuspect requests in a row without an answer from another domain make
	// the host ask its peers there.
	missesSuspect = 4
	// missesTime is how long misses count. Old ones say nothing of now.
	missesTime = 2 * time.Second
	// probeEvery is the pause between questions while the host is in doubt or cut
	// off, and probeTimeout bounds one: many times the way between domains.
	probeEvery   = 250 * time.Millisecond
	probeTimeout = 300 * time.Millisecond
	// mostProbed peers are asked at a time.
	mostProbed = 4
)

// Gate says whether this host is cut off. Set the fields before use.
type Gate struct {
	// Domain is this host's failure domain.
	Domain string
	// Now is the clock.
	Now func() time.Time
	// Peers returns the hosts known.
	Peers func() []shard.Host
	// Ask returns nil when a peer answers.
	Ask func(ctx context.Context, peer shard.Host) error
	// Shuffle shuffles n things by swapping pairs, as rand.Shuffle does.
	Shuffle func(n int, swap func(i, j int))
	// Changed is told when the host is cut off and when it no longer is.
	Changed func(cutOff bool)

	mu     sync.Mutex
	misses int
	missed time.Time
	cutOff bool
}

// Hit records an answer from another failure domain.
func (gate *Gate) Hit() {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.misses = 0
	gate.set(false)
}

// Miss records a request that other failure domains left unanswered.
func (gate *Gate) Miss() {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	now := gate.Now()
	if now.Sub(gate.missed) > missesTime {
		gate.misses = 0
	}
	gate.missed = now
	gate.misses++
}

// CutOff reports whether no other failure domain can be reached.
func (gate *Gate) CutOff() bool {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	return gate.cutOff
}

func (gate *Gate) set(cutOff bool) {
	if gate.cutOff == cutOff {
		return
	}
	gate.cutOff = cutOff
	gate.Changed(cutOff)
}

func (gate *Gate) inDoubt() bool {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	return gate.cutOff || gate.misses >= missesSuspect
}

// Run asks peers while the host is in doubt, until ctx ends.
func (gate *Gate) Run(ctx context.Context) {
	ticker := time.NewTicker(probeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if gate.inDoubt() {
				gate.probe(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

// probe asks some peers of other domains at once. One answer is enough. A host
// without such peers can't tell and is not cut off.
func (gate *Gate) probe(ctx context.Context) {
	var far []shard.Host
	for _, peer := range gate.Peers() {
		if peer.FailureDomain != gate.Domain {
			far = append(far, peer)
		}
	}
	gate.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	far = far[:min(len(far), mostProbed)]
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answers := make(chan error, len(far))
	for _, peer := range far {
		go func() { answers <- gate.Ask(ctx, peer) }()
	}
	for range far {
		if err := <-answers; err == nil {
			gate.Hit()
			return
		}
	}
	if len(far) > 0 && ctx.Err() != context.Canceled {
		gate.mu.Lock()
		defer gate.mu.Unlock()
		gate.set(true)
	}
}
