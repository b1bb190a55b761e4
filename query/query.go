// Package query answers callers' requests: it picks a snapshot, spreads the
// request over the shards and merges what comes back.
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
	"fescuehall/verdict"
)

const (
	// replyMargin is kept of a deadline for the way back to the caller.
	replyMargin = 3 * time.Millisecond
	// maxSnapshots bounds how many snapshots one query tries.
	maxSnapshots = 3
)

// Coordinator answers requests. Set the fields before use.
type Coordinator struct {
	// Host is this host's name, for answers.
	Host string
	// View returns the configuration in force.
	View func() *service.View
	// Send runs a sub-request at the host that fronts its replica. It always
	// returns a reply.
	Send func(ctx context.Context, request *message.SubRequest) *message.SubReply
	// Claim secures the identity of a request that is not idempotent. The
	// function it returns records what became of the request.
	Claim func(ctx context.Context, requestID string) (settle func(verdict.Verdict), err error)
	// Picker chooses among replicas.
	Picker *replica.Picker
	// Marks knows the leaving backend servers.
	Marks *replica.Marks
	// Absences knows which replicas lack which snapshots.
	Absences *replica.Absences
	// Now is the clock.
	Now func() time.Time
	// After returns a channel that yields after a time, as time.After does.
	After func(wait time.Duration) <-chan time.Time
	// Pick chooses a replica; Picker.Pick unless a baseline is measured.
	Pick func(addresses []string) int
	// Hedge switches hedging on.
	Hedge bool
	// NoLimits, OneRank and NoBudget are baselines, see entry.Policy.
	NoLimits bool
	OneRank  bool
	NoBudget bool
	// Log is told of each request and of each exceptional decision.
	Log func(format string, args ...any)
	// Observe is told of each answer.
	Observe func(serviceName, rankName string, took time.Duration, answer *answer.Answer)

	services sync.Map
	inFlight sync.Map
}

// job is one request on its way.
type job struct {
	request   *answer.Request
	view      *service.View
	service   *service.Service
	kind      service.Kind
	rank      int
	load      *load
	started   time.Time
	deadline  time.Time
	trace     trace
	pressLock sync.Mutex
	pressed   rank.Outcome
}

// round is one job at one snapshot. It is immutable, since the tries of an
// earlier round may still run.
type round struct {
	*job
	snapshot string
	shards   [][]service.Replica
}

func (job *job) at(snapshot string) *round {
	return &round{job: job, snapshot: snapshot, shards: job.service.ShardMap(snapshot)}
}

// Answer serves one request. It always returns an answer; a failure has a
// code and a verdict.
func (coordinator *Coordinator) Answer(ctx context.Context, request *answer.Request) *answer.Answer {
	started := coordinator.Now()
	job, err := coordinator.accept(request, started)
	if err != nil {
		return coordinator.failed(request, job, verdict.Of(err))
	}
	if _, taken := coordinator.inFlight.LoadOrStore(request.RequestID, true); taken {
		return coordinator.failed(request, job, verdict.New(verdict.MayHaveRun, verdict.DuplicateRequest, "request %q is in flight", request.RequestID))
	}
	defer coordinator.inFlight.Delete(request.RequestID)
	answer := coordinator.admitted(ctx, job)
	took := coordinator.Now().Sub(started)
	coordinator.Log("Request %s of %s/%s at rank %s: %s.", request.RequestID, request.Service, request.Kind, job.kind.Rank, job.trace.summary(answer, took))
	if coordinator.Observe != nil {
		coordinator.Observe(request.Service, job.kind.Rank, took, answer)
	}
	return answer
}

// accept checks a request against the configuration.
func (coordinator *Coordinator) accept(request *answer.Request, started time.Time) (*job, error) {
	view := coordinator.View()
	found, ok := view.Services[request.Service]
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.UnknownService, "service %q does not exist in version %d", request.Service, view.Version)
	}
	kind, ok := found.Kind(request.Kind)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.UnknownKind, "kind %q does not exist in service %q", request.Kind, request.Service)
	}
	if !kind.Idempotent && request.Key == "" {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "kind %q is not idempotent and needs a Key", request.Kind)
	}
	job := &job{request: request, view: view, service: found, kind: kind, started: started}
	job.rank = view.Rank(kind.Rank)
	if coordinator.OneRank {
		job.rank = 0
	}
	job.deadline = started.Add(budget(request, kind))
	job.load = coordinator.loadOf(request.Service, len(view.Ranks))
	return job, nil
}

// budget is the kind's time to answer, or less if the caller asks for less.
func budget(request *answer.Request, kind service.Kind) time.Duration {
	millis := kind.DeadlineMillis
	if request.DeadlineMillis > 0 {
		millis = min(millis, request.DeadlineMillis)
	}
	return time.Duration(millis) * time.Millisecond
}

// admitted serves a request within the limits for its rank.
func (coordinator *Coordinator) admitted(ctx context.Context, job *job) *answer.Answer {
	if job.deadline.Sub(job.started) <= replyMargin {
		return coordinator.failed(job.request, job, verdict.New(verdict.NotRun, verdict.DeadlinePassed, "deadline of %v leaves no time", job.deadline.Sub(job.started)))
	}
	if !coordinator.NoLimits {
		limiter := job.load.limiters[job.rank]
		if err := limiter.Enter(); err != nil {
			return coordinator.failed(job.request, job, verdict.Of(err))
		}
		defer func() {
			limiter.Leave(job.outcome(coordinator.Now()))
		}()
	}
	ctx, cancel := context.WithDeadline(ctx, job.deadline.Add(-replyMargin))
	defer cancel()
	if job.kind.Idempotent {
		return coordinator.spread(ctx, job)
	}
	return coordinator.once(ctx, job)
}

// spread asks every shard, of an older snapshot when the newest is not there
// yet.
func (coordinator *Coordinator) spread(ctx context.Context, job *job) *answer.Answer {
	var merger *answer.Merger
	var asked *round
	for _, snapshot := range job.order(coordinator.Absences) {
		asked = job.at(snapshot)
		var complete bool
		merger, complete = coordinator.round(ctx, asked)
		if complete || ctx.Err() != nil {
			break
		}
		coordinator.Log("Request %s asks again: snapshot %s is not on every shard.", job.request.RequestID, snapshot)
	}
	return coordinator.finish(asked, merger)
}

// order returns the snapshots to try: the newest first, unless a replica
// lacked it a short while ago.
func (job *job) order(absences *replica.Absences) []string {
	var first, last []string
	for _, snapshot := range job.service.Snapshots {
		if absences.Lacks(job.request.Service, snapshot.Name) {
			last = append(last, snapshot.Name)
			continue
		}
		first = append(first, snapshot.Name)
	}
	names := append(first, last...)
	return names[:min(len(names), maxSnapshots)]
}

// shardOutcome is what became of one shard's part.
type shardOutcome struct {
	shard   int
	results []answer.Result
	failure *verdict.Failure
}

// round asks every shard of one snapshot. It reports false when a shard has
// no replica with the snapshot, so that another has to be tried.
func (coordinator *Coordinator) round(ctx context.Context, round *round) (*answer.Merger, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	merger := answer.NewMerger(round.snapshot, len(round.shards), round.request.Limit)
	outcomes := make(chan shardOutcome, len(round.shards))
	round.load.first(len(round.shards))
	for shard := range round.shards {
		go func() { outcomes <- coordinator.shard(ctx, round, shard) }()
	}
	complete := true
	for range round.shards {
		select {
		case outcome := <-outcomes:
			if outcome.absent() && len(round.service.Snapshots) > 1 {
				coordinator.Absences.Add(round.request.Service, round.snapshot)
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
		if round.hopeless(merger) {
			break
		}
	}
	return merger, true
}

// hopeless reports whether so many shards are missing that no answer can be
// given, so that the rest is withdrawn at once.
func (round *round) hopeless(merger *answer.Merger) bool {
	asked := len(round.shards)
	return (asked-merger.Missed())*100 < asked*round.kind.MinCoveragePercent
}

func (outcome shardOutcome) absent() bool {
	return outcome.failure != nil && outcome.failure.Code == verdict.SnapshotMissing
}

func (coordinator *Coordinator) merge(merger *answer.Merger, outcome shardOutcome) {
	if outcome.failure != nil {
		merger.Miss(outcome.shard, outcome.failure)
		return
	}
	if err := merger.Add(outcome.shard, outcome.results); err != nil {
		coordinator.Log("Drop results: %v.", err)
		merger.Miss(outcome.shard, verdict.New(verdict.Ran, verdict.ReplyMismatch, "%v", err))
	}
}

// drain takes what is there at the deadline.
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

// finish gives a partial answer when the kind allows its coverage.
func (coordinator *Coordinator) finish(round *round, merger *answer.Merger) *answer.Answer {
	merged := merger.Answer()
	merged.RequestID = round.request.RequestID
	merged.Host = coordinator.Host
	merged.Version = round.view.Version
	merged.Verdict = merger.Verdict().String()
	if merged.ShardsCovered*100 >= merged.ShardsAsked*round.kind.MinCoveragePercent && merged.ShardsCovered > 0 {
		return merged
	}
	merged.Results = []answer.Result{}
	failure := round.uncovered(merger, merged)
	merged.ShardsCovered = 0
	merged.Missing = missingAll(merged, len(round.shards))
	merged.Verdict = failure.Verdict.String()
	merged.Code = string(failure.Code)
	merged.Detail = failure.Detail
	return merged
}

// uncovered says why an answer is not given: the cause itself when nothing has
// run, or else the coverage with the first cause.
func (job *job) uncovered(merger *answer.Merger, merged *answer.Answer) *verdict.Failure {
	shard, cause := merger.Cause()
	if merger.Verdict() == verdict.NotRun {
		return verdict.New(verdict.NotRun, cause.Code, "shard %d: %s", shard, cause.Detail)
	}
	return verdict.New(merger.Verdict(), verdict.LowCoverage, "%d of %d shards covered, want %d percent; shard %d: %v", merged.ShardsCovered, merged.ShardsAsked, job.kind.MinCoveragePercent, shard, cause)
}

// missingAll lists every shard as missing in an answer without results.
func missingAll(merged *answer.Answer, shards int) []answer.Missing {
	known := make(map[int]answer.Missing)
	for _, missing := range merged.Missing {
		known[missing.Shard] = missing
	}
	all := make([]answer.Missing, shards)
	for shard := range all {
		missing, ok := known[shard]
		if !ok {
			missing = answer.Missing{Shard: shard, Code: string(verdict.LowCoverage), Verdict: verdict.Ran.String(), Detail: "results are not given"}
		}
		all[shard] = missing
	}
	return all
}

func (coordinator *Coordinator) failed(request *answer.Request, job *job, failure *verdict.Failure) *answer.Answer {
	failed := &answer.Answer{RequestID: request.RequestID, Host: coordinator.Host, Verdict: failure.Verdict.String(), Code: string(failure.Code), Detail: failure.Detail, Missing: []answer.Missing{}, Results: []answer.Result{}}
	if job != nil {
		failed.Version = job.view.Version
	}
	return failed
}

// press records how short of slots the replicas were for this request.
func (job *job) press(outcome rank.Outcome) {
	job.pressLock.Lock()
	defer job.pressLock.Unlock()
	job.pressed.Pressed = job.pressed.Pressed || outcome.Pressed
	job.pressed.Lost = job.pressed.Lost || outcome.Lost
}

func (job *job) outcome(now time.Time) rank.Outcome {
	job.pressLock.Lock()
	defer job.pressLock.Unlock()
	outcome := job.pressed
	outcome.Took = now.Sub(job.started)
	return outcome
}
