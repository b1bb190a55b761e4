// Package answer defines the requests of callers and the answers to them, and
// merges the results of shards into answers.
package answer

import (
	"cmp"
	"fmt"
	"slices"

	"fescuehall/verdict"
)

// Merger merges the results of a request's shards, all from one snapshot, and
// records why shards are missing.
type Merger struct {
	snapshot string
	limit    int
	// covered is indexed by shard.
	covered []bool
	results []Result
	missing map[int]*verdict.Failure
}

// NewMerger returns a merger for a number of shards of a snapshot. Its answer
// has at most limit results.
func NewMerger(snapshot string, shards, limit int) *Merger {
	return &Merger{snapshot: snapshot, limit: limit, covered: make([]bool, shards), missing: make(map[int]*verdict.Failure)}
}

// Add merges the results of one shard. It rejects results from another snapshot
// or shard, and a shard that was already merged.
func (merger *Merger) Add(shard int, results []Result) error {
	if shard < 0 || shard >= len(merger.covered) {
		return fmt.Errorf("shard %d does not exist in snapshot %q", shard, merger.snapshot)
	}
	if merger.covered[shard] {
		return fmt.Errorf("shard %d of snapshot %q was already merged", shard, merger.snapshot)
	}
	for _, result := range results {
		if result.Snapshot != merger.snapshot || result.Shard != shard {
			return fmt.Errorf("result %q is from shard %d of snapshot %q, want %d of %q", result.ID, result.Shard, result.Snapshot, shard, merger.snapshot)
		}
	}
	merger.covered[shard] = true
	merger.results = append(merger.results, results...)
	// Truncating above four times the limit bounds the memory without sorting for
	// every shard.
	if len(merger.results) > 4*merger.limit {
		merger.truncate()
	}
	return nil
}

// AddFailure records why a shard is not covered.
func (merger *Merger) AddFailure(shard int, failure *verdict.Failure) {
	merger.missing[shard] = failure
}

// cancelled is the failure of a shard that was cancelled before it replied.
var cancelled = verdict.New(verdict.MayHaveRun, verdict.Cancelled, "cancelled before its reply")

// FirstFailure returns the failed shard with the lowest number, and its
// failure.
func (merger *Merger) FirstFailure() (shard int, failure *verdict.Failure) {
	for shard := range merger.covered {
		if failure := merger.missing[shard]; failure != nil {
			return shard, failure
		}
	}
	return 0, cancelled
}

// FailureCount returns the number of shards whose failure was recorded.
func (merger *Merger) FailureCount() int {
	return len(merger.missing)
}

// truncate sorts the results, best first, and drops those over the limit. Equal
// scores are ordered by document ID, so that the order does not depend on the
// order of arrival.
func (merger *Merger) truncate() {
	slices.SortFunc(merger.results, func(a, b Result) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Shard, b.Shard))
	})
	merger.results = merger.results[:min(len(merger.results), merger.limit)]
}

// CoveredCount returns the number of shards that were merged.
func (merger *Merger) CoveredCount() int {
	count := 0
	for _, covered := range merger.covered {
		if covered {
			count++
		}
	}
	return count
}

// Answer returns the merged results and lists the missing shards.
func (merger *Merger) Answer() *Answer {
	merger.truncate()
	answer := &Answer{Snapshot: merger.snapshot, ShardsAsked: len(merger.covered), ShardsCovered: merger.CoveredCount(), Missing: []Missing{}}
	answer.Results = append([]Result{}, merger.results...)
	for shard, covered := range merger.covered {
		if covered {
			continue
		}
		failure := merger.missing[shard]
		if failure == nil {
			failure = cancelled
		}
		answer.Missing = append(answer.Missing, Missing{Shard: shard, Code: string(failure.Code), Verdict: failure.Verdict.String(), Detail: failure.Detail})
	}
	return answer
}

// Verdict combines the verdicts of all shards. It is NotRun only if every shard
// failed without running.
func (merger *Merger) Verdict() verdict.Verdict {
	if merger.CoveredCount() > 0 {
		return verdict.Ran
	}
	combined := verdict.NotRun
	for shard := range merger.covered {
		failure := merger.missing[shard]
		if failure == nil {
			combined = max(combined, verdict.MayHaveRun)
			continue
		}
		combined = max(combined, failure.Verdict)
	}
	return combined
}
