package dispatch

import (
	"time"

	"fescuehall/answer"
	"fescuehall/logbook"
	"fescuehall/metric"
	"fescuehall/verdict"
)

// retryAfter is when a request that has not run may come back: a few times a
// replica's usual work.
const retryAfter = 60 * time.Millisecond

// refusedRetryAfter is when a request that was refused for load may come back:
// long enough for a burst to thin out, short against the deadlines.
const refusedRetryAfter = 250 * time.Millisecond

// refuse answers a request that is not admitted.
func (run *run) refuse(refusal float64) *Answer {
	run.cancel()
	refused := &Answer{Failure: verdict.New(verdict.NotRun, verdict.Overload, "too few requests are answered in time"), RetryAfter: refusedRetryAfter}
	run.observe("refused", time.Now())
	run.dispatcher.Event("refused", logbook.Fields{"id": run.request.ID, "route": run.request.Route.Name, "rank": run.request.Route.Rank, "version": run.request.Version, "chance": refusal})
	return refused
}

// cutOffRetryAfter is when a request may come back after a refusal by a host that
// is cut off: the balancer takes one to two seconds to choose other hosts.
const cutOffRetryAfter = time.Second

// refuseCutOff answers a request that this host can't answer while it is cut off.
func (run *run) refuseCutOff() *Answer {
	run.cancel()
	run.observe("cut off", time.Now())
	run.dispatcher.Event("cut off", logbook.Fields{"id": run.request.ID, "route": run.request.Route.Name, "rank": run.request.Route.Rank, "version": run.request.Version})
	return &Answer{Failure: verdict.New(verdict.NotRun, verdict.Unreachable, "no other failure domain can be reached"), RetryAfter: cutOffRetryAfter}
}

// answer returns the answer to what is in.
func (run *run) answer(gone bool) *Answer {
	if gone {
		return &Answer{Failure: verdict.New(verdict.MayHaveRun, verdict.CallerLeft, "caller left")}
	}
	if run.request.Route.Gathers() {
		return run.gathered()
	}
	only := run.parts[0]
	if only.reply != nil {
		return &Answer{Whole: only.reply.Answer}
	}
	if only.over && only.failed != nil && only.failed.Failure.Verdict == verdict.Ran && only.failed.Answer != nil {
		return &Answer{Whole: only.failed.Answer}
	}
	return run.failure()
}

func (run *run) gathered() *Answer {
	if run.good < run.request.Route.LeastParts() {
		return run.failure()
	}
	return run.untold()
}

// untold returns the parts that are in and were not told to another host.
func (run *run) untold() *Answer {
	answered := &Answer{Missing: len(run.parts) - run.good}
	bodies := make([][]byte, 0, run.good)
	for _, part := range run.parts {
		if part.reply != nil && !part.told {
			part.told = true
			answered.Receipts = append(answered.Receipts, part.reply.Receipt)
			bodies = append(bodies, part.reply.Answer.Body)
		}
	}
	for _, flight := range run.bundles {
		answered.Receipts = append(answered.Receipts, flight.receipts...)
		bodies = append(bodies, flight.records...)
	}
	answered.Records = answer.TopRecords(bodies, run.request.Route.TopK)
	return answered
}

// failure joins what is known of all tries: the request has not run only if
// none of them may have.
func (run *run) failure() *Answer {
	joined := verdict.NotRun
	cause := verdict.New(verdict.NotRun, verdict.NoReplica, "no replica takes work")
	for _, part := range run.parts {
		certainty := part.joined
		if part.reply != nil || part.gathered {
			certainty = verdict.Ran
		}
		if part.running > 0 || part.bundle != nil {
			certainty = max(certainty, verdict.MayHaveRun)
		}
		joined = max(joined, certainty)
		if part.failed != nil {
			cause = part.failed.Failure
		}
	}
	if !time.Now().Before(run.request.Deadline.Add(-deadlineMargin)) {
		cause = verdict.New(joined, verdict.DeadlinePassed, "no answer before the deadline")
	}
	failed := verdict.New(joined, cause.Code, "%d of %d parts in, %d needed: %s", run.good, len(run.parts), run.request.Route.LeastParts(), cause.Detail)
	return &Answer{Failure: failed, RetryAfter: retryAfter}
}

// log tells how the request was answered and what decided it.
func (run *run) log(answer *Answer, gone bool) {
	now := time.Now()
	fields := logbook.Fields{
		"id":      run.request.ID,
		"route":   run.request.Route.Name,
		"rank":    run.request.Route.Rank,
		"version": run.request.Version,
		"took_ms": float64(now.Sub(run.request.Received).Microseconds()) / 1000,
		"left_ms": run.request.Deadline.Sub(now).Milliseconds(),
		"parts":   len(run.parts),
		"in":      run.good,
		"hedges":  run.hedges,
		"retries": run.retries,
		"cut":     run.cut,
		"ways_ms": float64(run.request.Ways.Microseconds()) / 1000,
	}
	for _, bundle := range run.bundles {
		fields["peer_"+bundle.bundle.Peer] = bundle.summary()
	}
	if missing := run.missing(); missing != "" {
		fields["missing"] = missing
	}
	outcome := "answered"
	// A host that has enough withdraws what it asked a peer.
	withdrawn := gone && run.request.hop() && run.good > 0
	if run.request.hop() {
		outcome = "answered a peer"
	}
	if answer.Failure != nil && !withdrawn {
		outcome = "failed"
		fields["verdict"] = answer.Failure.Verdict.String()
		fields["code"] = string(answer.Failure.Code)
		fields["detail"] = answer.Failure.Detail
	}
	if gone && !withdrawn {
		outcome = "caller left"
	}
	run.observe(outcome, now)
	run.dispatcher.Event(outcome, fields)
}

func (run *run) observe(outcome string, now time.Time) {
	if run.dispatcher.Observe == nil {
		return
	}
	run.dispatcher.Observe(metric.Request{
		Route:   run.request.Route.Name,
		Rank:    run.request.Route.Rank,
		Outcome: outcome,
		LeftOut: len(run.parts) - run.good,
		Hedges:  run.hedges,
		Retries: run.retries,
		Took:    now.Sub(run.request.Received),
	})
}

// missing names the first shard that is not in, and why.
func (run *run) missing() string {
	for _, part := range run.parts {
		if part.reply != nil || part.gathered {
			continue
		}
		if part.bundle != nil {
			return part.service + ": no answer yet of host " + part.bundle.bundle.Peer
		}
		if part.left != "" {
			return part.service + ": left out by host " + part.left
		}
		if part.failed != nil {
			return part.service + ": " + part.failed.Failure.Error()
		}
		if part.running > 0 {
			return part.service + ": no answer yet"
		}
		return part.service + ": no replica takes work"
	}
	return ""
}
