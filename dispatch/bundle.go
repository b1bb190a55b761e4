package dispatch

import (
	"fmt"
	"slices"
	"time"

	"fescuehall/verdict"
)

// sentBundle is a bundle that was sent to its peer, with the replies so far.
type sentBundle struct {
	bundle   Bundle
	parts    []*part
	started  time.Time
	duration time.Duration
	// receipts and records are the contents of the peer's replies so far.
	receipts []string
	records  [][]byte
	// ended is set by the last reply. failure is set when that is a failure.
	ended   bool
	failure *verdict.Failure
	// mismatched is set once a reply held answers that can't belong to the bundle.
	// Later replies are dropped.
	mismatched bool
}

// mismatches reports whether a reply holds more answers than the bundle lacks,
// or an answer for the second time. The records of such a reply can't be told
// apart.
func (sentBundle *sentBundle) mismatches(bundleReply *BundleReply) bool {
	if len(sentBundle.receipts)+len(bundleReply.Receipts) > len(sentBundle.parts) {
		return true
	}
	for i, receipt := range bundleReply.Receipts {
		if slices.Contains(sentBundle.receipts, receipt) || slices.Contains(bundleReply.Receipts[:i], receipt) {
			return true
		}
	}
	return false
}

// bundleUpdate is one reply of a peer to a bundle.
type bundleUpdate struct {
	sentBundle *sentBundle
	reply      *BundleReply
	last       bool
}

// startBundles sends the planned bundles to their peers.
func (run *run) startBundles() {
	for _, bundle := range run.dispatcher.Plan(run.request.Route.Shards) {
		sentBundle := &sentBundle{bundle: bundle, started: time.Now()}
		for _, part := range run.parts {
			if slices.Contains(bundle.Shards, part.service) {
				part.sentBundle = sentBundle
				sentBundle.parts = append(sentBundle.parts, part)
			}
		}
		run.sentBundles = append(run.sentBundles, sentBundle)
		if bundle.Remote {
			run.remoteRequests += len(sentBundle.parts)
		}
		run.inFlight++
		go func() {
			last := run.dispatcher.Delegate(run.bundleCtx, run.request, bundle, func(bundleReply *BundleReply) {
				run.queueBundleUpdate(bundleUpdate{sentBundle: sentBundle, reply: bundleReply})
			})
			run.queueBundleUpdate(bundleUpdate{sentBundle: sentBundle, reply: last, last: true})
		}()
	}
}

// queueBundleUpdate passes a peer's reply to the run's loop, or drops it once
// bundles are cancelled.
func (run *run) queueBundleUpdate(update bundleUpdate) {
	select {
	case run.bundleUpdates <- update:
	case <-run.bundleCtx.Done():
	}
}

// handleBundleUpdate processes a peer's reply. After a failure, the parts that
// have not run at the peer are requested directly from their replicas.
func (run *run) handleBundleUpdate(update bundleUpdate) {
	sentBundle := update.sentBundle
	switch {
	case update.reply.Failure != nil:
	case sentBundle.mismatches(update.reply):
		sentBundle.mismatched = true
	case !sentBundle.mismatched:
		run.addBundleReply(sentBundle, update.reply)
	}
	if !update.last {
		return
	}
	run.inFlight--
	sentBundle.ended = true
	sentBundle.duration = time.Since(sentBundle.started)
	sentBundle.failure = update.reply.Failure
	if sentBundle.mismatched {
		sentBundle.failure = verdict.New(verdict.MayHaveRun, verdict.ReplyMismatch, "host %s sent answers twice, or more than it was asked for", sentBundle.bundle.Peer)
	}
	if sentBundle.failure == nil {
		run.endOmittedParts(sentBundle)
		return
	}
	run.handleBundleFailure(sentBundle)
}

// addBundleReply adds the contents of a peer's reply to its bundle. Receipts
// are not matched with shards: each one marks the bundle's next part as
// answered, since only the number of answered parts matters.
func (run *run) addBundleReply(sentBundle *sentBundle, bundleReply *BundleReply) {
	if sentBundle.bundle.Remote && run.dispatcher.Reach != nil {
		run.recordRemoteReply()
	}
	for _, receipt := range bundleReply.Receipts {
		part := sentBundle.parts[len(sentBundle.receipts)]
		part.sentBundle = nil
		part.answeredByPeer = true
		part.worstVerdict = verdict.MayHaveRun
		sentBundle.receipts = append(sentBundle.receipts, receipt)
		run.answered++
		run.pending--
	}
	sentBundle.records = append(sentBundle.records, bundleReply.Records)
}

// endOmittedParts ends the parts for which the peer's replies hold no answer.
func (run *run) endOmittedParts(sentBundle *sentBundle) {
	for _, part := range sentBundle.parts[len(sentBundle.receipts):] {
		part.sentBundle = nil
		part.omittedBy = sentBundle.bundle.Peer
		part.worstVerdict = verdict.MayHaveRun
		run.endUnanswered(part)
	}
}

// handleBundleFailure requests the parts of a failed bundle directly from their
// replicas if the bundle has not run, and ends them without an answer
// otherwise.
func (run *run) handleBundleFailure(sentBundle *sentBundle) {
	for index, part := range run.parts {
		if part.sentBundle != sentBundle {
			continue
		}
		part.sentBundle = nil
		part.worstVerdict = max(part.worstVerdict, sentBundle.failure.Verdict)
		part.lastFailure = &Reply{Failure: sentBundle.failure}
		if sentBundle.failure.Verdict == verdict.NotRun && len(sentBundle.receipts) == 0 {
			run.dispatcher.budget(part.service).RecordFirst(1)
			if run.startAttempt(index, false) {
				continue
			}
		}
		run.endUnanswered(part)
	}
}

// summary describes the bundle's outcome for the log.
func (sentBundle *sentBundle) summary() string {
	switch {
	case sentBundle.failure != nil:
		return fmt.Sprintf("%d of %d answered, %v", len(sentBundle.receipts), len(sentBundle.parts), sentBundle.failure)
	case !sentBundle.ended:
		return fmt.Sprintf("%d of %d answered so far", len(sentBundle.receipts), len(sentBundle.parts))
	}
	return fmt.Sprintf("%d of %d answered in %.1f ms", len(sentBundle.receipts), len(sentBundle.parts), float64(sentBundle.duration.Microseconds())/1000)
}
