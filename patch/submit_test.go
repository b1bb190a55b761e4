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

// operator is an entry host as far as patches go.
func operator(url string) *patch.Submitter {
	client := &store.Client{BaseURL: url, HTTP: &http.Client{}}
	loader := &relay.Loader{Get: client.Get, Current: &relay.Current{}}
	return &patch.Submitter{
		Store: patch.Store{Get: client.Get, Put: client.Put},
		Load:  loader.Load,
		Now:   time.Now,
		Pause: func(context.Context, time.Duration) {},
	}
}

func platform(t testing.TB) (*standin.Store, string) {
	platform := &standin.Store{}
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	return platform, server.URL
}

func slots(id string, against uint64, count int) patch.Patch {
	return patch.Patch{PatchID: id, Against: against, Merge: json.RawMessage(fmt.Sprintf(`{"Services": {"Desk": {"Slots": %d}}}`, count))}
}

func first() patch.Patch {
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
		again   patch.Outcome
		detail  string
	}{
		{name: "against the version in force", patch: slots("second", 1, 3), outcome: patch.Accepted, version: 2, again: patch.Accepted},
		{name: "against an older version", patch: slots("second", 0, 3), outcome: patch.Refused, version: 1, again: patch.Refused, detail: "patch is against version 0, version 1 is in force"},
		{name: "same identity, other content", patch: patch.Patch{PatchID: "first", Merge: json.RawMessage(`{}`)}, outcome: patch.Refused, version: 1, again: patch.Refused, detail: `PatchId "first" was used for another patch, which made version 1`},
		{name: "limit below one slot", patch: slots("second", 1, 0), outcome: patch.Refused, version: 1, again: patch.Refused, detail: "patch has 1 problems"},
		{name: "rank that is not declared", patch: patch.Patch{PatchID: "second", Against: 1, Merge: json.RawMessage(`{"Ranks": [{"Name": "Other", "SharePercent": 1}]}`)}, outcome: patch.Refused, version: 1, again: patch.Refused, detail: "patch has 1 problems"},
		{name: "every reply of a write lost", fault: standin.StoreFault{LoseReplies: 100}, patch: slots("second", 1, 3), outcome: patch.Unknown, again: patch.Accepted},
		{name: "one reply of a write lost", fault: standin.StoreFault{LoseReplies: 1}, patch: slots("second", 1, 3), outcome: patch.Accepted, version: 2, again: patch.Accepted},
		{name: "store is down", fault: standin.StoreFault{Outage: true}, patch: slots("second", 1, 3), outcome: patch.Unknown, again: patch.Accepted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store, url := platform(t)
			qt.Assert(t, operator(url).Submit(ctx, first()).Outcome, qt.Equals, patch.Accepted)
			store.SetFault(test.fault)
			reply := operator(url).Submit(ctx, test.patch)
			qt.Assert(t, reply.Outcome, qt.Equals, test.outcome, qt.Commentf("%+v", reply))
			qt.Assert(t, reply.Version, qt.Equals, test.version)
			qt.Assert(t, strings.Contains(reply.Detail, test.detail), qt.IsTrue, qt.Commentf("%+v", reply))
			store.SetFault(standin.StoreFault{})
			qt.Assert(t, operator(url).Submit(ctx, test.patch).Outcome, qt.Equals, test.again)
		})
	}
}

// A patch is found again after others have followed it.
func TestSubmitAgainLater(t *testing.T) {
	_, url := platform(t)
	ctx := context.Background()
	qt.Assert(t, operator(url).Submit(ctx, first()).Outcome, qt.Equals, patch.Accepted)
	for version := range uint64(5) {
		qt.Assert(t, operator(url).Submit(ctx, slots(fmt.Sprint("patch-", version), version+1, int(version)+3)).Version, qt.Equals, version+2)
	}
	reply := operator(url).Submit(ctx, slots("patch-1", 2, 4))
	qt.Assert(t, reply, qt.DeepEquals, patch.Reply{Outcome: patch.Accepted, Version: 3})
	reply = operator(url).Submit(ctx, slots("other", 2, 9))
	qt.Assert(t, reply.Outcome, qt.Equals, patch.Refused)
}

// submission is one call for the linearizability checker.
type submission struct {
	id      string
	against uint64
}

// history is the model's state: the patch of each version, joined.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		var made []string
		if state.(string) != "" {
			made = strings.Split(state.(string), ",")
		}
		asked, reply := input.(submission), output.(patch.Reply)
		appended := strings.Join(append(append([]string{}, made...), asked.id), ",")
		isNext := uint64(len(made)) == asked.against
		isMade := uint64(len(made)) > asked.against && made[asked.against] == asked.id
		switch {
		case reply.Outcome == patch.Accepted && reply.Version == asked.against+1 && isMade:
			return []any{state}
		case reply.Outcome == patch.Accepted && reply.Version == asked.against+1 && isNext:
			return []any{appended}
		case reply.Outcome == patch.Refused && !isNext && !isMade:
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

// Operators race each other through a store that loses replies, answers with
// older values and has outages. Each version is made by exactly one patch.
func TestRacingOperatorsAreLinearizable(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			store, url := platform(t)
			ctx := context.Background()
			qt.Assert(t, operator(url).Submit(ctx, first()).Outcome, qt.Equals, patch.Accepted)
			recorder := &recorder{start: time.Now()}
			recorder.add(submission{id: "first"}, 0, patch.Reply{Outcome: patch.Accepted, Version: 1})
			var group sync.WaitGroup
			for client := range 4 {
				random := rand.New(rand.NewPCG(seed, uint64(client)))
				group.Go(func() { race(ctx, url, client, recorder, func() { store.SetFault(draw(random)) }) })
			}
			group.Wait()
			result := porcupine.CheckOperations(model.ToModel(), recorder.operations)
			qt.Assert(t, result, qt.IsTrue, qt.Commentf("%+v", recorder.operations))
		})
	}
}

// recorder collects the calls of all operators.
type recorder struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
}

func (recorder *recorder) now() int64 { return time.Since(recorder.start).Nanoseconds() }

func (recorder *recorder) add(asked submission, call int64, reply patch.Reply) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	returned := recorder.now()
	if reply.Outcome == patch.Unknown {
		// A write whose outcome is unknown may take effect later.
		returned = int64(time.Hour)
	}
	recorder.operations = append(recorder.operations, porcupine.Operation{ClientId: len(recorder.operations), Input: asked, Call: call, Output: reply, Return: returned})
}

// race submits patches against what this operator believes is in force, and
// asks again with the same identity after an unknown outcome. Before each call
// the store gets another fault, which the other operators meet too.
func race(ctx context.Context, url string, client int, recorder *recorder, spoil func()) {
	believed := uint64(1)
	for number := range 6 {
		asked := submission{id: fmt.Sprintf("%d-%d", client, number), against: believed}
		for range 3 {
			spoil()
			call := recorder.now()
			reply := operator(url).Submit(ctx, slots(asked.id, asked.against, 1+client))
			recorder.add(asked, call, reply)
			if reply.Outcome != patch.Unknown {
				believed = max(believed, reply.Version)
				break
			}
		}
	}
}

// draw returns a fault of the store, or none.
func draw(random *rand.Rand) standin.StoreFault {
	return []standin.StoreFault{
		{},
		{LoseReplies: 1 + random.IntN(3)},
		{Stale: true},
		{Outage: true},
	}[random.IntN(4)]
}

func TestPatchChanges(t *testing.T) {
	current, problems := service.Parse([]byte(configuration))
	qt.Assert(t, problems, qt.IsNil)
	tests := []struct {
		name  string
		patch patch.Patch
		path  string
	}{
		{name: "operations", patch: patch.Patch{Operations: json.RawMessage(`[{"op": "replace", "path": "/Services/Desk/Slots", "value": 5}]`)}},
		{name: "both", patch: patch.Patch{PatchID: "x", Merge: json.RawMessage(`{}`), Operations: json.RawMessage(`[]`)}, path: "/"},
		{name: "neither", patch: patch.Patch{PatchID: "x"}, path: "/"},
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
