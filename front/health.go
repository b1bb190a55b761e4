package front

import (
	"context"
	"sync"
	"time"

	"fescuehall/replica"
)

const (
	// healthInterval is shorter than the 3 s in which a leaving server has to
	// be known.
	healthInterval = time.Second
	healthTimeout  = 500 * time.Millisecond
	// idleTime is after which connections to a replica are dropped.
	idleTime = time.Minute
)

// Poll reads the health of the given replicas until ctx ends. Fronted returns
// the addresses that this host fronts now.
func (front *Front) Poll(ctx context.Context, fronted func() []string) {
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
	var group sync.WaitGroup
	for _, address := range addresses {
		group.Go(func() { front.checkHealth(ctx, address) })
	}
	group.Wait()
}

// checkHealth believes a report of leaving at once. A failed report says
// nothing: the endpoint may be slower than the service.
func (front *Front) checkHealth(ctx context.Context, address string) {
	desk := front.desk(address)
	if desk == nil {
		return
	}
	health, err := desk.client.Load().Health(ctx)
	if err != nil {
		return
	}
	if health.Draining {
		front.Marks.Set(address, health.Instance, replica.FromHealth)
		return
	}
	if health.Ready {
		front.Marks.Ready(address, health.Instance)
	}
}

// dropIdle closes the connections of replicas that are not used any more.
func (front *Front) dropIdle() {
	for place := range front.shards {
		shard := &front.shards[place]
		shard.mu.Lock()
		for address, desk := range shard.desks {
			if front.Now().Sub(desk.lastUse) > idleTime && desk.queue.Running()+desk.queue.Waiting() == 0 {
				desk.client.Load().Close()
				delete(shard.desks, address)
			}
		}
		shard.mu.Unlock()
	}
}
