package load

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"fescuehall/answer"
	"fescuehall/standin"
	"fescuehall/verdict"
)

// Checker checks that answers are consistent in themselves, and that their
// verdicts agree with the records of stand-in backend servers. Set the exported
// fields before use.
type Checker struct {
	// RecordURLs are the URLs of the backend servers' records, such as
	// http://127.0.0.1:20000/record.
	RecordURLs []string
	// NonIdempotent names the kinds that are not idempotent.
	NonIdempotent map[string]bool

	mu sync.Mutex
	// verdicts holds the highest verdict received for each request ID, in the
	// order NotRun, MayHaveRun, Ran.
	verdicts map[string]verdict.Verdict
	// nonIdempotent holds whether each request ID must run at most once.
	nonIdempotent map[string]bool
	violations    []string
	checked       int
}

// addViolation records what is wrong with an answer. The caller holds mu.
func (checker *Checker) addViolation(format string, args ...any) {
	checker.violations = append(checker.violations, fmt.Sprintf(format, args...))
}

// check checks one answer and records its verdict for Finish.
func (checker *Checker) check(kind, requestID string, reply *answer.Answer) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if checker.verdicts == nil {
		checker.verdicts = make(map[string]verdict.Verdict)
		checker.nonIdempotent = make(map[string]bool)
	}
	checker.checked++
	checker.verdicts[requestID] = max(checker.verdicts[requestID], verdict.Parse(reply.Verdict))
	checker.nonIdempotent[requestID] = checker.NonIdempotent[kind]
	if reply.Code == string(verdict.ConnectionLost) && reply.RequestID == "" {
		return
	}
	if reply.RequestID != requestID {
		checker.addViolation("request %s got the answer to request %s", requestID, reply.RequestID)
	}
	if reply.Code == "" && reply.ShardsCovered+len(reply.Missing) != reply.ShardsAsked {
		checker.addViolation("request %s: %d shards covered and %d missing of %d", requestID, reply.ShardsCovered, len(reply.Missing), reply.ShardsAsked)
	}
	for _, result := range reply.Results {
		if result.Snapshot != reply.Snapshot {
			checker.addViolation("request %s: result %s is from snapshot %s, the answer from %s", requestID, result.ID, result.Snapshot, reply.Snapshot)
		}
	}
}

// Finish compares the verdicts with the backend servers' records. It returns
// the number of checked answers and a description of each violation.
func (checker *Checker) Finish(client *http.Client) (checked int, violations []string, err error) {
	runs := make(map[string]int)
	for _, address := range checker.RecordURLs {
		response, err := client.Get(address)
		if err != nil {
			return 0, nil, err
		}
		var record standin.ServerRecord
		err = json.NewDecoder(response.Body).Decode(&record)
		response.Body.Close()
		if err != nil {
			return 0, nil, fmt.Errorf("record %s: %w", address, err)
		}
		for id, count := range record.Requests {
			runs[id] += count
		}
	}
	checker.mu.Lock()
	defer checker.mu.Unlock()
	for id, reported := range checker.verdicts {
		if reported == verdict.NotRun && runs[id] > 0 {
			checker.addViolation("request %s has verdict NotRun but ran %d times", id, runs[id])
		}
		if reported == verdict.Ran && runs[id] == 0 {
			checker.addViolation("request %s has verdict Ran but did not run", id)
		}
		if checker.nonIdempotent[id] && runs[id] > 1 {
			checker.addViolation("request %s is not idempotent but ran %d times", id, runs[id])
		}
	}
	return checker.checked, checker.violations, nil
}
