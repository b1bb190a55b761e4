package dispatch

import (
	"context"
	"slices"
	"time"

	"fescuehall/allowance"
	"fescuehall/replica"
	"fescuehall/roster"
	"fescuehall/verdict"
)

// part is the state of one shard of a gathered request, or of the whole of any
// other request.
type part struct {
	service string
	// attempted holds the IDs of the replicas that were sent an attempt.
	attempted map[string]bool
	attempts  []*sentAttempt
	// mayHaveRun counts the attempts that run or may have run, running those that
	// have not ended.
	mayHaveRun int
	running    int
	// unreachable counts the attempts that could not reach their replica.
	unreachable int
	// askUntil is how long the part may wait for replies of keepers while other replicas
	// could get its attempt, the zero time before the first such wait.
	askUntil time.Time
	// hedgeAt is when the part is hedged, zero if it is not to be hedged.
	hedgeAt time.Time
	// resumeAt is when the first attempt is sent, after the pause of a replica, zero
	// if the part waits for none.
	resumeAt time.Time
	// reply is the successful reply, nil before it.
	reply *Reply
	// notRetried is why the last failed attempt was not retried, empty if it was.
	notRetried string
	// lastFailure is the reply of the last failed attempt, worstVerdict the worst
	// verdict of all.
	lastFailure  *Reply
	worstVerdict verdict.Verdict
	// endedUnanswered is set when the part ended without an answer.
	endedUnanswered bool
	// reported is set once the reply was reported to the requesting peer.
	reported bool
	// sentBundle is the bundle that holds the part, nil once it is no longer with
	// the peer.
	sentBundle *sentBundle
	// answeredByPeer is set when a peer's reply holds an answer for the part.
	answeredByPeer bool
	// avoidDomain is the failure domain of a peer that is silent; replicas in other
	// domains are preferred.
	avoidDomain string
	// omittedBy names the peer whose replies hold too few answers. Only their
	// number is known, not which shards are missing, so this may be another
	// part than the one that the peer could not answer.
	omittedBy string
}

func (part *part) ended() bool {
	return part.reply != nil || part.endedUnanswered || part.answeredByPeer
}

// sentAttempt is an attempt that was sent, with its reply once it has ended.
type sentAttempt struct {
	// index is the part's index in run.parts.
	index   int
	replica roster.Replica
	started time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	reply   *Reply
	// waits is set if the attempt waits for a token since no replica may get it without.
	// ticket is its token, the zero value if the replica is not limited.
	waits  bool
	ticket allowance.Ticket
	// admittedAt is when it had its token, the zero time if it got none.
	admittedAt time.Time
	// askUntil is how long the attempt may wait for a keeper's reply unless waits is set.
	askUntil time.Time
	// extra is set for a hedge or a retry.
	extra bool
}

// startAttempt sends the next attempt of a part. It returns false when no
// replica is left to try.
func (run *run) startAttempt(index int, hedge bool) bool {
	part := run.parts[index]
	now := time.Now()
	chooser := chooser{limits: run.dispatcher.Limits, pick: run.dispatcher.Picker.PickAdmitted, mayAsk: !hedge && part.mayAsk(now), mayWait: !hedge}
	choice, ok := chooser.choose(run.candidates(part))
	if !ok {
		return false
	}
	if choice.ticket.Asking && part.askUntil.IsZero() {
		part.askUntil = now.Add(askWait)
	}
	sentAttempt := &sentAttempt{index: index, replica: choice.replica, started: now, waits: choice.waits, ticket: choice.ticket, askUntil: part.askUntil}
	sentAttempt.extra = part.mayHaveRun > 0 || part.lastFailure != nil && !wasNotSent(part.lastFailure.Failure)
	sentAttempt.ctx, sentAttempt.cancel = context.WithCancel(run.ctx)
	part.attempts = append(part.attempts, sentAttempt)
	part.attempted[sentAttempt.replica.ID] = true
	if run.isRemote(sentAttempt.replica) {
		run.remoteRequests++
	}
	part.mayHaveRun++
	part.running++
	run.inFlight++
	part.hedgeAt = time.Time{}
	if !hedge && run.request.Route.Idempotent {
		part.hedgeAt = sentAttempt.started.Add(run.dispatcher.hedgeAfter(run.request.Route))
	}
	go run.execute(sentAttempt)
	return true
}

// candidates returns the replicas that may get the request now and were not sent an
// attempt of the part.
func (run *run) candidates(part *part) []roster.Replica {
	all := run.withoutPaused(run.replicas(part.service))
	if len(part.attempted) == 0 && part.avoidDomain == "" {
		return all
	}
	var remaining, avoided []roster.Replica
	for _, replica := range all {
		switch {
		case part.attempted[replica.ID]:
		case part.avoidDomain != "" && replica.FailureDomain == part.avoidDomain:
			avoided = append(avoided, replica)
		default:
			remaining = append(remaining, replica)
		}
	}
	if len(remaining) == 0 {
		return avoided
	}
	return remaining
}

// execute performs an attempt and records its result. The attempt may end after
// the request was answered.
func (run *run) execute(sentAttempt *sentAttempt) {
	sentAttempt.reply = run.send(sentAttempt)
	sentAttempt.cancel()
	// Waiting for a token is not the replica's time.
	latency := time.Duration(0)
	if !sentAttempt.admittedAt.IsZero() {
		latency = time.Since(sentAttempt.admittedAt)
	}
	failure := sentAttempt.reply.Failure
	result := replica.Result{Latency: latency, Load: sentAttempt.reply.Load, Failed: failure != nil}
	if failure != nil {
		result.Unreachable = failure.Code == verdict.Unreachable
		// A replica that was sent nothing has not failed.
		result.Cancelled = slices.Contains([]verdict.Code{verdict.Cancelled, verdict.Draining, verdict.LimitReached}, failure.Code)
	}
	run.recordWishes(sentAttempt)
	run.dispatcher.Picker.Done(sentAttempt.replica.ID, result)
	run.recordLateness(sentAttempt.replica.ID, result, failure)
	if !sentAttempt.admittedAt.IsZero() && (failure == nil || result.Cancelled) {
		// A cancelled attempt would have taken at least this long. Without it the
		// hedge delay would be estimated from fast attempts only.
		run.dispatcher.hedgeDelay(run.request.Route).Add(latency)
	}
	run.completed <- sentAttempt
}

// recordWishes records that a replica said that it leaves, that it wants no requests for
// a while, or that it limits them.
func (run *run) recordWishes(sentAttempt *sentAttempt) {
	reply, picker := sentAttempt.reply, run.dispatcher.Picker
	if reply.Leaving && run.dispatcher.ReportLeaving != nil {
		run.dispatcher.ReportLeaving(sentAttempt.replica)
	}
	// A refusal does not show that the replica has lifted its limit.
	if run.dispatcher.ReportNamedRate != nil && (reply.NamedRate > 0 || reply.Receipt != "") {
		run.dispatcher.ReportNamedRate(sentAttempt.replica, reply.NamedRate, sentAttempt.started)
	}
	if reply.Pause > 0 {
		picker.Pause(sentAttempt.replica.ID, picker.Now().Add(reply.Pause))
	}
}

// recordLateness records in Suspects whether an attempt was in time or late. A
// refused attempt, or one that was cancelled early, counts as neither. A
// replica that was not found at its address always counts as late.
func (run *run) recordLateness(id string, result replica.Result, failure *verdict.Failure) {
	suspects := run.dispatcher.Suspects
	if suspects == nil {
		return
	}
	switch {
	case result.Latency > run.dispatcher.hedgeAfter(run.request.Route), isReplicaFault(failure):
		suspects.RecordLate(id)
	case failure == nil:
		suspects.RecordTimely(id)
	}
}

// isReplicaFault reports whether a failure shows that the replica does not
// work, in contrast to an overloaded replica and to a cancelled attempt.
func isReplicaFault(failure *verdict.Failure) bool {
	if failure == nil || failure.Code == verdict.Cancelled {
		return false
	}
	return failure.Verdict != verdict.NotRun || failure.Code == verdict.Unreachable || failure.Code == verdict.Misplaced
}

// handleCompletion processes an attempt that has ended.
func (run *run) handleCompletion(sentAttempt *sentAttempt) {
	part := run.parts[sentAttempt.index]
	part.running--
	run.inFlight--
	if sentAttempt.reply.Response != nil && run.isRemote(sentAttempt.replica) {
		run.recordRemoteReply()
	}
	if part.ended() {
		return
	}
	failure := sentAttempt.reply.Failure
	if failure == nil {
		part.reply = sentAttempt.reply
		run.answered++
		run.pending--
		part.cancelLosers()
		return
	}
	run.handleFailure(part, sentAttempt, failure)
}

// cancelLosers cancels the attempts of an answered part that still run, after
// cancelDelay.
func (part *part) cancelLosers() {
	if part.running == 0 {
		return
	}
	attempts := part.attempts
	time.AfterFunc(cancelDelay, func() {
		for _, sentAttempt := range attempts {
			sentAttempt.cancel()
		}
	})
}

// handleFailure retries a failed attempt or, when no other attempt of the part
// runs, ends the part.
func (run *run) handleFailure(part *part, sentAttempt *sentAttempt, failure *verdict.Failure) {
	part.lastFailure = sentAttempt.reply
	part.worstVerdict = max(part.worstVerdict, failure.Verdict)
	if failure.Verdict == verdict.NotRun {
		part.mayHaveRun--
	}
	if failure.Code == verdict.Misplaced {
		run.dispatcher.ReportMisplaced(sentAttempt.replica.ID)
	}
	if run.retry(sentAttempt.index, failure) || part.running > 0 {
		return
	}
	run.endUnanswered(part)
}

func (run *run) endUnanswered(part *part) {
	part.endedUnanswered = true
	run.pending--
}

// retry sends another attempt after a failure, if the request may run again and
// the budget of extra requests allows it. An attempt that was not sent, or reached no
// replica, is retried outside the budget, up to maxUnreachable attempts. Without an
// attempt, the reason is kept for the log.
func (run *run) retry(index int, failure *verdict.Failure) bool {
	part := run.parts[index]
	part.notRetried = run.retryObstacle(part, failure)
	if part.notRetried != "" {
		return false
	}
	if wasNotSent(failure) {
		if !part.asks(failure) {
			part.unreachable++
		}
		return run.startAttempt(index, false)
	}
	if part.notRetried = run.takeExtra(part.service); part.notRetried != "" {
		return false
	}
	run.retries++
	return run.startAttempt(index, false)
}

// wasNotSent reports whether an attempt reached no replica, or was not sent since the
// replica no longer accepts requests, or no more of them.
func wasNotSent(failure *verdict.Failure) bool {
	return failure.Code == verdict.Unreachable || failure.Code == verdict.Draining || failure.Code == verdict.LimitReached
}

// asks reports whether a failed attempt is followed by one that may ask keepers for a
// token of another replica.
func (part *part) asks(failure *verdict.Failure) bool {
	return failure.Code == verdict.LimitReached && part.mayAsk(time.Now())
}

// mayAsk reports whether an attempt may wait for the reply of a keeper.
func (part *part) mayAsk(now time.Time) bool {
	return part.askUntil.IsZero() || now.Before(part.askUntil)
}

// takeExtra takes a token for an extra attempt at a service. It returns why there is
// none, or an empty string. A workspace that sends more than its share gets none of
// the last half of the budget.
func (run *run) takeExtra(service string) (obstacle string) {
	budget := run.dispatcher.budget(service)
	workspace := run.request.Workspace
	if workspace != nil && budget.UnderHalf() && run.dispatcher.throttle(run.parts[0].service).AboveShare(workspace.Name) {
		return "workspace above its share"
	}
	if !budget.Take() {
		return "budget spent"
	}
	return ""
}

// retryObstacle returns why a failed attempt can't be retried whatever the budget
// is, or an empty string.
func (run *run) retryObstacle(part *part, failure *verdict.Failure) string {
	switch {
	case part.running > 0:
		return "another attempt runs"
	case part.mayHaveRun >= run.request.Route.MaxAttempts:
		return "maximum of attempts"
	case failure.Verdict != verdict.NotRun && !run.request.Route.Idempotent:
		return "not idempotent"
	case failure.Code == verdict.Cancelled || failure.Code == verdict.Paused:
		return "cancelled or paused"
	case failure.Code == verdict.Stopping:
		return "this host stops"
	case len(run.candidates(part)) == 0:
		return "no other replica"
	case wasNotSent(failure) && !part.asks(failure) && part.unreachable+1 >= maxUnreachable:
		return "too many unreachable replicas"
	}
	return ""
}

// hedgeLateParts sends a second attempt for the parts that are late, if the
// budget of extra requests allows it.
func (run *run) hedgeLateParts(now time.Time) {
	for index, part := range run.parts {
		if part.ended() || part.hedgeAt.IsZero() || now.Before(part.hedgeAt) {
			continue
		}
		part.hedgeAt = time.Time{}
		if part.mayHaveRun >= run.request.Route.MaxAttempts || len(run.candidates(part)) == 0 {
			continue
		}
		if run.takeExtra(part.service) != "" {
			continue
		}
		if !run.startAttempt(index, true) {
			run.dispatcher.budget(part.service).Refund()
			continue
		}
		run.hedges++
	}
}
