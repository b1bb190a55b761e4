package dispatch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"fescuehall/verdict"
)

// ErrSilent is the cause with which a bundle is cancelled when its peer does not
// reply.
var ErrSilent = errors.New("the peer sends nothing")

// silenceMargin is the time after the answer was due from which a peer that has
// sent nothing counts as silent. A working peer reports before, even without
// any part; a small one may lack its processor for up to 100 ms.
const silenceMargin = 100 * time.Millisecond

// recentReply is the time before a bundle was sent within which its peer must have
// replied for its silence to mean anything.
const recentReply = time.Second

// sentBundle is a bundle that was sent to its peer, with the replies so far.
type sentBundle struct {
	bundle   Bundle
	parts    []*part
	cancel   context.CancelCauseFunc
	started  time.Time
	duration time.Duration
	// replied is set by the peer's first reply. silenceChecked is set once the peer
	// was checked for silence, abandoned when it was given up.
	replied        bool
	silenceChecked bool
	abandoned      bool
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
	for _, bundle := range run.dispatcher.Plan(run.request, run.allows) {
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
		ctx, cancel := context.WithCancelCause(run.bundleCtx)
		sentBundle.cancel = cancel
		go func() {
			defer cancel(nil)
			last := run.dispatcher.Delegate(ctx, run.request, bundle, func(bundleReply *BundleReply) {
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
	if sentBundle.abandoned {
		if update.last {
			run.inFlight--
		}
		return
	}
	sentBundle.replied = true
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
// replicas. Parts that may have run at the peer are requested only if that stays
// within the route's attempts; otherwise they end without an answer.
func (run *run) handleBundleFailure(sentBundle *sentBundle) {
	for index, part := range run.parts {
		if part.sentBundle != sentBundle {
			continue
		}
		part.sentBundle = nil
		part.worstVerdict = max(part.worstVerdict, sentBundle.failure.Verdict)
		part.lastFailure = &Reply{Failure: sentBundle.failure}
		if len(sentBundle.receipts) == 0 && run.requestDirectly(index, sentBundle) {
			continue
		}
		run.endUnanswered(part)
	}
}

// requestDirectly sends an attempt of a part after its bundle has failed, or has the
// part wait for the end of a pause. It returns false when none may be sent.
func (run *run) requestDirectly(index int, sentBundle *sentBundle) bool {
	part := run.parts[index]
	budget := run.dispatcher.budget(part.service)
	if sentBundle.failure.Verdict == verdict.NotRun {
		budget.RecordFirst(1)
		return run.startAttempt(index, false) || run.awaitPause(part)
	}
	if !run.repeatable(part, sentBundle) || run.takeExtra(part.service) != "" {
		return false
	}
	part.mayHaveRun++
	if sentBundle.bundle.Remote {
		part.avoidDomain = sentBundle.bundle.Domain
	}
	run.retries++
	return run.startAttempt(index, false)
}

// repeatable reports whether a part may be requested once more although it may
// have run at a peer. The peer may have tried any replicas, as many as the route
// allows, so the service must not have more than these. A peer that stops has given
// its attempts up, as one whose connection is lost.
func (run *run) repeatable(part *part, sentBundle *sentBundle) bool {
	maxAttempts := run.request.Route.MaxAttempts
	switch sentBundle.failure.Code {
	case verdict.Silent, verdict.ConnectionLost, verdict.Stopping:
		replicas := len(run.replicas(part.service))
		return maxAttempts > 1 && replicas > 0 && replicas <= maxAttempts
	}
	return false
}

// isSilent reports whether the peer of a bundle replied often until the bundle was
// sent, and has sent nothing since. The silence of a peer that is seldom asked
// says little.
func (run *run) isSilent(sentBundle *sentBundle) bool {
	peer, heardFrom := sentBundle.bundle.Peer, run.dispatcher.HeardFrom
	return heardFrom != nil && !heardFrom(peer, sentBundle.started) && heardFrom(peer, sentBundle.started.Add(-recentReply))
}

// canReplace reports whether the request still gets enough parts when a bundle is
// given up, from the other parts and those that may be requested directly.
// Otherwise a late reply of the peer is its only chance.
func (run *run) canReplace(sentBundle *sentBundle) bool {
	lost := 0
	for _, part := range sentBundle.parts {
		if !run.repeatable(part, sentBundle) || !run.dispatcher.budget(part.service).HasToken() {
			lost++
		}
	}
	return run.answered+run.pending-lost >= run.request.Route.MinShards()
}

// silenceAt returns the time at which a bundle's peer counts as silent.
func (run *run) silenceAt() time.Time {
	return run.partialAt.Add(silenceMargin)
}

// awaitsSilenceCheck reports whether a bundle has to be checked for silence.
func (sentBundle *sentBundle) awaitsSilenceCheck() bool {
	return !sentBundle.replied && !sentBundle.ended && !sentBundle.silenceChecked
}

// abandonSilentBundles gives up the bundles whose peers have sent nothing, to
// this or to another request, since the bundle was sent.
func (run *run) abandonSilentBundles(now time.Time) {
	if run.partialAt.IsZero() || now.Before(run.silenceAt()) {
		return
	}
	for _, sentBundle := range run.sentBundles {
		if !sentBundle.awaitsSilenceCheck() {
			continue
		}
		sentBundle.silenceChecked = true
		if !run.isSilent(sentBundle) {
			continue
		}
		sentBundle.failure = verdict.New(verdict.MayHaveRun, verdict.Silent, "host %s sends nothing", sentBundle.bundle.Peer)
		if !run.canReplace(sentBundle) {
			sentBundle.failure = nil
			continue
		}
		sentBundle.abandoned, sentBundle.ended = true, true
		sentBundle.duration = time.Since(sentBundle.started)
		sentBundle.cancel(ErrSilent)
		run.handleBundleFailure(sentBundle)
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
