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

// Checker holds answers against themselves, and verdicts against the records
// of stand-in backend servers. Set the fields before use.
type Checker struct {
	// Records are the URLs of the backend servers' records.
	Records []string
	// Once names the kinds that are not idempotent.
	Once map[string]bool

	mu       sync.Mutex
	verdicts map[string]verdict.Verdict
	once     map[string]bool
	wrong    []string
	checked  int
}

func (checker *Checker) blame(format string, args ...any) {
	checker.wrong = append(checker.wrong, fmt.Sprintf(format, args...))
}

// take checks one answer.
func (checker *Checker) take(kind, requestID string, got *answer.Answer) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if checker.verdicts == nil {
		checker.verdicts = make(map[string]verdict.Verdict)
		checker.once = make(map[string]bool)
	}
	checker.checked++
	checker.verdicts[requestID] = max(checker.verdicts[requestID], verdict.Parse(got.Verdict))
	checker.once[requestID] = checker.Once[kind]
	if got.Code == string(verdict.ConnectionLost) && got.RequestID == "" {
		return
	}
	if got.RequestID != requestID {
		checker.blame("request %s got the answer to %s", requestID, got.RequestID)
	}
	if got.Code == "" && got.ShardsCovered+len(got.Missing) != got.ShardsAsked {
		checker.blame("request %s: %d shards covered and %d missing of %d", requestID, got.ShardsCovered, len(got.Missing), got.ShardsAsked)
	}
	for _, result := range got.Results {
		if result.Snapshot != got.Snapshot {
			checker.blame("request %s: result %s is from snapshot %s, the answer from %s", requestID, result.ID, result.Snapshot, got.Snapshot)
		}
	}
}

// Finish reads the records and returns how many answers were checked and what
// was wrong.
func (checker *Checker) Finish(client *http.Client) (checked int, wrong []string, err error) {
	runs := make(map[string]int)
	for _, address := range checker.Records {
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
	for id, said := range checker.verdicts {
		if said == verdict.NotRun && runs[id] > 0 {
			checker.blame("request %s was said not to run and ran %d times", id, runs[id])
		}
		if said == verdict.Ran && runs[id] == 0 {
			checker.blame("request %s was said to have run and did not", id)
		}
		if checker.once[id] && runs[id] > 1 {
			checker.blame("request %s is not idempotent and ran %d times", id, runs[id])
		}
	}
	return checker.checked, checker.wrong, nil
}
