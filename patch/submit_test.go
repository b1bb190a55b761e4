package patch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"fescuehall/patch"
	"fescuehall/relay"
	"fescuehall/service"
	"fescuehall/standin"
	"fescuehall/store"
)

const configuration = `{"Ranks": [{"Name": "Urgent", "SharePercent": 10}], "Services": {"Desk": {"Slots": 2, "Connections": 25,
 "Kinds": [{"Name": "Lookup", "Rank": "Urgent", "DeadlineMillis": 200, "Idempotent": true, "MinCoveragePercent": 90}],
 "Snapshots": [{"Name": "S1", "Shards": 1, "Replicas": [{"Address": "127.0.0.1:1", "FailureDomain": "a", "Shard": 0}]}]}}}`

// newSubmitter returns a submitter as an entry host runs it, without delays
// between its attempts.
func newSubmitter(url string) *patch.Submitter {
	client := &store.Client{BaseURL: url, HTTP: &http.Client{}}
	loader := &relay.Loader{Get: client.Get, Current: &relay.Current{}}
	return &patch.Submitter{
		Store: patch.Store{Get: client.Get, Put: client.Put},
		Load:  loader.Load,
		Now:   time.Now,
		Pause: func(context.Context, time.Duration) {},
	}
}

func startStore(t testing.TB) (*standin.Store, string) {
	store := &standin.Store{}
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	return store, server.URL
}

// slotsPatch returns a patch that sets the slots of service Desk.
func slotsPatch(id string, against uint64, count int) patch.Patch {
	return patch.Patch{PatchID: id, Against: against, Merge: json.RawMessage(fmt.Sprintf(`{"Services": {"Desk": {"Slots": %d}}}`, count))}
}

// firstPatch returns the patch that creates version 1.
func firstPatch() patch.Patch {
	return patch.Patch{PatchID: "first", Merge: json.RawMessage(configuration)}
}

func TestSubmit(t *testing.T) {
	ctx := context.Background()
	tests := []struct {
		name    string
		fault   standin.StoreFault
		patch   patch.Patch
		outcome patch.Outcome
		version uint64
		// resubmitted is the outcome of the same patch after the fault has ended.
		resubmitted patch.Outcome
		detail      string
	}{
		{name: "against the active version", patch: slotsPatch("second", 1, 3), outcome: patch.Accepted, version: 2, resubmitted: patch.Accepted},
		{name: "against an older version", patch: slotsPatch("second", 0, 3), outcome: patch.Refused, version: 1, resubmitted: patch.Refused, detail: "patch is against version 0, version 1 is active"},
		{name: "same PatchId, different content", patch: patch.Patch{PatchID: "first", Merge: json.RawMessage(`{}`)}, outcome: patch.Refused, version: 1, resubmitted: patch.Refused, detail: `PatchId "first" was used for another patch, which created version 1`},
		{name: "limit below one slot", patch: slotsPatch("second", 1, 0), outcome: patch.Refused, version: 1, resubmitted: patch.Refused, detail: "patch has 1 problems"},
		{name: "rank that is not declared", patch: patch.Patch{PatchID: "second", Against: 1, Merge: json.RawMessage(`{"Ranks": [{"Name": "Other", "SharePercent": 1}]}`)}, outcome: patch.Refused, version: 1, resubmitted: patch.Refused, detail: "patch has 1 problems"},
		{name: "replies to all writes lost", fault: standin.StoreFault{LoseReplies: 100}, patch: slotsPatch("second", 1, 3), outcome: patch.Unknown, resubmitted: patch.Accepted},
		{name: "reply to one write lost", fault: standin.StoreFault{LoseReplies: 1}, patch: slotsPatch("second", 1, 3), outcome: patch.Accepted, version: 2, resubmitted: patch.Accepted},
		{name: "store is down", fault: standin.StoreFault{Outage: true}, patch: slotsPatch("second", 1, 3), outcome: patch.Unknown, resubmitted: patch.Accepted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store, url := startStore(t)
			qt.Assert(t, newSubmitter(url).Submit(ctx, firstPatch()).Outcome, qt.Equals, patch.Accepted)
			store.SetFault(test.fault)
			reply := newSubmitter(url).Submit(ctx, test.patch)
			qt.Assert(t, reply.Outcome, qt.Equals, test.outcome, qt.Commentf("%+v", reply))
			qt.Assert(t, reply.Version, qt.Equals, test.version)
			qt.Assert(t, strings.Contains(reply.Detail, test.detail), qt.IsTrue, qt.Commentf("%+v", reply))
			store.SetFault(standin.StoreFault{})
			qt.Assert(t, newSubmitter(url).Submit(ctx, test.patch).Outcome, qt.Equals, test.resubmitted)
		})
	}
}

// A patch that is resubmitted after later versions exist gets its original
// reply, from the record in the history. Another patch against the same version
// is refused.
func TestResubmitAfterLaterVersions(t *testing.T) {
	_, url := startStore(t)
	ctx := context.Background()
	qt.Assert(t, newSubmitter(url).Submit(ctx, firstPatch()).Outcome, qt.Equals, patch.Accepted)
	for version := range uint64(5) {
		qt.Assert(t, newSubmitter(url).Submit(ctx, slotsPatch(fmt.Sprint("patch-", version), version+1, int(version)+3)).Version, qt.Equals, version+2)
	}
	reply := newSubmitter(url).Submit(ctx, slotsPatch("patch-1", 2, 4))
	qt.Assert(t, reply, qt.DeepEquals, patch.Reply{Outcome: patch.Accepted, Version: 3})
	reply = newSubmitter(url).Submit(ctx, slotsPatch("other", 2, 9))
	qt.Assert(t, reply.Outcome, qt.Equals, patch.Refused)
}

// submission is one call for the linearizability checker.
type submission struct {
	id      string
	against uint64
}

// model describes which replies of Submit are correct. Its state is the list of
// the PatchIDs of all versions, joined by commas.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		var versions []string
		if state.(string) != "" {
			versions = strings.Split(state.(string), ",")
		}
		submission, reply := input.(submission), output.(patch.Reply)
		appended := strings.Join(append(append([]string{}, versions...), submission.id), ",")
		isNext := uint64(len(versions)) == submission.against
		isApplied := uint64(len(versions)) > submission.against && versions[submission.against] == submission.id
		switch {
		case reply.Outcome == patch.Accepted && reply.Version == submission.against+1 && isApplied:
			return []any{state}
		case reply.Outcome == patch.Accepted && reply.Version == submission.against+1 && isNext:
			return []any{appended}
		case reply.Outcome == patch.Refused && !isNext && !isApplied:
			return []any{state}
		case reply.Outcome == patch.Unknown && isNext:
			return []any{state, appended}
		case reply.Outcome == patch.Unknown:
			return []any{state}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// Operators submit patches concurrently to a store that loses replies, returns
// stale values and has outages. Each version must be created by exactly one
// patch, and no reply may contradict that.
func TestConcurrentSubmitsAreLinearizable(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			store, url := startStore(t)
			ctx := context.Background()
			qt.Assert(t, newSubmitter(url).Submit(ctx, firstPatch()).Outcome, qt.Equals, patch.Accepted)
			recorder := &recorder{start: time.Now()}
			recorder.add(submission{id: "first"}, 0, patch.Reply{Outcome: patch.Accepted, Version: 1})
			var group sync.WaitGroup
			for client := range 4 {
				random := rand.New(rand.NewPCG(seed, uint64(client)))
				group.Go(func() { submitPatches(ctx, url, client, recorder, func() { store.SetFault(randomFault(random)) }) })
			}
			group.Wait()
			result := porcupine.CheckOperations(model.ToModel(), recorder.operations)
			qt.Assert(t, result, qt.IsTrue, qt.Commentf("%+v", recorder.operations))
		})
	}
}

// recorder collects the submissions of all operators for the checker.
type recorder struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
}

func (recorder *recorder) now() int64 { return time.Since(recorder.start).Nanoseconds() }

func (recorder *recorder) add(submission submission, calledAt int64, reply patch.Reply) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	returnedAt := recorder.now()
	if reply.Outcome == patch.Unknown {
		// A write whose outcome is unknown may take effect at any later time.
		returnedAt = int64(time.Hour)
	}
	recorder.operations = append(recorder.operations, porcupine.Operation{ClientId: len(recorder.operations), Input: submission, Call: calledAt, Output: reply, Return: returnedAt})
}

// submitPatches submits patches against the latest version that this operator
// knows of, and resubmits a patch with the same PatchID after an unknown
// outcome. Before each submission it changes the store's fault, which affects
// the other operators as well.
func submitPatches(ctx context.Context, url string, client int, recorder *recorder, changeFault func()) {
	knownVersion := uint64(1)
	for number := range 6 {
		submission := submission{id: fmt.Sprintf("%d-%d", client, number), against: knownVersion}
		for range 3 {
			changeFault()
			calledAt := recorder.now()
			reply := newSubmitter(url).Submit(ctx, slotsPatch(submission.id, submission.against, 1+client))
			recorder.add(submission, calledAt, reply)
			if reply.Outcome != patch.Unknown {
				knownVersion = max(knownVersion, reply.Version)
				break
			}
		}
	}
}

// randomFault returns one of the store's faults, or none.
func randomFault(random *rand.Rand) standin.StoreFault {
	return []standin.StoreFault{
		{},
		{LoseReplies: 1 + random.IntN(3)},
		{Stale: true},
		{Outage: true},
	}[random.IntN(4)]
}

func TestApply(t *testing.T) {
	current, problems := service.Parse([]byte(configuration))
	qt.Assert(t, problems, qt.IsNil)
	tests := []struct {
		name  string
		patch patch.Patch
		path  string
	}{
		{name: "operations", patch: patch.Patch{Operations: json.RawMessage(`[{"op": "replace", "path": "/Services/Desk/Slots", "value": 5}]`)}},
		{name: "both Merge and Operations", patch: patch.Patch{PatchID: "x", Merge: json.RawMessage(`{}`), Operations: json.RawMessage(`[]`)}, path: "/"},
		{name: "neither Merge nor Operations", patch: patch.Patch{PatchID: "x"}, path: "/"},
		{name: "removed rank still used", patch: patch.Patch{Merge: json.RawMessage(`{"Ranks": [{"Name": "Late", "SharePercent": 0}]}`)}, path: "/Services/Desk/Kinds/0/Rank"},
		{name: "shard without replica", patch: patch.Patch{Operations: json.RawMessage(`[{"op": "replace", "path": "/Services/Desk/Snapshots/0/Shards", "value": 2}]`)}, path: "/Services/Desk/Snapshots/0/Replicas"},
		{name: "unknown field", patch: patch.Patch{Merge: json.RawMessage(`{"Servces": {}}`)}, path: "/"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, problems := test.patch.Apply(current)
			if test.path == "" {
				qt.Assert(t, problems, qt.HasLen, 0)
				return
			}
			qt.Assert(t, problems, qt.HasLen, 1)
			qt.Assert(t, problems[0].Path, qt.Equals, test.path)
		})
	}
}
