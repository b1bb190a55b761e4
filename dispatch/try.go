package dispatch

import (
	"context"
	"time"

	"fescuehall/replica"
	"fescuehall/roster"
	"fescuehall/verdict"
)

// part is the state of one shard, or of the whole of a request that is not
// gathered.
type part struct {
	service string
	tried   map[string]bool
	flights []*flight
	// mayRun counts the tries that run or may have run.
	mayRun  int
	running int
	dials   int
	hedgeAt time.Time
	reply   *Reply
	// failed is the last failure, joined the gravest verdict of all.
	failed *Reply
	joined verdict.Verdict
	over   bool
	// told is set once another host was told of the reply.
	told bool
	// bundle is set while a peer gathers the part.
	bundle *bundleFlight
	// gathered is set when a peer's answer covers the part.
	gathered bool
	// left names the peer that left the part out; which one is not known, only how
	// many.
	left string
}

func (part *part) ended() bool {
	return part.reply != nil || part.over || part.gathered
}

// flight is one try on its way.
type flight struct {
	place   int
	replica roster.Replica
	started time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	reply   *Reply
}

// start sends the next try of a part. It returns false when no replica is left.
func (run *run) start(place int, hedge bool) bool {
	part := run.parts[place]
	candidates := run.candidates(part)
	ids := make([]string, len(candidates))
	for place, candidate := range candidates {
		ids[place] = candidate.ID
	}
	chosen := run.dispatcher.Picker.Pick(ids)
	if chosen < 0 {
		return false
	}
	flight := &flight{place: place, replica: candidates[chosen], started: time.Now()}
	flight.ctx, flight.cancel = context.WithCancel(run.ctx)
	part.flights = append(part.flights, flight)
	part.tried[flight.replica.ID] = true
	if run.isFar(flight.replica) {
		run.far++
	}
	part.mayRun++
	part.running++
	run.inFlight++
	part.hedgeAt = time.Time{}
	if !hedge && run.request.Route.Idempotent {
		part.hedgeAt = flight.started.Add(run.dispatcher.hedgeAfter(run.request.Route))
	}
	go run.fly(flight)
	return true
}

func (run *run) candidates(part *part) []roster.Replica {
	all := run.dispatcher.Replicas(part.service)
	if len(part.tried) == 0 {
		return all
	}
	var left []roster.Replica
	for _, replica := range all {
		if !part.tried[replica.ID] {
			left = append(left, replica)
		}
	}
	return left
}

// fly runs one try to its end, which may be after the request's own.
func (run *run) fly(flight *flight) {
	flight.reply = run.dispatcher.Send(flight.ctx, &Try{Request: run.request, Replica: flight.replica})
	flight.cancel()
	took := time.Since(flight.started)
	failure := flight.reply.Failure
	result := replica.Result{Took: took, Waiting: flight.reply.Load.Waiting, Failed: failure != nil}
	if failure != nil {
		result.Lost = failure.Code == verdict.Unreachable
		result.Cancelled = failure.Code == verdict.Cancelled
	}
	run.dispatcher.Picker.Done(flight.replica.ID, result)
	run.judge(flight.replica.ID, result, failure)
	if failure == nil || result.Cancelled {
		// A try that was withdrawn took at least that long. Without it the delay
		// would learn from fast tries alone.
		run.dispatcher.delay(run.request.Route).Add(took)
	}
	run.landings <- flight
}

// judge tells the suspicions of a try that was in time or late. A refusal, or a
// try that was withdrawn early, is neither. A replica that is not at its address
// is late for good.
func (run *run) judge(id string, result replica.Result, failure *verdict.Failure) {
	suspects := run.dispatcher.Suspects
	if suspects == nil {
		return
	}
	switch {
	case result.Took > run.dispatcher.hedgeAfter(run.request.Route), isAbsent(failure):
		suspects.Late(id)
	case failure == nil:
		suspects.Timely(id)
	}
}

// isAbsent reports whether a failure tells of a replica that does not work, in
// contrast to a full one and to a try that was withdrawn.
func isAbsent(failure *verdict.Failure) bool {
	if failure == nil || failure.Code == verdict.Cancelled {
		return false
	}
	return failure.Verdict != verdict.NotRun || failure.Code == verdict.Unreachable || failure.Code == verdict.Misplaced
}

// land takes the end of a try.
func (run *run) land(flight *flight) {
	part := run.parts[flight.place]
	part.running--
	run.inFlight--
	if flight.reply.Answer != nil && run.isFar(flight.replica) {
		run.farAnswered()
	}
	if part.ended() {
		return
	}
	failure := flight.reply.Failure
	if failure == nil {
		part.reply = flight.reply
		run.good++
		run.open--
		part.withdraw()
		return
	}
	run.fail(part, flight, failure)
}

// withdraw ends the tries that lost, after a while.
func (part *part) withdraw() {
	if part.running == 0 {
		return
	}
	flights := part.flights
	time.AfterFunc(lingerTime, func() {
		for _, flight := range flights {
			flight.cancel()
		}
	})
}

func (run *run) fail(part *part, flight *flight, failure *verdict.Failure) {
	part.failed = flight.reply
	part.joined = max(part.joined, failure.Verdict)
	if failure.Verdict == verdict.NotRun {
		part.mayRun--
	}
	if failure.Code == verdict.Misplaced {
		run.dispatcher.Misplaced(flight.replica.ID)
	}
	if run.retry(flight.place, failure) || part.running > 0 {
		return
	}
	run.end(part)
}

func (run *run) end(part *part) {
	part.over = true
	run.open--
}

// retry sends another try after a failure, if the request may run again and
// the budget lets it.
func (run *run) retry(place int, failure *verdict.Failure) bool {
	part := run.parts[place]
	if part.running > 0 || part.mayRun >= run.request.Route.MaxTries {
		return false
	}
	if failure.Verdict != verdict.NotRun && !run.request.Route.Idempotent {
		return false
	}
	if failure.Code == verdict.Cancelled || len(run.candidates(part)) == 0 {
		return false
	}
	if failure.Code == verdict.Unreachable {
		part.dials++
		return part.dials < maxDials && run.start(place, false)
	}
	if !run.dispatcher.budget(part.service).Take() {
		return false
	}
	run.retries++
	return run.start(place, false)
}

// hedgeLate hedges the tries that are late.
func (run *run) hedgeLate(now time.Time) {
	for place, part := range run.parts {
		if part.ended() || part.hedgeAt.IsZero() || now.Before(part.hedgeAt) {
			continue
		}
		part.hedgeAt = time.Time{}
		if part.mayRun >= run.request.Route.MaxTries || len(run.candidates(part)) == 0 {
			continue
		}
		if run.dispatcher.budget(part.service).Take() && run.start(place, true) {
			run.hedges++
		}
	}
}
