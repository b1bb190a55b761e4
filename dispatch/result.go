package dispatch

import (
	"maps"
	"time"

	"fescuehall/answer"
	"fescuehall/logbook"
	"fescuehall/metric"
	"fescuehall/reach"
	"fescuehall/verdict"
)

// failureRetryAfter is the delay after which the caller may send a failed
// request again, if it has not run: a few times a replica's usual service time.
const failureRetryAfter = 60 * time.Millisecond

// overloadRetryAfter is the delay after which the caller may retry a request
// that was refused for overload: long enough for a burst to subside, short
// compared with the deadlines.
const overloadRetryAfter = 250 * time.Millisecond

// fields returns the log fields that name the request.
func (run *run) fields() logbook.Fields {
	fields := logbook.Fields{"id": run.request.ID, "route": run.request.Route.Name, "rank": run.request.Rank(), "version": run.request.Version}
	if run.request.Workspace != nil {
		fields["workspace"] = run.request.Workspace.Name
	}
	return fields
}

// refuse answers a request that the throttle did not admit.
func (run *run) refuse(refusalProbability float64) *Answer {
	run.cancel()
	run.observe("refused", time.Now())
	fields := run.fields()
	fields["chance"] = refusalProbability
	run.dispatcher.Event("refused", fields)
	return overloadAnswer()
}

func overloadAnswer() *Answer {
	return &Answer{Failure: verdict.New(verdict.NotRun, verdict.Overload, "too few requests are answered in time"), RetryAfter: overloadRetryAfter}
}

// refuseUnlessServable answers a request that this host is known to be unable to
// serve. It returns nil for any other.
func (run *run) refuseUnlessServable() *Answer {
	event, answer := run.refusal((*reach.Monitor).TakeTrial)
	if answer == nil {
		return nil
	}
	run.cancel()
	run.observe(event, time.Now())
	run.dispatcher.Event(event, run.fields())
	return answer
}

// refusal returns the answer to a request that this host is known to be unable to
// serve, and the name of that event; nil for any other. It changes no state, unless
// isTrial does, which tells whether an isolated host is to send a request to other
// failure domains all the same.
func (run *run) refusal(isTrial func(*reach.Monitor) bool) (event string, answer *Answer) {
	switch {
	case !run.dispatcher.Stop.Admits(0):
		return "stopping", &Answer{Failure: verdict.New(verdict.NotRun, verdict.Stopping, "this host stops"), RetryAfter: run.stoppingRetryAfter()}
	case run.isolated() && !isTrial(run.dispatcher.Reach):
		return "cut off", &Answer{Failure: verdict.New(verdict.NotRun, verdict.Unreachable, "no other failure domain can be reached"), RetryAfter: isolatedRetryAfter}
	case !run.servable():
		return "unservable", &Answer{Failure: verdict.New(verdict.NotRun, verdict.NoReplica, "too few shards have a replica that accepts requests"), RetryAfter: unservableRetryAfter}
	}
	return "", nil
}

// isolatedRetryAfter is the delay after which the caller may retry a request
// that an isolated host refused: the load balancer takes one to two seconds to
// switch to other hosts.
const isolatedRetryAfter = time.Second

// unservableRetryAfter is the delay after which the caller may retry a request
// whose shards have too few replicas: the time in which the list of replicas is
// read again.
const unservableRetryAfter = 800 * time.Millisecond

// stoppingRetryAfter returns the delay after which the caller of a request that this
// host refuses to stop may send it to another host. A stop refuses many requests at
// once: the urgent ones return first, and those of a rank not all at the same time.
func (run *run) stoppingRetryAfter() time.Duration {
	const (
		minDelay = 10 * time.Millisecond
		rankStep = 150 * time.Millisecond
		maxRank  = 3
	)
	steps := float64(min(run.request.Rank(), maxRank)) + run.dispatcher.Random()
	return minDelay + time.Duration(steps*float64(rankStep))
}

// answer returns the answer to the request.
func (run *run) answer(callerLeft bool) *Answer {
	if callerLeft {
		return &Answer{Failure: verdict.New(verdict.MayHaveRun, verdict.CallerLeft, "caller left")}
	}
	if run.request.Route.Gathers() {
		return run.gatheredAnswer()
	}
	part := run.parts[0]
	if part.reply != nil {
		return &Answer{ReplicaResponse: part.reply.Response}
	}
	if part.endedUnanswered && part.lastFailure != nil && part.lastFailure.Failure.Verdict == verdict.Ran && part.lastFailure.Response != nil {
		return &Answer{ReplicaResponse: part.lastFailure.Response}
	}
	return run.failureAnswer()
}

func (run *run) gatheredAnswer() *Answer {
	if run.answered < run.request.Route.MinShards() {
		return run.failureAnswer()
	}
	return run.takeUnreported()
}

// takeUnreported merges the answered parts that were not reported to a
// requesting peer yet, and marks them as reported.
func (run *run) takeUnreported() *Answer {
	merged := &Answer{Missing: len(run.parts) - run.answered}
	bodies := make([][]byte, 0, run.answered)
	for _, part := range run.parts {
		if part.reply != nil && !part.reported {
			part.reported = true
			merged.Receipts = append(merged.Receipts, part.reply.Receipt)
			bodies = append(bodies, part.reply.Response.Body)
		}
	}
	for _, sentBundle := range run.sentBundles {
		merged.Receipts = append(merged.Receipts, sentBundle.receipts...)
		bodies = append(bodies, sentBundle.records...)
	}
	merged.Records = answer.TopRecords(bodies, run.request.Route.TopK)
	return merged
}

// failureAnswer returns a failure whose verdict is the worst of all parts: the
// request has not run only if no attempt may have run.
func (run *run) failureAnswer() *Answer {
	worst := verdict.NotRun
	cause := verdict.New(verdict.NotRun, verdict.NoReplica, "no replica accepts requests")
	retryAfter := failureRetryAfter
	for _, part := range run.parts {
		partVerdict := part.worstVerdict
		if part.reply != nil || part.answeredByPeer {
			partVerdict = verdict.Ran
		}
		if part.running > 0 || part.sentBundle != nil {
			partVerdict = max(partVerdict, verdict.MayHaveRun)
		}
		worst = max(worst, partVerdict)
		if part.lastFailure != nil {
			cause = part.lastFailure.Failure
			retryAfter = max(retryAfter, part.lastFailure.RetryAfter)
		}
	}
	switch {
	case !time.Now().Before(run.request.Deadline.Add(-deadlineMargin)):
		cause = verdict.New(worst, verdict.DeadlinePassed, "no answer before the deadline")
	case run.stopped:
		cause = verdict.New(worst, verdict.Stopping, "this host stops before all replies have arrived")
	}
	failure := verdict.New(worst, cause.Code, "%d of %d parts answered, %d needed: %s", run.answered, len(run.parts), run.request.Route.MinShards(), cause.Detail)
	if failure.Code == verdict.Stopping {
		return &Answer{Failure: failure, RetryAfter: run.stoppingRetryAfter()}
	}
	return &Answer{Failure: failure, RetryAfter: retryAfter}
}

// log records the request's outcome, and what led to it, in the metrics and the
// log.
func (run *run) log(answer *Answer, callerLeft bool) {
	now := time.Now()
	fields := run.fields()
	maps.Copy(fields, logbook.Fields{
		"took_ms": float64(now.Sub(run.request.Received).Microseconds()) / 1000,
		"left_ms": run.request.Deadline.Sub(now).Milliseconds(),
		"parts":   len(run.parts),
		"in":      run.answered,
		"hedges":  run.hedges,
		"retries": run.retries,
		"cut":     run.partial,
		"ways_ms": float64(run.request.NetworkDelay.Microseconds()) / 1000,
	})
	for _, sentBundle := range run.sentBundles {
		fields["peer_"+sentBundle.bundle.Peer] = sentBundle.summary()
	}
	if missing := run.firstMissing(); missing != "" {
		fields["missing"] = missing
	}
	outcome := "answered"
	// A requesting peer cancels its request once it has enough parts, which is not
	// a failure.
	cancelledByPeer := callerLeft && run.request.fromPeer() && run.answered > 0
	if run.request.fromPeer() {
		outcome = "answered a peer"
	}
	if answer.Failure != nil && !cancelledByPeer {
		outcome = "failed"
		fields["verdict"] = answer.Failure.Verdict.String()
		fields["code"] = string(answer.Failure.Code)
		fields["detail"] = answer.Failure.Detail
	}
	if callerLeft && !cancelledByPeer {
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
		Route:         run.request.Route.Name,
		Workspace:     run.request.Workspace.NameOrEmpty(),
		Rank:          run.request.Rank(),
		Outcome:       outcome,
		ShardsLeftOut: len(run.parts) - run.answered,
		Hedges:        run.hedges,
		Retries:       run.retries,
		Latency:       now.Sub(run.request.Received),
	})
}

// firstMissing names the first part without an answer, and the reason.
func (run *run) firstMissing() string {
	for _, part := range run.parts {
		if part.reply != nil || part.answeredByPeer {
			continue
		}
		if part.sentBundle != nil {
			return part.service + ": no answer yet from host " + part.sentBundle.bundle.Peer
		}
		if part.omittedBy != "" {
			return part.service + ": left out by host " + part.omittedBy
		}
		if part.lastFailure != nil {
			reason := part.service + ": " + part.lastFailure.Failure.Error()
			if part.notRetried != "" {
				reason += ", not retried: " + part.notRetried
			}
			return reason
		}
		if part.running > 0 {
			return part.service + ": no answer yet"
		}
		return part.service + ": no replica accepts requests"
	}
	return ""
}
