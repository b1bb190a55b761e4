package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"fescuehall/answer"
	"fescuehall/backend"
	"fescuehall/frame"
	"fescuehall/front"
	"fescuehall/link"
	"fescuehall/message"
	"fescuehall/query"
	"fescuehall/replica"
	"fescuehall/service"
	"fescuehall/standin"
	"fescuehall/verdict"
)

// shardSizes are numbers of shards of a query.
var shardSizes = []int{20, 100, 400, 1800}

const hitsPerShard = 10

// reply answers a sub-request without a backend server.
func reply(request *message.SubRequest) *message.SubReply {
	made := &message.SubReply{RequestID: request.RequestID, Attempt: request.Attempt, Snapshot: request.Snapshot, Shard: request.Shard, Replica: request.Replica, Verdict: int(verdict.Ran), Host: "host-1"}
	for place := range hitsPerShard {
		made.Results = append(made.Results, message.Result{ID: fmt.Sprintf("document-%d-%d", request.Shard, place), Score: float64(place), Snapshot: request.Snapshot, Shard: request.Shard})
	}
	return made
}

// coordinate is the processor time of one query at the host that takes it,
// without sending.
func coordinate(shards int) (float64, error) {
	configuration := configurationOf(2 * shards)
	spec := configuration.Services["Desk0"]
	spec.Snapshots = []service.Snapshot{{Name: "S1", Shards: shards, Replicas: replicas(2 * shards)}}
	configuration.Services = service.ConfigurationServices{"Desk": spec}
	changed, _, err := service.Empty().Diff(configuration)
	if err != nil {
		return 0, err
	}
	view, err := service.Empty().With(1, "first", changed, nil)
	if err != nil {
		return 0, err
	}
	coordinator := &query.Coordinator{
		View:     func() *service.View { return view },
		Send:     func(_ context.Context, request *message.SubRequest) *message.SubReply { return reply(request) },
		Picker:   replica.New(),
		Marks:    &replica.Marks{Now: time.Now},
		Absences: &replica.Absences{Now: time.Now},
		Now:      time.Now,
		Log:      func(string, ...any) {},
	}
	coordinator.Pick = coordinator.Picker.Pick
	number := 0
	return timed(max(10, 20000/shards), func() {
		number++
		request := &answer.Request{RequestID: fmt.Sprint(number), Service: "Desk", Kind: "Lookup", Limit: hitsPerShard, DeadlineMillis: 100_000}
		coordinator.Answer(context.Background(), request)
	}), nil
}

// linked is the processor time of one query's sub-requests and replies between
// two hosts, both ends together.
func linked(shards int) (float64, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	server := &link.Server{Handle: func(_ context.Context, received frame.Frame, answer link.Reply) {
		request := &message.SubRequest{}
		if _, err := request.UnmarshalMsg(received.Body); err != nil {
			return
		}
		if body, err := reply(request).MarshalMsg(nil); err == nil {
			answer(frame.SubReply, body)
		}
	}}
	go server.Run(listener)
	client := &link.Client{Address: listener.Addr().String()}
	defer client.Close()
	return timed(max(5, 10000/shards), func() {
		each(shards, func(shard int) {
			body, err := subRequest(shard).MarshalMsg(nil)
			if err != nil {
				return
			}
			received, err := client.Call(context.Background(), frame.SubRequest, body)
			if err == nil {
				(&message.SubReply{}).UnmarshalMsg(received.Body)
			}
		})
	}), nil
}

func subRequest(shard int) *message.SubRequest {
	return &message.SubRequest{RequestID: "0123456789abcdef0123456789abcdef", Attempt: 1, Service: "Desk", Kind: "Lookup", Snapshot: "S1", Shard: shard, Replica: "10.0.0.1:9000", BudgetMicros: 10_000_000, Idempotent: true, Text: "houseboat", Limit: hitsPerShard}
}

func each(count int, use func(place int)) {
	var group sync.WaitGroup
	for place := range count {
		group.Go(func() { use(place) })
	}
	group.Wait()
}

// fronted is the processor time of sub-requests at the host that fronts their
// replica and at the stand-in, HTTP included.
func fronted(searches int) (float64, error) {
	return searching(searches, func(ctx context.Context, client *backend.Client, search *backend.Search) (*backend.Found, error) {
		return client.Search(ctx, search)
	})
}

// queued is the same without HTTP and without a backend server.
func queued(searches int) (float64, error) {
	return searching(searches, func(_ context.Context, _ *backend.Client, search *backend.Search) (*backend.Found, error) {
		found := &backend.Found{RequestID: search.RequestID, Attempt: search.Attempt, Snapshot: search.Snapshot, Shard: search.Shard}
		for place := range hitsPerShard {
			found.Hits = append(found.Hits, standin.Hit(search.Snapshot, search.Shard, place, search.Text))
		}
		return found, nil
	})
}

func searching(searches int, search func(context.Context, *backend.Client, *backend.Search) (*backend.Found, error)) (float64, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	server := &standin.Server{Model: standin.Model{Slots: 64, Queue: 10_000}, Snapshots: []string{"S1"}}
	go server.Serve(listener)
	address := listener.Addr().String()
	spec := service.Spec{Slots: 16, Connections: 25, Kinds: []service.Kind{{Name: "Lookup", Rank: "Urgent", DeadlineMillis: 1000}}, Snapshots: []service.Snapshot{{Name: "S1", Shards: 1, Replicas: []service.Replica{{Address: address, FailureDomain: "a"}}}}}
	changed, _, err := service.Empty().Diff(&service.Configuration{Ranks: []service.Rank{{Name: "Urgent"}}, Services: service.ConfigurationServices{"Desk": spec}})
	if err != nil {
		return 0, err
	}
	view, err := service.Empty().With(1, "first", changed, nil)
	if err != nil {
		return 0, err
	}
	running := &front.Front{View: func() *service.View { return view }, Marks: &replica.Marks{Now: time.Now}, Now: time.Now, Log: func(string, ...any) {}, Search: search}
	return timed(max(5, 10000/searches), func() {
		each(searches, func(int) {
			request := subRequest(0)
			request.Replica = address
			running.Run(context.Background(), request)
		})
	}), nil
}

// pathBytes is what one query's sub-requests and replies take on the wire
// between hosts.
func pathBytes(shards int) (float64, error) {
	total := 0
	for shard := range shards {
		request := subRequest(shard)
		body, err := request.MarshalMsg(nil)
		if err != nil {
			return 0, err
		}
		back, err := reply(request).MarshalMsg(nil)
		if err != nil {
			return 0, err
		}
		total += len(body) + len(back) + 2*14
	}
	return float64(total), nil
}

// batched is the processor time of one HTTP exchange that carries a number of
// searches and their answers, both ends together. Nothing sends such batches
// yet.
func batched(searches int) (float64, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	go http.Serve(listener, http.HandlerFunc(answerBatch))
	batch := make([]backend.Search, searches)
	for place := range batch {
		batch[place] = backend.Search{RequestID: "0123456789abcdef0123456789abcdef", Service: "Desk", Kind: "Lookup", Snapshot: "S1", Shard: place, Text: "houseboat", Limit: hitsPerShard}
	}
	client := &http.Client{}
	return timed(max(20, 4000/searches), func() {
		body, err := json.Marshal(batch)
		if err != nil {
			return
		}
		response, err := client.Post("http://"+listener.Addr().String(), "application/json", bytes.NewReader(body))
		if err != nil {
			return
		}
		defer response.Body.Close()
		var found []backend.Found
		json.NewDecoder(response.Body).Decode(&found)
	}), nil
}

func answerBatch(writer http.ResponseWriter, request *http.Request) {
	var batch []backend.Search
	if err := json.NewDecoder(request.Body).Decode(&batch); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	found := make([]backend.Found, len(batch))
	for place, search := range batch {
		found[place] = backend.Found{RequestID: search.RequestID, Snapshot: search.Snapshot, Shard: search.Shard}
		for hit := range hitsPerShard {
			found[place].Hits = append(found[place].Hits, backend.Hit{ID: "document", Score: float64(hit), Snapshot: search.Snapshot, Shard: search.Shard})
		}
	}
	json.NewEncoder(writer).Encode(found)
}
