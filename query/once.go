package query

import (
	"context"

	"fescuehall/answer"
	"fescuehall/shard"
	"fescuehall/verdict"
)

// runOnce serves a request that is not idempotent. It claims the request ID, so
// that no other host runs the request, and queries the one shard that the key
// selects.
func (coordinator *Coordinator) runOnce(ctx context.Context, job *job) *answer.Answer {
	recordVerdict, err := coordinator.Claim(ctx, job.request.RequestID)
	if err != nil {
		return coordinator.failureAnswer(job.request, job, verdict.FailureOf(err))
	}
	if ctx.Err() != nil {
		recordVerdict(verdict.NotRun)
		return coordinator.failureAnswer(job.request, job, verdict.New(verdict.NotRun, verdict.DeadlinePassed, "deadline passed while the request ID was claimed"))
	}
	round, outcome := coordinator.querySingleShard(ctx, job)
	if outcome.failure == nil {
		go recordVerdict(verdict.Ran)
		return coordinator.singleShardAnswer(round, outcome)
	}
	recordVerdict(outcome.failure.Verdict)
	failedAnswer := coordinator.failureAnswer(job.request, job, outcome.failure)
	failedAnswer.Snapshot = round.snapshot
	failedAnswer.ShardsAsked = 1
	failedAnswer.Missing = []answer.Missing{{Shard: outcome.shard, Code: failedAnswer.Code, Verdict: failedAnswer.Verdict, Detail: failedAnswer.Detail}}
	return failedAnswer
}

// querySingleShard queries the shard that the request's key selects. It falls
// back to an older snapshot when no replica has the newest one.
func (coordinator *Coordinator) querySingleShard(ctx context.Context, job *job) (*round, shardOutcome) {
	var round *round
	var outcome shardOutcome
	for _, snapshot := range job.snapshotOrder(coordinator.MissingSnapshots) {
		round = job.newRound(snapshot)
		job.limits.addFirstAttempts(1)
		outcome = coordinator.queryShard(ctx, round, shard.Of(job.request.Key, len(round.shards)))
		if !outcome.snapshotMissing() || outcome.failure.Verdict != verdict.NotRun {
			break
		}
	}
	return round, outcome
}

func (coordinator *Coordinator) singleShardAnswer(round *round, outcome shardOutcome) *answer.Answer {
	return &answer.Answer{
		RequestID:     round.request.RequestID,
		Verdict:       verdict.Ran.String(),
		Snapshot:      round.snapshot,
		Version:       round.view.Version,
		Host:          coordinator.Host,
		ShardsAsked:   1,
		ShardsCovered: 1,
		Missing:       []answer.Missing{},
		Results:       outcome.results,
	}
}
