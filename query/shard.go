package query

import (
	"context"
	"time"

	"fescuehall/answer"
	"fescuehall/estimate"
	"fescuehall/message"
	"fescuehall/rank"
	"fescuehall/replica"
	"fescuehall/service"
	"fescuehall/shutdown"
	"fescuehall/verdict"
)

// maxAttempts bounds the attempts for one shard, hedges included.
const maxAttempts = 6

// hedgeRetryDelay is the delay before a hedge is sent again after its replica
// rejected it for lack of a free slot. Replicas don't queue hedges.
const hedgeRetryDelay = 10 * time.Millisecond

// attempt is one sub-request to one replica.
type attempt struct {
	number  int
	address string
	replica service.Replica
	started time.Time
	hedge   bool
	// cancel is nil once the attempt has completed.
	cancel context.CancelFunc
}

// completion is the reply to an attempt.
type completion struct {
	attempt *attempt
	reply   *message.SubReply
}

// shardRun is the state of querying one shard.
type shardRun struct {
	coordinator *Coordinator
	round       *round
	shard       int
	// untried holds the replicas that attempts may still be sent to.
	untried      []service.Replica
	attempts     []*attempt
	completions  chan completion
	running      int
	attemptCount int
	// combinedVerdict is the highest verdict of the failed attempts: Ran outweighs
	// MayHaveRun, which outweighs NotRun.
	combinedVerdict verdict.Verdict
}

// queryShard gets the results of one shard. It hedges a late first attempt and
// retries a failed one at another replica.
func (coordinator *Coordinator) queryShard(ctx context.Context, round *round, shard int) shardOutcome {
	run := &shardRun{coordinator: coordinator, round: round, shard: shard, completions: make(chan completion, maxAttempts)}
	run.untried = coordinator.candidates(round, shard)
	defer run.cancelAll()
	if !run.startAttempt(ctx, false) {
		return shardOutcome{shard: shard, failure: verdict.New(verdict.NotRun, verdict.NoReplica, "shard %d has no replica that accepts requests", shard)}
	}
	hedge := run.hedgeTimer()
	for {
		select {
		case completion := <-run.completions:
			failure := run.completeAttempt(completion)
			if failure == nil {
				return shardOutcome{shard: shard, results: resultsOf(completion.reply)}
			}
			if completion.attempt.hedge && run.running > 0 {
				hedge = run.hedgeRetryTimer(completion.attempt, failure)
				continue
			}
			if run.retry(ctx, failure) || run.running > 0 {
				continue
			}
			return shardOutcome{shard: shard, failure: run.withCombinedVerdict(failure)}
		case <-hedge:
			hedge = nil
			run.startHedge(ctx)
		case <-ctx.Done():
			round.recordOverload(rank.Outcome{RefusedOrLate: run.deadlineReached()})
			if context.Cause(ctx) == shutdown.ErrStopping {
				return shardOutcome{shard: shard, failure: verdict.New(verdict.MayHaveRun, verdict.Stopping, "no reply before host %s stops", run.coordinator.Host)}
			}
			return shardOutcome{shard: shard, failure: verdict.New(verdict.MayHaveRun, verdict.DeadlinePassed, "no reply before the deadline")}
		}
	}
}

// withCombinedVerdict returns a copy of the last failure whose verdict covers
// all failed attempts.
func (run *shardRun) withCombinedVerdict(failure *verdict.Failure) *verdict.Failure {
	combined := *failure
	combined.Verdict = run.combinedVerdict
	return &combined
}

// candidates returns the replicas of a shard that are not leaving. Replicas
// that lack the snapshot are returned only when no other is left.
func (coordinator *Coordinator) candidates(round *round, shard int) []service.Replica {
	var withSnapshot, withoutSnapshot []service.Replica
	for _, candidate := range round.shards[shard] {
		if coordinator.Marks.Leaving(candidate.Address) {
			continue
		}
		if coordinator.MissingSnapshots.Lacks(candidate.Address, round.snapshot) {
			withoutSnapshot = append(withoutSnapshot, candidate)
			continue
		}
		withSnapshot = append(withSnapshot, candidate)
	}
	if len(withSnapshot) == 0 {
		return withoutSnapshot
	}
	return withSnapshot
}

// startAttempt sends the next attempt. It returns false when no replica or no
// attempt is left.
func (run *shardRun) startAttempt(ctx context.Context, hedge bool) bool {
	if run.attemptCount >= maxAttempts {
		return false
	}
	addresses := make([]string, len(run.untried))
	for index, candidate := range run.untried {
		addresses[index] = candidate.Address
	}
	index := run.coordinator.Pick(addresses)
	if index < 0 {
		return false
	}
	chosen := run.untried[index]
	run.untried = append(append([]service.Replica{}, run.untried[:index]...), run.untried[index+1:]...)
	run.attemptCount++
	run.running++
	ctx, cancel := context.WithCancel(ctx)
	attempt := &attempt{number: run.attemptCount, address: chosen.Address, replica: chosen, started: run.coordinator.Now(), hedge: hedge, cancel: cancel}
	run.attempts = append(run.attempts, attempt)
	request := run.subRequest(chosen)
	request.Hedge = hedge
	go func() {
		run.completions <- completion{attempt: attempt, reply: run.coordinator.Send(ctx, request)}
	}()
	return true
}

func (run *shardRun) subRequest(chosen service.Replica) *message.SubRequest {
	round := run.round
	timeLeft := round.deadline.Add(-replyMargin).Sub(run.coordinator.Now())
	return &message.SubRequest{
		RequestID:     round.request.RequestID,
		Attempt:       run.attemptCount,
		Service:       round.request.Service,
		Kind:          round.request.Kind,
		Snapshot:      round.snapshot,
		Shard:         run.shard,
		Replica:       chosen.Address,
		Rank:          round.rank,
		BudgetMicros:  timeLeft.Microseconds(),
		StartedMicros: round.started.UnixMicro(),
		Idempotent:    round.kind.Idempotent,
		Text:          round.request.Text,
		Limit:         round.request.Limit,
	}
}

// completeAttempt records the outcome of an attempt and returns its failure, if
// any.
func (run *shardRun) completeAttempt(completion completion) *verdict.Failure {
	run.running--
	completion.attempt.cancel()
	reply := completion.reply
	latency := run.coordinator.Now().Sub(completion.attempt.started)
	failure := failureOf(run.round, run.shard, completion)
	result := replica.Result{Latency: latency, Load: estimate.Load{Waiting: reply.Waiting}, Failed: failure != nil}
	if failure != nil {
		result.Unreachable = failure.Code == verdict.Unreachable
		run.combinedVerdict = max(run.combinedVerdict, failure.Verdict)
		run.updateReplicaState(completion.attempt.address, failure)
		result.Cancelled = failure.Code == verdict.Overload || failure.Code == verdict.SnapshotMissing
	}
	run.coordinator.Picker.Done(completion.attempt.address, result)
	if failure == nil {
		run.round.limits.hedgeDelay.Add(latency)
		run.round.trace.add(reply, latency)
	}
	if !completion.attempt.hedge {
		run.round.recordOverload(run.overloadOf(reply, failure))
	}
	completion.attempt.cancel = nil
	return failure
}

// overloadOf returns the signs of overload in a reply: the replica rejected the
// sub-request, or the time in its queue was more than a quarter of the
// request's time budget.
func (run *shardRun) overloadOf(reply *message.SubReply, failure *verdict.Failure) rank.Outcome {
	const queueDivisor = 4
	timeBudget := run.round.deadline.Sub(run.round.started)
	queueTime := time.Duration(reply.QueueMicros) * time.Microsecond
	rejected := failure != nil && (failure.Code == verdict.Overload || failure.Code == verdict.Shed)
	return rank.Outcome{LongWait: queueTime > timeBudget/queueDivisor, RefusedOrLate: rejected}
}

// deadlineReached reports whether at most two reply margins are left of the
// request's deadline. It tells a context that expired, one margin before the
// deadline, from one that ended because the caller disconnected.
func (run *shardRun) deadlineReached() bool {
	return !run.coordinator.Now().Before(run.round.deadline.Add(-2 * replyMargin))
}

// updateReplicaState remembers that a replica lacks the snapshot or is leaving,
// if its failure says so.
func (run *shardRun) updateReplicaState(address string, failure *verdict.Failure) {
	if failure.Code == verdict.SnapshotMissing {
		run.coordinator.MissingSnapshots.Add(address, run.round.snapshot)
	}
	if failure.Code == verdict.Draining {
		run.coordinator.Marks.Set(address, "", replica.FromReply)
	}
}

// failureOf returns the failure in a reply, or nil for a success. A reply that
// does not match its attempt is a failure.
func failureOf(round *round, shard int, completion completion) *verdict.Failure {
	reply := completion.reply
	if reply.RequestID != round.request.RequestID || reply.Shard != shard || reply.Snapshot != round.snapshot || reply.Attempt != completion.attempt.number {
		return verdict.New(verdict.MayHaveRun, verdict.ReplyMismatch, "reply from %s belongs to another request", completion.attempt.address)
	}
	if reply.Code == "" && verdict.Verdict(reply.Verdict) == verdict.Ran {
		return nil
	}
	failure := verdict.New(verdict.Verdict(reply.Verdict), verdict.Code(reply.Code), "%s", reply.Detail)
	return failure.WithSnapshots(reply.Snapshots)
}

// retry starts another attempt after a failure, if the request may run again
// and the retry budget allows it. It reports whether an attempt was started.
func (run *shardRun) retry(ctx context.Context, failure *verdict.Failure) bool {
	if failure.Verdict != verdict.NotRun && !run.round.kind.Idempotent {
		return false
	}
	if failure.Code == verdict.DeadlinePassed || len(run.untried) == 0 || ctx.Err() != nil {
		return false
	}
	// An attempt that reached no backend server put no load on one, so that its
	// retry is not charged to the budget.
	reached := failure.Verdict != verdict.NotRun || failure.Code != verdict.Unreachable
	if reached && !run.round.limits.retries.Take() && !run.coordinator.NoBudget {
		return false
	}
	run.coordinator.Log("Request %s shard %d is retried after %s.", run.round.request.RequestID, run.shard, failure.Code)
	return run.startAttempt(ctx, false)
}

// hedgeTimer returns a channel that receives when the first attempt is to be
// hedged, or nil when it is not.
func (run *shardRun) hedgeTimer() <-chan time.Time {
	delay, known := run.round.limits.hedgeDelay.Current()
	if !run.coordinator.Hedge || !known || !run.round.kind.Idempotent || len(run.untried) == 0 {
		return nil
	}
	return run.coordinator.After(delay)
}

// hedgeRetryTimer returns a channel that receives when a hedge that found no
// free slot is to be sent again, or nil when the hedge failed for another
// reason.
func (run *shardRun) hedgeRetryTimer(rejected *attempt, failure *verdict.Failure) <-chan time.Time {
	if failure.Verdict != verdict.NotRun || failure.Code != verdict.Overload {
		return nil
	}
	run.round.limits.hedges.Refund()
	run.untried = append(run.untried, rejected.replica)
	return run.coordinator.After(hedgeRetryDelay)
}

// startHedge sends a hedge if a replica is left and the hedge budget allows it.
func (run *shardRun) startHedge(ctx context.Context) {
	if len(run.untried) == 0 || !run.round.limits.hedges.Take() && !run.coordinator.NoBudget {
		return
	}
	run.coordinator.Log("Request %s shard %d is hedged.", run.round.request.RequestID, run.shard)
	run.startAttempt(ctx, true)
}

// cancelAll cancels the attempts that are still running.
func (run *shardRun) cancelAll() {
	for _, attempt := range run.attempts {
		if attempt.cancel == nil {
			continue
		}
		attempt.cancel()
		run.coordinator.Picker.Done(attempt.address, replica.Result{Latency: run.coordinator.Now().Sub(attempt.started), Cancelled: true})
	}
}

func resultsOf(reply *message.SubReply) []answer.Result {
	results := make([]answer.Result, len(reply.Results))
	for i, result := range reply.Results {
		results[i] = answer.Result{ID: result.ID, Score: result.Score, Snapshot: result.Snapshot, Shard: result.Shard, Text: result.Text}
	}
	return results
}
