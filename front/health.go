package front

import (
	"context"
	"sync"
	"time"

	"fescuehall/replica"
)

const (
	// healthInterval is below 3 s, the time in which a leaving server has to be
	// detected.
	healthInterval = time.Second
	healthTimeout  = 500 * time.Millisecond
	// idleTimeout is how long a replica is unused before its connections are
	// closed.
	idleTimeout = time.Minute
)

// PollHealth polls the health of the fronted replicas until ctx ends, and
// closes the connections of idle ones. The function fronted returns the
// addresses of the replicas that this host fronts at the moment.
func (front *Front) PollHealth(ctx context.Context, fronted func() []string) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		front.pollOnce(ctx, fronted())
		front.dropIdle()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (front *Front) pollOnce(ctx context.Context, addresses []string) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	var waitGroup sync.WaitGroup
	for _, address := range addresses {
		waitGroup.Go(func() { front.checkHealth(ctx, address) })
	}
	waitGroup.Wait()
}

// checkHealth requests the health of a replica and updates its mark. A single
// report that the server is draining is enough to mark it as leaving. A failed
// request is ignored, because the health endpoint may be slower than the
// service.
func (front *Front) checkHealth(ctx context.Context, address string) {
	state := front.replicaState(address)
	if state == nil {
		return
	}
	health, err := state.client.Load().Health(ctx)
	if err != nil {
		return
	}
	if health.Draining {
		front.Marks.Set(address, health.Instance, replica.FromHealth)
		return
	}
	if health.Ready {
		front.Marks.ReportReady(address, health.Instance)
	}
}

// dropIdle closes the connections of replicas that were not used for
// idleTimeout, and drops their state.
func (front *Front) dropIdle() {
	for index := range front.stripes {
		stripe := &front.stripes[index]
		stripe.mu.Lock()
		for address, state := range stripe.replicas {
			if front.Now().Sub(state.lastUse) > idleTimeout && state.queue.Running()+state.queue.Waiting() == 0 {
				state.client.Load().Close()
				delete(stripe.replicas, address)
			}
		}
		stripe.mu.Unlock()
	}
}
