// Package query answers callers' requests: it selects a snapshot, sends
// sub-requests to the snapshot's shards and merges their results.
package query

import (
	"context"
	"sync"
	"time"

	"fescuehall/answer"
	"fescuehall/message"
	"fescuehall/rank"
	"fescuehall/replica"
	"fescuehall/service"
	"fescuehall/shutdown"
	"fescuehall/verdict"
)

const (
	// replyMargin is the part of a deadline that is reserved for returning the
	// answer to the caller.
	replyMargin = 3 * time.Millisecond
	// maxSnapshots bounds how many snapshots one request tries.
	maxSnapshots = 3
)

// Coordinator answers requests. Set the fields before use.
type Coordinator struct {
	// Host is this host's name, for answers.
	Host string
	// View returns the active configuration.
	View func() *service.View
	// Send runs a sub-request at the host that fronts its replica. It always
	// returns a reply.
	Send func(ctx context.Context, request *message.SubRequest) *message.SubReply
	// Claim claims the ID of a request that is not idempotent, so that no other
	// host runs it. The returned function records whether the request ran.
	Claim func(ctx context.Context, requestID string) (recordVerdict func(verdict.Verdict), err error)
	// Picker records the latency and failures of replicas.
	Picker *replica.Picker
	// Marks records which backend servers are leaving.
	Marks *replica.Marks
	// MissingSnapshots records which replicas lack which snapshots.
	MissingSnapshots *replica.MissingSnapshots
	// Now returns the current time.
	Now func() time.Time
	// After returns a channel that receives after a wait, as time.After does.
	After func(wait time.Duration) <-chan time.Time
	// Pick returns the index of the replica to use, or a negative number when
	// there is none. It is Picker.Pick, except when a baseline is measured.
	Pick func(addresses []string) int
	// Stop is the stop of this host; nil if it never stops.
	Stop *shutdown.Stop
	// Hedge enables hedging.
	Hedge bool
	// NoLimits, OneRank and NoBudget are baselines for measurements, see
	// entry.Policy.
	NoLimits bool
	OneRank  bool
	NoBudget bool
	// Log writes a log line, for each request and for exceptional decisions.
	Log func(format string, args ...any)
	// Observe is called with each answer, except those to invalid and duplicate
	// requests; it may be nil.
	Observe func(serviceName, rankName string, latency time.Duration, answer *answer.Answer)

	// services maps the names of services to their *limits.
	services sync.Map
	// inFlight holds the IDs of the requests being served.
	inFlight sync.Map
}

// job is one request being served.
type job struct {
	request    *answer.Request
	view       *service.View
	service    *service.Service
	kind       service.Kind
	rank       int
	limits     *limits
	started    time.Time
	deadline   time.Time
	trace      trace
	overloadMu sync.Mutex
	// overload combines the signs of overload in the replies.
	overload rank.Outcome
}

// round is the execution of a job against one snapshot. It is immutable, since
// attempts of an earlier round may still be running.
type round struct {
	*job
	snapshot string
	shards   [][]service.Replica
}

func (job *job) newRound(snapshot string) *round {
	return &round{job: job, snapshot: snapshot, shards: job.service.ShardMap(snapshot)}
}

// Answer serves one request. It always returns an answer; that of a failed
// request has a code and a verdict.
func (coordinator *Coordinator) Answer(ctx context.Context, request *answer.Request) *answer.Answer {
	started := coordinator.Now()
	if !coordinator.Stop.Admits(0) {
		coordinator.Log("Request %s is refused: this host stops.", request.RequestID)
		return coordinator.failureAnswer(request, nil, verdict.New(verdict.NotRun, verdict.Stopping, "host %s stops", coordinator.Host))
	}
	job, err := coordinator.newJob(request, started)
	if err != nil {
		return coordinator.failureAnswer(request, job, verdict.FailureOf(err))
	}
	if _, duplicate := coordinator.inFlight.LoadOrStore(request.RequestID, true); duplicate {
		return coordinator.failureAnswer(request, job, verdict.New(verdict.MayHaveRun, verdict.DuplicateRequest, "request %q is already in flight", request.RequestID))
	}
	defer coordinator.inFlight.Delete(request.RequestID)
	answer := coordinator.serveWithinLimits(ctx, job)
	latency := coordinator.Now().Sub(started)
	coordinator.Log("Request %s of %s/%s at rank %s: %s.", request.RequestID, request.Service, request.Kind, job.kind.Rank, job.trace.summary(answer, latency))
	if coordinator.Observe != nil {
		coordinator.Observe(request.Service, job.kind.Rank, latency, answer)
	}
	return answer
}

// newJob validates a request against the active configuration and returns its
// job.
func (coordinator *Coordinator) newJob(request *answer.Request, started time.Time) (*job, error) {
	view := coordinator.View()
	service, ok := view.Services[request.Service]
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.UnknownService, "service %q does not exist in version %d", request.Service, view.Version)
	}
	kind, ok := service.Kind(request.Kind)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.UnknownKind, "kind %q does not exist in service %q", request.Kind, request.Service)
	}
	if !kind.Idempotent && request.Key == "" {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "kind %q is not idempotent and needs a Key", request.Kind)
	}
	job := &job{request: request, view: view, service: service, kind: kind, started: started}
	job.rank = view.RankIndex(kind.Rank)
	if coordinator.OneRank {
		job.rank = 0
	}
	job.deadline = started.Add(timeBudget(request, kind))
	job.limits = coordinator.limitsOf(request.Service, len(view.Ranks))
	return job, nil
}

// timeBudget returns the time to answer that the kind allows, or less if the
// caller asks for less.
func timeBudget(request *answer.Request, kind service.Kind) time.Duration {
	millis := kind.DeadlineMillis
	if request.DeadlineMillis > 0 {
		millis = min(millis, request.DeadlineMillis)
	}
	return time.Duration(millis) * time.Millisecond
}

// serveWithinLimits serves a request, or rejects it when the concurrency limit
// of its rank is reached.
func (coordinator *Coordinator) serveWithinLimits(ctx context.Context, job *job) *answer.Answer {
	if job.deadline.Sub(job.started) <= replyMargin {
		return coordinator.failureAnswer(job.request, job, verdict.New(verdict.NotRun, verdict.DeadlinePassed, "deadline of %v is too short to run the request", job.deadline.Sub(job.started)))
	}
	if !coordinator.NoLimits {
		limiter := job.limits.limiters[job.rank]
		if err := limiter.Acquire(); err != nil {
			return coordinator.failureAnswer(job.request, job, verdict.FailureOf(err))
		}
		defer func() {
			limiter.Release(job.outcome(coordinator.Now()))
		}()
	}
	ctx, cancel := context.WithDeadline(ctx, job.deadline.Add(-replyMargin))
	defer cancel()
	ctx, cancel = coordinator.Stop.UntilAnsweringEnded(ctx)
	defer cancel()
	if job.kind.Idempotent {
		return coordinator.queryAllShards(ctx, job)
	}
	return coordinator.runOnce(ctx, job)
}

// queryAllShards queries every shard of a snapshot. It falls back to another
// snapshot when some shard does not have the first one yet.
func (coordinator *Coordinator) queryAllShards(ctx context.Context, job *job) *answer.Answer {
	var merger *answer.Merger
	var round *round
	for _, snapshot := range job.snapshotOrder(coordinator.MissingSnapshots) {
		round = job.newRound(snapshot)
		var complete bool
		merger, complete = coordinator.runRound(ctx, round)
		if complete || ctx.Err() != nil {
			break
		}
		coordinator.Log("Request %s is restarted: snapshot %s is missing on a shard.", job.request.RequestID, snapshot)
	}
	return coordinator.finalAnswer(round, merger)
}

// snapshotOrder returns the snapshots to try: the newest first, except that
// those which a shard lacked a short while ago come last.
func (job *job) snapshotOrder(missingSnapshots *replica.MissingSnapshots) []string {
	var available, missing []string
	for _, snapshot := range job.service.Snapshots {
		if missingSnapshots.Lacks(job.request.Service, snapshot.Name) {
			missing = append(missing, snapshot.Name)
			continue
		}
		available = append(available, snapshot.Name)
	}
	names := append(available, missing...)
	return names[:min(len(names), maxSnapshots)]
}

// shardOutcome holds the results of one shard, or why it failed.
type shardOutcome struct {
	shard   int
	results []answer.Result
	failure *verdict.Failure
}

// runRound queries every shard of one snapshot. It returns false when a shard
// has no replica with the snapshot, so that another snapshot has to be tried.
func (coordinator *Coordinator) runRound(ctx context.Context, round *round) (*answer.Merger, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	merger := answer.NewMerger(round.snapshot, len(round.shards), round.request.Limit)
	outcomes := make(chan shardOutcome, len(round.shards))
	round.limits.addFirstAttempts(len(round.shards))
	for shard := range round.shards {
		go func() { outcomes <- coordinator.queryShard(ctx, round, shard) }()
	}
	complete := true
	for range round.shards {
		select {
		case outcome := <-outcomes:
			if outcome.snapshotMissing() && len(round.service.Snapshots) > 1 {
				coordinator.MissingSnapshots.Add(round.request.Service, round.snapshot)
				complete = false
			}
			coordinator.merge(merger, outcome)
		case <-ctx.Done():
			coordinator.drain(merger, outcomes)
			return merger, true
		}
		if !complete {
			return merger, false
		}
		if round.coverageUnreachable(merger) {
			break
		}
	}
	return merger, true
}

// coverageUnreachable reports whether so many shards have failed that the
// kind's minimum coverage can't be reached, so that the remaining attempts can
// be cancelled.
func (round *round) coverageUnreachable(merger *answer.Merger) bool {
	shards := len(round.shards)
	return (shards-merger.FailureCount())*100 < shards*round.kind.MinCoveragePercent
}

func (outcome shardOutcome) snapshotMissing() bool {
	return outcome.failure != nil && outcome.failure.Code == verdict.SnapshotMissing
}

func (coordinator *Coordinator) merge(merger *answer.Merger, outcome shardOutcome) {
	if outcome.failure != nil {
		merger.AddFailure(outcome.shard, outcome.failure)
		return
	}
	if err := merger.Add(outcome.shard, outcome.results); err != nil {
		coordinator.Log("Discarded the results of a shard: %v.", err)
		merger.AddFailure(outcome.shard, verdict.New(verdict.Ran, verdict.ReplyMismatch, "%v", err))
	}
}

// drain merges the outcomes that have arrived by the deadline, without waiting.
func (coordinator *Coordinator) drain(merger *answer.Merger, outcomes chan shardOutcome) {
	for {
		select {
		case outcome := <-outcomes:
			coordinator.merge(merger, outcome)
		default:
			return
		}
	}
}

// finalAnswer returns the merged results if they reach the kind's minimum
// coverage, and a failure otherwise.
func (coordinator *Coordinator) finalAnswer(round *round, merger *answer.Merger) *answer.Answer {
	merged := merger.Answer()
	merged.RequestID = round.request.RequestID
	merged.Host = coordinator.Host
	merged.Version = round.view.Version
	merged.Verdict = merger.Verdict().String()
	if merged.ShardsCovered*100 >= merged.ShardsAsked*round.kind.MinCoveragePercent && merged.ShardsCovered > 0 {
		return merged
	}
	merged.Results = []answer.Result{}
	failure := round.coverageFailure(merger, merged)
	merged.ShardsCovered = 0
	merged.Missing = allMissing(merged, len(round.shards))
	merged.Verdict = failure.Verdict.String()
	merged.Code = string(failure.Code)
	merged.Detail = failure.Detail
	return merged
}

// coverageFailure returns the failure of an answer with too little coverage:
// the first shard's failure when nothing has run, or else LowCoverage with that
// failure in its detail.
func (job *job) coverageFailure(merger *answer.Merger, merged *answer.Answer) *verdict.Failure {
	shard, cause := merger.FirstFailure()
	if merger.Verdict() == verdict.NotRun {
		return verdict.New(verdict.NotRun, cause.Code, "shard %d: %s", shard, cause.Detail)
	}
	return verdict.New(merger.Verdict(), verdict.LowCoverage, "%d of %d shards covered, want %d percent; shard %d: %v", merged.ShardsCovered, merged.ShardsAsked, job.kind.MinCoveragePercent, shard, cause)
}

// allMissing lists every shard as missing, for an answer without results.
func allMissing(merged *answer.Answer, shards int) []answer.Missing {
	failed := make(map[int]answer.Missing)
	for _, missing := range merged.Missing {
		failed[missing.Shard] = missing
	}
	all := make([]answer.Missing, shards)
	for shard := range all {
		missing, ok := failed[shard]
		if !ok {
			missing = answer.Missing{Shard: shard, Code: string(verdict.LowCoverage), Verdict: verdict.Ran.String(), Detail: "results are left out of an answer with too little coverage"}
		}
		all[shard] = missing
	}
	return all
}

// failureAnswer returns the answer to a failed request. The job is nil when the
// request was invalid.
func (coordinator *Coordinator) failureAnswer(request *answer.Request, job *job, failure *verdict.Failure) *answer.Answer {
	answer := &answer.Answer{RequestID: request.RequestID, Host: coordinator.Host, Verdict: failure.Verdict.String(), Code: string(failure.Code), Detail: failure.Detail, Missing: []answer.Missing{}, Results: []answer.Result{}}
	if job != nil {
		answer.Version = job.view.Version
	}
	return answer
}

// recordOverload adds the signs of overload in one reply to those of the job.
func (job *job) recordOverload(outcome rank.Outcome) {
	job.overloadMu.Lock()
	defer job.overloadMu.Unlock()
	job.overload.LongWait = job.overload.LongWait || outcome.LongWait
	job.overload.RefusedOrLate = job.overload.RefusedOrLate || outcome.RefusedOrLate
}

// outcome returns the signs of overload and the duration of the job, for the
// limiter.
func (job *job) outcome(now time.Time) rank.Outcome {
	job.overloadMu.Lock()
	defer job.overloadMu.Unlock()
	outcome := job.overload
	outcome.Latency = now.Sub(job.started)
	return outcome
}
