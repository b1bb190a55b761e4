package query

import (
	"context"

	"fescuehall/answer"
	"fescuehall/shard"
	"fescuehall/verdict"
)

// once serves a request that is not idempotent: on the one shard that its key
// chooses, after its identity is claimed.
func (coordinator *Coordinator) once(ctx context.Context, job *job) *answer.Answer {
	settle, err := coordinator.Claim(ctx, job.request.RequestID)
	if err != nil {
		return coordinator.failed(job.request, job, verdict.Of(err))
	}
	if ctx.Err() != nil {
		settle(verdict.NotRun)
		return coordinator.failed(job.request, job, verdict.New(verdict.NotRun, verdict.DeadlinePassed, "deadline passed while the identity was claimed"))
	}
	asked, outcome := coordinator.single(ctx, job)
	if outcome.failure == nil {
		go settle(verdict.Ran)
		return coordinator.oneShard(asked, outcome)
	}
	settle(outcome.failure.Verdict)
	failed := coordinator.failed(job.request, job, outcome.failure)
	failed.Snapshot = asked.snapshot
	failed.ShardsAsked = 1
	failed.Missing = []answer.Missing{{Shard: outcome.shard, Code: failed.Code, Verdict: failed.Verdict, Detail: failed.Detail}}
	return failed
}

// single runs the one shard's part, at an older snapshot if no replica has the
// newest.
func (coordinator *Coordinator) single(ctx context.Context, job *job) (*round, shardOutcome) {
	var asked *round
	var outcome shardOutcome
	for _, snapshot := range job.order(coordinator.Absences) {
		asked = job.at(snapshot)
		job.load.first(1)
		outcome = coordinator.shard(ctx, asked, shard.Of(job.request.Key, len(asked.shards)))
		if !outcome.absent() || outcome.failure.Verdict != verdict.NotRun {
			break
		}
	}
	return asked, outcome
}

func (coordinator *Coordinator) oneShard(round *round, outcome shardOutcome) *answer.Answer {
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
