package dispatch

import (
	"context"
	"slices"
	"time"

	"fescuehall/roster"
)

const (
	// usualWays is kept of a target for the ways between the caller and this host,
	// a new connection included, where they are not measured.
	usualWays = 14 * time.Millisecond
	// waySlack is kept besides measured ways, for reading the request, merging and
	// sending the answer, some kilobytes over a small host's link, and timers that
	// are late.
	waySlack = 8 * time.Millisecond
	// hopMargin is how long before another host's answer it is told what is in, so
	// that small ones, which have several answers to merge at once, can.
	hopMargin = 10 * time.Millisecond
	// cutSlack is how late a timer may be.
	cutSlack = 5 * time.Millisecond
	// deadlineMargin is kept of a deadline for the way back.
	deadlineMargin = 5 * time.Millisecond
	// lingerTime lets the losers of a part end, which keeps their connections.
	// Longer than a new connection takes would keep slots from other work.
	lingerTime = 10 * time.Millisecond
	// tellEvery is the least time between two answers to a host that asks: its own
	// answer is due hopMargin after the first, so that one more is of use by then.
	tellEvery = 6 * time.Millisecond
	// maxDials bounds the tries of one shard that reach no replica.
	maxDials = 4
)

// run is one request on its way.
type run struct {
	dispatcher *Dispatcher
	request    *Request
	parts      []*part
	landings   chan *flight
	bundles    []*bundleFlight
	bundled    chan bundleNews
	ctx        context.Context
	cancel     context.CancelFunc
	// bundling ends when peers need not go on.
	bundling context.Context
	withdraw context.CancelFunc
	cutAt    time.Time
	good     int
	open     int
	inFlight int
	hedges   int
	retries  int
	cut      bool
	inTime   bool
	// toldAt is when the host that asks was told last.
	toldAt time.Time
	// far counts the shards asked in other failure domains, farIn those answers.
	far   int
	farIn int
	// reached is set once it is told whether other domains answer.
	reached bool
}

func newRun(dispatcher *Dispatcher, request *Request) *run {
	services := request.Route.Shards
	if !request.Route.Gathers() {
		services = []string{request.Route.Pick(dispatcher.Random())}
	}
	run := &run{dispatcher: dispatcher, request: request, open: len(services)}
	run.landings = make(chan *flight, len(services)*(request.Route.MaxTries+maxDials+1))
	// A peer answers at the target, with each part that comes, and at the end.
	run.bundled = make(chan bundleNews, 3*len(services))
	run.ctx, run.cancel = context.WithDeadline(context.Background(), request.Deadline.Add(-deadlineMargin))
	run.bundling, run.withdraw = context.WithCancel(run.ctx)
	if request.Route.Gathers() && request.Route.Target > 0 {
		run.cutAt = request.Received.Add(request.AnswerIn())
	}
	for _, service := range services {
		run.parts = append(run.parts, &part{service: service, tried: make(map[string]bool)})
	}
	return run
}

// beforeTarget reports whether an answer sent now is of full use. An answer
// that was cut at the target is.
func (run *run) beforeTarget(now time.Time) bool {
	if run.request.Route.Target == 0 {
		return true
	}
	return run.cut && now.Before(run.cutAt.Add(cutSlack)) || now.Before(run.request.Received.Add(run.request.AnswerIn()))
}

func (run *run) startAll() {
	for place, part := range run.parts {
		if part.bundle != nil {
			continue
		}
		run.dispatcher.budget(part.service).First(1)
		if !run.start(place, false) {
			run.end(part)
		}
	}
}

// wait runs the request until its answer is settled. It reports whether the
// caller left before.
func (run *run) wait(ctx context.Context) (gone bool) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !run.settled(time.Now()) {
		run.tell(time.Now())
		timer.Reset(time.Until(run.wake()))
		select {
		case flight := <-run.landings:
			run.land(flight)
		case bundle := <-run.bundled:
			run.landBundle(bundle)
		case <-timer.C:
			run.hedgeLate(time.Now())
		case <-ctx.Done():
			return true
		}
	}
	return false
}

// settled reports whether nothing better can come in time.
func (run *run) settled(now time.Time) bool {
	if run.open == 0 || !now.Before(run.request.Deadline.Add(-deadlineMargin)) {
		return true
	}
	if !run.cutAt.IsZero() && !now.Before(run.cutAt) {
		run.checkReach()
	}
	if run.request.hop() {
		// The host that asks withdraws the request when it has enough.
		return false
	}
	least := run.request.Route.LeastParts()
	if run.good+run.open < least {
		return true
	}
	if run.cutAt.IsZero() || run.good < least || now.Before(run.cutAt) {
		return false
	}
	run.cut = true
	return true
}

// tell tells the host that asks of what came since it was told last. The first
// time it is told in any case, as a sign of life.
func (run *run) tell(now time.Time) {
	if !run.request.hop() || run.cutAt.IsZero() || now.Before(run.tellAt()) {
		return
	}
	answer := run.untold()
	if len(answer.Receipts) > 0 || !run.cut {
		run.request.Tell(answer)
		run.toldAt = now
	}
	run.cut = true
}

// tellAt returns when the host that asks is next told.
func (run *run) tellAt() time.Time {
	if run.toldAt.IsZero() {
		return run.cutAt
	}
	return run.toldAt.Add(tellEvery)
}

// leastFar is the least number of shards asked in other failure domains whose
// silence counts.
const leastFar = 3

func (run *run) isFar(replica roster.Replica) bool {
	return run.dispatcher.Reach != nil && replica.FailureDomain != run.dispatcher.Domain
}

func (run *run) farAnswered() {
	run.farIn++
	run.dispatcher.Reach.Hit()
}

// checkReach tells once, at the target or the end, whether other failure
// domains left this request unanswered.
func (run *run) checkReach() {
	if run.dispatcher.Reach == nil || run.reached {
		return
	}
	run.reached = true
	if run.far >= leastFar && run.farIn == 0 {
		run.dispatcher.Reach.Miss()
	}
}

// wake returns when there is next something to decide.
func (run *run) wake() time.Time {
	next := run.request.Deadline.Add(-deadlineMargin)
	if !run.cutAt.IsZero() && run.cutAt.Before(next) && time.Now().Before(run.cutAt) {
		next = run.cutAt
	}
	if !run.toldAt.IsZero() && run.tellAt().Before(next) && run.hasUntold() {
		next = run.tellAt()
	}
	for _, part := range run.parts {
		if !part.ended() && !part.hedgeAt.IsZero() && part.hedgeAt.Before(next) {
			next = part.hedgeAt
		}
	}
	return next
}

func (run *run) hasUntold() bool {
	return slices.ContainsFunc(run.parts, func(part *part) bool { return part.reply != nil && !part.told })
}

// close withdraws the tries that still run: at once when the caller has left,
// and after a while otherwise.
func (run *run) close(gone bool) {
	run.withdraw()
	if gone && !run.request.hop() || run.inFlight == 0 {
		run.cancel()
		return
	}
	time.AfterFunc(lingerTime, run.cancel)
}
