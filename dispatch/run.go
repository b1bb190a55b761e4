package dispatch

import (
	"context"
	"slices"
	"time"

	"fescuehall/exchange"
	"fescuehall/roster"
)

const (
	// defaultNetworkDelay is reserved for the network between the caller and this
	// host, including a new connection, when the delay was not measured.
	defaultNetworkDelay = 14 * time.Millisecond
	// processingMargin is reserved in addition to a measured network delay: for
	// reading the request, merging and sending the answer (some kilobytes over a
	// small host's link), and late timers.
	processingMargin = 8 * time.Millisecond
	// peerReportMargin is the time from the first report to a requesting peer
	// until the peer's own answer is due. Small hosts need it, since they have
	// several such reports to merge at once.
	peerReportMargin = 10 * time.Millisecond
	// timerSlack is how late a timer may fire.
	timerSlack = 5 * time.Millisecond
	// deadlineMargin is reserved before the deadline for returning the answer.
	deadlineMargin = 5 * time.Millisecond
	// cancelDelay lets the attempts that lost to a faster one end by themselves,
	// which keeps their connections open. A delay longer than opening a new
	// connection takes would occupy slots that other requests need.
	cancelDelay = 10 * time.Millisecond
	// reportInterval is the minimum time between two reports to a requesting
	// peer. It is shorter than peerReportMargin, so that a second report still
	// arrives before the peer's own answer is due.
	reportInterval = 6 * time.Millisecond
	// maxUnreachable bounds the attempts for one shard that can't reach a replica.
	maxUnreachable = 4
)

// run is the state of one request while it is served. Only the goroutine of
// Serve changes it; attempts and bundles report to that goroutine through
// channels.
type run struct {
	dispatcher *Dispatcher
	request    *Request
	// template encodes what the attempts share.
	template *exchange.Template
	parts    []*part
	// completed receives the attempts that have ended.
	completed     chan *sentAttempt
	sentBundles   []*sentBundle
	bundleUpdates chan bundleUpdate
	// ctx bounds all attempts and bundles.
	ctx    context.Context
	cancel context.CancelFunc
	// bundleCtx ends when no more replies to bundles are needed.
	bundleCtx     context.Context
	cancelBundles context.CancelFunc
	// partialAt is when a gathered request is answered, or first reported to the
	// requesting peer, although parts are missing. It is zero without a target.
	partialAt time.Time
	// answered counts the parts with an answer, pending those that have not ended.
	answered int
	pending  int
	// inFlight counts the attempts and bundles that have not ended.
	inFlight int
	hedges   int
	retries  int
	// partial is set when partialAt led to the answer or the first report.
	partial bool
	// stopped is set when this host stops before all parts have ended.
	stopped bool
	// inTime is set when the request was answered before its target.
	inTime bool
	// reportedAt is when parts were last reported to the requesting peer.
	reportedAt time.Time
	// remoteRequests counts the shards requested from other failure domains,
	// remoteReplies the replies from there.
	remoteRequests int
	remoteReplies  int
	// remoteChecked is set by checkRemoteReplies.
	remoteChecked bool
}

func newRun(dispatcher *Dispatcher, request *Request) *run {
	services := request.Route.Shards
	if !request.Route.Gathers() {
		services = []string{request.Route.PickService(dispatcher.Random())}
	}
	run := &run{dispatcher: dispatcher, request: request, template: &exchange.Template{Request: request.Content}, pending: len(services)}
	run.completed = make(chan *sentAttempt, len(services)*(request.Route.MaxAttempts+maxUnreachable+1))
	// A peer replies at the target, after that with each part, and at the end.
	run.bundleUpdates = make(chan bundleUpdate, 3*len(services))
	run.ctx, run.cancel = context.WithDeadline(context.Background(), request.Deadline.Add(-deadlineMargin))
	run.bundleCtx, run.cancelBundles = context.WithCancel(run.ctx)
	if request.Route.Gathers() && request.Route.LatencyTarget > 0 {
		run.partialAt = request.Received.Add(request.AnswerWithin())
	}
	for _, service := range services {
		run.parts = append(run.parts, &part{service: service, attempted: make(map[string]bool)})
	}
	return run
}

// beforeTarget reports whether an answer sent now meets the latency target. A
// partial answer may be sent up to timerSlack later, since a timer triggers it.
func (run *run) beforeTarget(now time.Time) bool {
	if run.request.Route.LatencyTarget == 0 {
		return true
	}
	return run.partial && now.Before(run.partialAt.Add(timerSlack)) || now.Before(run.request.Received.Add(run.request.AnswerWithin()))
}

// startParts sends the first attempt of each part that is not in a bundle.
func (run *run) startParts() {
	for index, part := range run.parts {
		if part.sentBundle != nil {
			continue
		}
		run.dispatcher.budget(part.service).RecordFirst(1)
		run.startPart(index)
	}
}

// wait serves the request until it can be answered. It reports whether the
// caller left before.
func (run *run) wait(ctx context.Context) (callerLeft bool) {
	defer run.dispatcher.Stop.Await()()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var armed time.Time
	for !run.settled(time.Now()) {
		run.report(time.Now())
		if next := run.nextWakeup(); !next.Equal(armed) {
			timer.Reset(time.Until(next))
			armed = next
		}
		select {
		case sentAttempt := <-run.completed:
			run.handleCompletion(sentAttempt)
		case update := <-run.bundleUpdates:
			run.handleBundleUpdate(update)
		case <-timer.C:
			armed = time.Time{}
			run.abandonSilentBundles(time.Now())
			run.hedgeLateParts(time.Now())
			run.resumeParts(time.Now())
		case <-run.dispatcher.Stop.AnsweringEnded():
			run.stopped = true
		case <-ctx.Done():
			return true
		}
	}
	return false
}

// settled reports whether waiting longer can't give a better answer in time.
func (run *run) settled(now time.Time) bool {
	if run.stopped || run.pending == 0 || !now.Before(run.request.Deadline.Add(-deadlineMargin)) {
		return true
	}
	if !run.partialAt.IsZero() && !now.Before(run.partialAt) {
		run.checkRemoteReplies()
	}
	if run.request.fromPeer() {
		// The requesting peer cancels the request when it has enough parts.
		return false
	}
	minParts := run.request.Route.MinShards()
	if run.answered+run.pending < minParts {
		return true
	}
	if run.partialAt.IsZero() || run.answered < minParts || now.Before(run.partialAt) {
		return false
	}
	run.partial = true
	return true
}

// report sends the requesting peer the parts answered since the last report.
// The first report is sent even without any, to show that this host works.
func (run *run) report(now time.Time) {
	if !run.request.fromPeer() || run.partialAt.IsZero() || now.Before(run.nextReportAt()) {
		return
	}
	answer := run.takeUnreported()
	if len(answer.Receipts) > 0 || !run.partial {
		run.request.Report(answer)
		run.reportedAt = now
	}
	run.partial = true
}

// nextReportAt returns when the next report to the requesting peer may be sent.
func (run *run) nextReportAt() time.Time {
	if run.reportedAt.IsZero() {
		return run.partialAt
	}
	return run.reportedAt.Add(reportInterval)
}

// minRemoteRequests is the minimum number of shards requested from other
// failure domains for which missing replies are taken as a sign of isolation.
const minRemoteRequests = 3

func (run *run) isRemote(replica roster.Replica) bool {
	return run.dispatcher.Reach != nil && replica.FailureDomain != run.dispatcher.Domain
}

func (run *run) recordRemoteReply() {
	run.remoteReplies++
	run.dispatcher.Reach.RecordReply()
}

// checkRemoteReplies records a miss if other failure domains left this request
// unanswered. It does so once, at the target or at the end of the request.
func (run *run) checkRemoteReplies() {
	if run.dispatcher.Reach == nil || run.remoteChecked {
		return
	}
	run.remoteChecked = true
	if run.remoteRequests >= minRemoteRequests && run.remoteReplies == 0 {
		run.dispatcher.Reach.RecordMiss()
	}
}

// nextWakeup returns the next time at which there is something to decide.
func (run *run) nextWakeup() time.Time {
	next := run.request.Deadline.Add(-deadlineMargin)
	if !run.partialAt.IsZero() && run.partialAt.Before(next) && time.Now().Before(run.partialAt) {
		next = run.partialAt
	}
	next = run.earlierSilenceCheck(next)
	if !run.reportedAt.IsZero() && run.nextReportAt().Before(next) && run.hasUnreported() {
		next = run.nextReportAt()
	}
	for _, part := range run.parts {
		for _, at := range [...]time.Time{part.hedgeAt, part.resumeAt} {
			if !part.ended() && !at.IsZero() && at.Before(next) {
				next = at
			}
		}
	}
	return next
}

// earlierSilenceCheck returns the time at which peers are checked for silence if
// it is due before the given time, else that time.
func (run *run) earlierSilenceCheck(next time.Time) time.Time {
	if run.partialAt.IsZero() || !run.silenceAt().Before(next) || !slices.ContainsFunc(run.sentBundles, (*sentBundle).awaitsSilenceCheck) {
		return next
	}
	return run.silenceAt()
}

func (run *run) hasUnreported() bool {
	return slices.ContainsFunc(run.parts, func(part *part) bool { return part.reply != nil && !part.reported })
}

// close cancels the bundles at once. Attempts that still run are cancelled
// after cancelDelay, or at once when the caller itself has left.
func (run *run) close(callerLeft bool) {
	run.cancelBundles()
	if callerLeft && !run.request.fromPeer() || run.inFlight == 0 {
		run.cancel()
		return
	}
	time.AfterFunc(cancelDelay, run.cancel)
}
