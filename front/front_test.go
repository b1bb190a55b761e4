package front_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/backend"
	"fescuehall/front"
	"fescuehall/message"
	"fescuehall/replica"
	"fescuehall/service"
	"fescuehall/verdict"
)

const address = "127.0.0.1:1"

// searches blocks each search until the test sends its result.
type searches struct {
	mu         sync.Mutex
	running    int
	maxRunning int
	started    chan string
	results    chan error
}

func newSearches() *searches {
	return &searches{started: make(chan string, 100), results: make(chan error)}
}

func (searches *searches) search(_ context.Context, _ *backend.Client, search *backend.Search) (*backend.Found, error) {
	searches.count(1)
	defer searches.count(-1)
	searches.started <- search.RequestID
	if err := <-searches.results; err != nil {
		return nil, err
	}
	return &backend.Found{RequestID: search.RequestID, Snapshot: search.Snapshot, Shard: search.Shard, Draining: search.Text == "drain"}, nil
}

func (searches *searches) count(change int) {
	searches.mu.Lock()
	defer searches.mu.Unlock()
	searches.running += change
	searches.maxRunning = max(searches.maxRunning, searches.running)
}

func newFront(t *testing.T, searches *searches) *front.Front {
	configuration := &service.Configuration{Ranks: []service.Rank{{Name: "Urgent"}, {Name: "Late"}}, Services: service.ConfigurationServices{
		"Desk": {Slots: 2, Connections: 25, Snapshots: []service.Snapshot{{Name: "S1", Shards: 1, Replicas: []service.Replica{{Address: address, FailureDomain: "a"}}}}},
	}}
	changed, _, err := service.Empty().Diff(configuration)
	qt.Assert(t, err, qt.IsNil)
	view, err := service.Empty().With(1, "first", changed, nil)
	qt.Assert(t, err, qt.IsNil)
	return &front.Front{View: func() *service.View { return view }, Marks: &replica.Marks{Now: time.Now}, Now: time.Now, Search: searches.search, Log: func(string, ...any) {}}
}

func request(id string, rank int) *message.SubRequest {
	return &message.SubRequest{RequestID: id, Snapshot: "S1", Replica: address, Rank: rank, BudgetMicros: 60_000_000, Idempotent: true}
}

func TestConcurrentSearchesStayWithinSlots(t *testing.T) {
	searches := newSearches()
	front := newFront(t, searches)
	replies := make(chan *message.SubReply, 20)
	for range 20 {
		go func() { replies <- front.Run(context.Background(), request("x", 0)) }()
	}
	<-searches.started
	<-searches.started
	for range 20 {
		searches.results <- nil
		qt.Assert(t, verdict.Verdict((<-replies).Verdict), qt.Equals, verdict.Ran)
	}
	qt.Assert(t, searches.maxRunning, qt.Equals, 2)
}

func TestRunRefuses(t *testing.T) {
	tests := []struct {
		name    string
		change  func(*front.Front, *message.SubRequest)
		code    verdict.Code
		verdict verdict.Verdict
	}{
		{name: "leaving server", change: func(front *front.Front, _ *message.SubRequest) {
			front.Marks.Set(address, "", replica.FromHostList)
		}, code: verdict.Draining, verdict: verdict.NotRun},
		{name: "unknown server", change: func(_ *front.Front, request *message.SubRequest) { request.Replica = "127.0.0.1:2" }, code: verdict.NoReplica, verdict: verdict.NotRun},
		{name: "no time left", change: func(_ *front.Front, request *message.SubRequest) { request.BudgetMicros = -1 }, code: verdict.Overload, verdict: verdict.NotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			front := newFront(t, newSearches())
			request := request("x", 0)
			test.change(front, request)
			reply := front.Run(context.Background(), request)
			qt.Assert(t, reply.Code, qt.Equals, string(test.code))
			qt.Assert(t, verdict.Verdict(reply.Verdict), qt.Equals, test.verdict)
		})
	}
}

func TestCancelledWhileQueuedIsNotRun(t *testing.T) {
	searches := newSearches()
	front := newFront(t, searches)
	for range 2 {
		go front.Run(context.Background(), request("running", 0))
		<-searches.started
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	reply := front.Run(ctx, request("cancelled", 0))
	qt.Assert(t, verdict.Verdict(reply.Verdict), qt.Equals, verdict.NotRun)
	qt.Assert(t, reply.Code, qt.Equals, string(verdict.Cancelled))
	searches.results <- nil
	searches.results <- nil
	qt.Assert(t, searches.started, qt.HasLen, 0)
}

// A server is marked as leaving both when it refuses a search as draining and
// when it says in an answer that it is draining.
func TestDrainingReplyMarksServerLeaving(t *testing.T) {
	tests := []struct {
		name string
		text string
		err  error
	}{
		{name: "refusal", err: verdict.New(verdict.NotRun, verdict.Draining, "")},
		{name: "answer", text: "drain"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			searches := newSearches()
			front := newFront(t, searches)
			request := request("x", 0)
			request.Text = test.text
			go func() { searches.results <- test.err }()
			front.Run(context.Background(), request)
			qt.Assert(t, front.Marks.Leaving(address), qt.IsTrue)
		})
	}
}
