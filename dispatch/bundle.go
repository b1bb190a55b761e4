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
	// receipts and records are what the peer's answers held so far.
	receipts []string
	records  [][]byte
	// ended is set by the last answer, and failure when that is one.
	ended   bool
	failure *verdict.Failure
}

// bundleNews is one answer of a peer.
type bundleNews struct {
	flight   *bundleFlight
	gathered *Gathered
	last     bool
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
			last := run.dispatcher.Ask(run.bundling, run.request, bundle, func(gathered *Gathered) {
				run.hear(bundleNews{flight: flight, gathered: gathered})
			})
			run.hear(bundleNews{flight: flight, gathered: last, last: true})
		}()
	}
}

// hear hands on an answer of a peer while the run takes them.
func (run *run) hear(news bundleNews) {
	select {
	case run.bundled <- news:
	case <-run.bundling.Done():
	}
}

// landBundle takes a peer's answer. Shards that have not run there are asked
// from here.
func (run *run) landBundle(news bundleNews) {
	flight := news.flight
	if news.gathered.Failure == nil {
		run.takeBundle(flight, news.gathered)
	}
	if !news.last {
		return
	}
	run.inFlight--
	flight.ended = true
	flight.took = time.Since(flight.started)
	flight.failure = news.gathered.Failure
	if flight.failure == nil {
		run.leaveOut(flight)
		return
	}
	run.failBundle(flight)
}

// takeBundle counts the shards that a peer has in. Which ones it has does not
// matter.
func (run *run) takeBundle(flight *bundleFlight, gathered *Gathered) {
	if flight.bundle.Far && run.dispatcher.Reach != nil {
		run.farAnswered()
	}
	for _, receipt := range gathered.Receipts {
		if len(flight.receipts) == len(flight.parts) {
			break
		}
		part := flight.parts[len(flight.receipts)]
		part.bundle = nil
		part.gathered = true
		part.joined = verdict.MayHaveRun
		flight.receipts = append(flight.receipts, receipt)
		run.good++
		run.open--
	}
	flight.records = append(flight.records, gathered.Records)
}

// leaveOut ends the shards that a peer's last answer did not bring.
func (run *run) leaveOut(flight *bundleFlight) {
	for _, part := range flight.parts[len(flight.receipts):] {
		part.bundle = nil
		part.left = flight.bundle.Peer
		part.joined = verdict.MayHaveRun
		run.end(part)
	}
}

// failBundle asks the shards of a bundle from here if it has not run, and gives
// them up otherwise.
func (run *run) failBundle(flight *bundleFlight) {
	for place, part := range run.parts {
		if part.bundle != flight {
			continue
		}
		part.bundle = nil
		part.joined = max(part.joined, flight.failure.Verdict)
		part.failed = &Reply{Failure: flight.failure}
		if flight.failure.Verdict == verdict.NotRun && len(flight.receipts) == 0 {
			run.dispatcher.budget(part.service).First(1)
			if run.start(place, false) {
				continue
			}
		}
		run.end(part)
	}
}

// summary tells what the peer was asked and gave, for the log.
func (flight *bundleFlight) summary() string {
	switch {
	case flight.failure != nil:
		return fmt.Sprintf("%d of %d in, %v", len(flight.receipts), len(flight.parts), flight.failure)
	case !flight.ended:
		return fmt.Sprintf("%d of %d in so far", len(flight.receipts), len(flight.parts))
	}
	return fmt.Sprintf("%d of %d in %.1f ms", len(flight.receipts), len(flight.parts), float64(flight.took.Microseconds())/1000)
}
