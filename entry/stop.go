package entry

import (
	"context"
	"net/http"
	"time"
)

const (
	// handOverTime lets peers hear that this host leaves before its callers'
	// listener closes.
	handOverTime = 300 * time.Millisecond
	idlePoll     = 10 * time.Millisecond
	// flushTime lets the last replies to peers leave before their connections are
	// closed.
	flushTime = 100 * time.Millisecond
)

// stop ends a host by plan: it stops being ready, goes on until the balancer
// has noticed, hands over what it fronts, and finishes what is in flight.
func (host *Host) stop(callers *http.Server) {
	began := time.Now()
	longest := time.Duration(host.Settings.Stop.MaxMillis) * time.Millisecond
	lag := time.Duration(host.Settings.Stop.BalancerLagMillis) * time.Millisecond
	host.stopping.Store(true)
	host.log("Stop begins; callers are served for %v more.", lag)
	pause(context.Background(), lag)
	host.gossip.Send(host.detector.Leave())
	pause(context.Background(), handOverTime)
	ctx, cancel := context.WithTimeout(context.Background(), longest)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		host.log("Stop cuts callers' requests after %v.", longest)
	}
	host.finish(ctx)
	pause(context.Background(), flushTime)
	host.log("Stop took %v.", time.Since(began).Round(time.Millisecond))
}

// finish waits until no peer's sub-request and no fronted replica's work is in
// flight.
func (host *Host) finish(ctx context.Context) {
	for ctx.Err() == nil {
		busy := int(host.handling.Load())
		for _, status := range host.front.Status() {
			busy += status.Running + status.Waiting
		}
		if busy == 0 {
			return
		}
		pause(ctx, idlePoll)
	}
}
