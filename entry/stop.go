package entry

import (
	"context"
	"time"

	"fescuehall/caller"
	"fescuehall/link"
	"fescuehall/shutdown"
)

const (
	// handoverDelay gives peers time to learn that this host is leaving, before
	// its listener for callers is closed.
	handoverDelay    = 300 * time.Millisecond
	idlePollInterval = 10 * time.Millisecond
)

// stop shuts a host down gracefully. The host reports that it is not ready,
// keeps serving until the load balancer has noticed, announces to peers that it
// is leaving, so that others front its replicas, and completes the requests in
// flight, for up to Settings.Stop.MaxMillis. Those that are left then are answered as
// shutdown.Schedule says.
func (host *Host) stop(callerServer *caller.Server, peerServer *link.Server) {
	started := time.Now()
	maxDuration := time.Duration(host.Settings.Stop.MaxMillis) * time.Millisecond
	balancerLag := time.Duration(host.Settings.Stop.BalancerLagMillis) * time.Millisecond
	host.stopping.Store(true)
	host.log("Stopping; requests are accepted for another %v.", balancerLag)
	sleep(context.Background(), balancerLag)
	host.gossip.Send(host.detector.Leave())
	sleep(context.Background(), handoverDelay)
	host.shutdown.Begin(shutdown.NewSchedule(time.Now(), maxDuration))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-host.shutdown.Exit()
		cancel()
	}()
	if err := callerServer.Shutdown(ctx); err != nil {
		host.log("Stopping with unfinished requests after %v: %v.", time.Since(started).Round(time.Millisecond), err)
	}
	host.awaitIdle(ctx)
	if err := peerServer.Shutdown(ctx); err != nil {
		host.log("Stopping with unfinished requests after %v: %v.", time.Since(started).Round(time.Millisecond), err)
	}
	host.log("Stopped after %v.", time.Since(started).Round(time.Millisecond))
}

// awaitIdle waits until no sub-request from a peer or at a fronted replica is
// in flight, or ctx ends.
func (host *Host) awaitIdle(ctx context.Context) {
	for ctx.Err() == nil {
		inFlight := int(host.peerRequests.Load())
		for _, status := range host.front.Status() {
			inFlight += status.Running + status.Waiting
		}
		if inFlight == 0 {
			return
		}
		sleep(ctx, idlePollInterval)
	}
}
