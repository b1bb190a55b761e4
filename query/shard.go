package query

import (
	"context"
	"time"

	"fescuehall/answer"
	"fescuehall/message"
	"fescuehall/rank"
	"fescuehall/replica"
	"fescuehall/service"
	"fescuehall/verdict"
)

// maxTries bounds the tries of one shard, hedges included.
const maxTries = 6

// hedgePause is the time until a hedge that found no free slot is tried again.
const hedgePause = 10 * time.Millisecond

// try is one sub-request on its way.
type try struct {
	place   int
	address string
	replica service.Replica
	started time.Time
	hedge   bool
	cancel  context.CancelFunc
}

// ended is how a try came out.
type ended struct {
	try   *try
	reply *message.SubReply
}

// shardRun is the state of one shard's part of a query.
type shardRun struct {
	coordinator *Coordinator
	round       *round
	shard       int
	open        []service.Replica
	tries       []*try
	replies     chan ended
	running     int
	attempts    int
	// joined is the gravest verdict of the tries that failed.
	joined verdict.Verdict
}

// shard gets the results of one shard: a first try, a hedge when it is late,
// and another replica when it fails.
func (coordinator *Coordinator) shard(ctx context.Context, round *round, shard int) shardOutcome {
	run := &shardRun{coordinator: coordinator, round: round, shard: shard, replies: make(chan ended, maxTries)}
	run.open = coordinator.candidates(round, shard)
	defer run.cancelAll()
	if !run.start(ctx, false) {
		return shardOutcome{shard: shard, failure: verdict.New(verdict.NotRun, verdict.NoReplica, "shard %d has no replica that takes work", shard)}
	}
	hedge := run.hedgeTimer()
	for {
		select {
		case ended := <-run.replies:
			failure := run.end(ended)
			if failure == nil {
				return shardOutcome{shard: shard, results: resultsOf(ended.reply)}
			}
			if ended.try.hedge && run.running > 0 {
				hedge = run.hedgeAgain(ended.try, failure)
				continue
			}
			if run.retry(ctx, failure) || run.running > 0 {
				continue
			}
			return shardOutcome{shard: shard, failure: run.joinedWith(failure)}
		case <-hedge:
			hedge = nil
			run.hedge(ctx)
		case <-ctx.Done():
			round.press(rank.Outcome{Lost: run.late()})
			return shardOutcome{shard: shard, failure: verdict.New(verdict.MayHaveRun, verdict.DeadlinePassed, "no reply before the deadline")}
		}
	}
}

// joinedWith returns the last failure with a verdict that holds for all tries.
func (run *shardRun) joinedWith(failure *verdict.Failure) *verdict.Failure {
	joined := *failure
	joined.Verdict = run.joined
	return &joined
}

// candidates returns the replicas of a shard without the leaving ones, and
// without those that lack the snapshot when others have it.
func (coordinator *Coordinator) candidates(round *round, shard int) []service.Replica {
	var having, lacking []service.Replica
	for _, candidate := range round.shards[shard] {
		if coordinator.Marks.Leaving(candidate.Address) {
			continue
		}
		if coordinator.Absences.Lacks(candidate.Address, round.snapshot) {
			lacking = append(lacking, candidate)
			continue
		}
		having = append(having, candidate)
	}
	if len(having) == 0 {
		return lacking
	}
	return having
}

// start sends the next try. It returns false when no replica is left.
func (run *shardRun) start(ctx context.Context, hedge bool) bool {
	if run.attempts >= maxTries {
		return false
	}
	addresses := make([]string, len(run.open))
	for place, candidate := range run.open {
		addresses[place] = candidate.Address
	}
	place := run.coordinator.Pick(addresses)
	if place < 0 {
		return false
	}
	chosen := run.open[place]
	run.open = append(append([]service.Replica{}, run.open[:place]...), run.open[place+1:]...)
	run.attempts++
	run.running++
	ctx, cancel := context.WithCancel(ctx)
	started := &try{place: run.attempts, address: chosen.Address, replica: chosen, started: run.coordinator.Now(), hedge: hedge, cancel: cancel}
	run.tries = append(run.tries, started)
	request := run.request(chosen)
	request.Hedge = hedge
	go func() {
		run.replies <- ended{try: started, reply: run.coordinator.Send(ctx, request)}
	}()
	return true
}

func (run *shardRun) request(chosen service.Replica) *message.SubRequest {
	round := run.round
	left := round.deadline.Add(-replyMargin).Sub(run.coordinator.Now())
	return &message.SubRequest{
		RequestID:     round.request.RequestID,
		Attempt:       run.attempts,
		Service:       round.request.Service,
		Kind:          round.request.Kind,
		Snapshot:      round.snapshot,
		Shard:         run.shard,
		Replica:       chosen.Address,
		Rank:          round.rank,
		BudgetMicros:  left.Microseconds(),
		StartedMicros: round.started.UnixMicro(),
		Idempotent:    round.kind.Idempotent,
		Text:          round.request.Text,
		Limit:         round.request.Limit,
	}
}

// end records a try that has ended, and returns its failure if any.
func (run *shardRun) end(ended ended) *verdict.Failure {
	run.running--
	ended.try.cancel()
	reply := ended.reply
	took := run.coordinator.Now().Sub(ended.try.started)
	failure := failureOf(run.round, run.shard, ended)
	result := replica.Result{Took: took, Waiting: reply.Waiting, Failed: failure != nil}
	if failure != nil {
		result.Lost = failure.Code == verdict.Unreachable
		run.joined = max(run.joined, failure.Verdict)
		run.note(ended.try.address, failure)
		result.Cancelled = failure.Code == verdict.Overload || failure.Code == verdict.SnapshotMissing
	}
	run.coordinator.Picker.Done(ended.try.address, result)
	if failure == nil {
		run.round.load.delay.Add(took)
		run.round.trace.add(reply, took)
	}
	if !ended.try.hedge {
		run.round.press(run.pressed(reply, failure))
	}
	ended.try.cancel = nil
	return failure
}

// pressed tells from a reply how short of slots the replica is: it refused, or
// the queue took a fair part of the time there was.
func (run *shardRun) pressed(reply *message.SubReply, failure *verdict.Failure) rank.Outcome {
	const queueShare = 4
	whole := run.round.deadline.Sub(run.round.started)
	queued := time.Duration(reply.QueueMicros) * time.Microsecond
	refused := failure != nil && (failure.Code == verdict.Overload || failure.Code == verdict.Shed)
	return rank.Outcome{Pressed: queued > whole/queueShare, Lost: refused}
}

// late reports whether the request's time is over, and not its caller gone.
func (run *shardRun) late() bool {
	return !run.coordinator.Now().Before(run.round.deadline.Add(-2 * replyMargin))
}

func (run *shardRun) note(address string, failure *verdict.Failure) {
	if failure.Code == verdict.SnapshotMissing {
		run.coordinator.Absences.Add(address, run.round.snapshot)
	}
	if failure.Code == verdict.Draining {
		run.coordinator.Marks.Set(address, "", replica.FromReply)
	}
}

// failureOf checks that a reply belongs to its try.
func failureOf(round *round, shard int, ended ended) *verdict.Failure {
	reply := ended.reply
	if reply.RequestID != round.request.RequestID || reply.Shard != shard || reply.Snapshot != round.snapshot || reply.Attempt != ended.try.place {
		return verdict.New(verdict.MayHaveRun, verdict.ReplyMismatch, "reply of %s is for another request", ended.try.address)
	}
	if reply.Code == "" && verdict.Verdict(reply.Verdict) == verdict.Ran {
		return nil
	}
	failure := verdict.New(verdict.Verdict(reply.Verdict), verdict.Code(reply.Code), "%s", reply.Detail)
	return failure.WithSnapshots(reply.Snapshots)
}

// retry sends another try after a failure, if the request may run again and
// the budget lets it.
func (run *shardRun) retry(ctx context.Context, failure *verdict.Failure) bool {
	if failure.Verdict != verdict.NotRun && !run.round.kind.Idempotent {
		return false
	}
	if failure.Code == verdict.DeadlinePassed || len(run.open) == 0 || ctx.Err() != nil {
		return false
	}
	// A try that reached no backend server was no load on one.
	reached := failure.Verdict != verdict.NotRun || failure.Code != verdict.Unreachable
	if reached && !run.round.load.retries.Take() && !run.coordinator.NoBudget {
		return false
	}
	run.coordinator.Log("Request %s shard %d is tried again after %s.", run.round.request.RequestID, run.shard, failure.Code)
	return run.start(ctx, false)
}

// hedgeTimer yields when the first try is late.
func (run *shardRun) hedgeTimer() <-chan time.Time {
	after, known := run.round.load.delay.After()
	if !run.coordinator.Hedge || !known || !run.round.kind.Idempotent || len(run.open) == 0 {
		return nil
	}
	return run.coordinator.After(after)
}

// hedgeAgain yields when a hedge that found no free slot is to be tried again.
func (run *shardRun) hedgeAgain(refused *try, failure *verdict.Failure) <-chan time.Time {
	if failure.Verdict != verdict.NotRun || failure.Code != verdict.Overload {
		return nil
	}
	run.round.load.hedges.Refund()
	run.open = append(run.open, refused.replica)
	return run.coordinator.After(hedgePause)
}

func (run *shardRun) hedge(ctx context.Context) {
	if len(run.open) == 0 || !run.round.load.hedges.Take() && !run.coordinator.NoBudget {
		return
	}
	run.coordinator.Log("Request %s shard %d is hedged.", run.round.request.RequestID, run.shard)
	run.start(ctx, true)
}

// cancelAll withdraws the tries that are still running.
func (run *shardRun) cancelAll() {
	for _, try := range run.tries {
		if try.cancel == nil {
			continue
		}
		try.cancel()
		run.coordinator.Picker.Done(try.address, replica.Result{Took: run.coordinator.Now().Sub(try.started), Cancelled: true})
	}
}

func resultsOf(reply *message.SubReply) []answer.Result {
	results := make([]answer.Result, len(reply.Results))
	for place, result := range reply.Results {
		results[place] = answer.Result{ID: result.ID, Score: result.Score, Snapshot: result.Snapshot, Shard: result.Shard, Text: result.Text}
	}
	return results
}
