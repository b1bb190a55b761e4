package dispatch

import (
	"fmt"
	"slices"
	"time"

	"fescuehall/verdict"
)

// bundleFlight is one bundle on its way.
type bundleFlight struct {
	bundle  Bundle
	parts   []*part
	started time.Time
	took    time.Duration
	// reply is set when the flight ends, gathered only if it is a success.
	reply    *Gathered
	gathered *Gathered
}

// startBundles hands shards to peers.
func (run *run) startBundles() {
	for _, bundle := range run.dispatcher.Plan(run.request.Route.Shards) {
		flight := &bundleFlight{bundle: bundle, started: time.Now()}
		for _, part := range run.parts {
			if slices.Contains(bundle.Shards, part.service) {
				part.bundle = flight
				flight.parts = append(flight.parts, part)
			}
		}
		run.bundles = append(run.bundles, flight)
		if bundle.Far {
			run.far += len(flight.parts)
		}
		run.inFlight++
		go func() {
			flight.reply = run.dispatcher.Ask(run.ctx, run.request, bundle)
			flight.took = time.Since(flight.started)
			run.bundled <- flight
		}()
	}
}

// landBundle takes a peer's answer. Shards that have not run there are asked
// from here.
func (run *run) landBundle(flight *bundleFlight) {
	run.inFlight--
	failure := flight.reply.Failure
	if failure == nil {
		if flight.bundle.Far && run.dispatcher.Reach != nil {
			run.farAnswered()
		}
		run.takeBundle(flight)
		return
	}
	for place, part := range run.parts {
		if part.bundle != flight {
			continue
		}
		part.bundle = nil
		part.joined = max(part.joined, failure.Verdict)
		part.failed = &Reply{Failure: failure}
		if failure.Verdict == verdict.NotRun {
			run.dispatcher.budget(part.service).First(1)
			if run.start(place, false) {
				continue
			}
		}
		run.end(part)
	}
}

// takeBundle counts the shards of a peer's success. Which ones it left out
// does not matter.
func (run *run) takeBundle(flight *bundleFlight) {
	flight.gathered = flight.reply
	in := min(len(flight.reply.Receipts), len(flight.parts))
	for place, part := range flight.parts {
		part.bundle = nil
		part.gathered = place < in
		if !part.gathered {
			part.over = true
			part.left = flight.bundle.Peer
		}
		part.joined = verdict.MayHaveRun
	}
	run.good += in
	run.open -= len(flight.parts)
}

// summary tells what the peer was asked and gave, for the log.
func (flight *bundleFlight) summary() string {
	switch {
	case flight.reply == nil:
		return fmt.Sprintf("%d asked, no answer yet", len(flight.parts))
	case flight.reply.Failure != nil:
		return fmt.Sprintf("%d asked, %v", len(flight.parts), flight.reply.Failure)
	}
	return fmt.Sprintf("%d of %d in %.1f ms", len(flight.reply.Receipts), len(flight.parts), float64(flight.took.Microseconds())/1000)
}
