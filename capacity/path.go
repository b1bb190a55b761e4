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

// shardSizes are the numbers of shards per query.
var shardSizes = []int{20, 100, 400, 1800}

const hitsPerShard = 10

// newReply returns the reply to a sub-request without asking a backend server.
func newReply(request *message.SubRequest) *message.SubReply {
	subReply := &message.SubReply{RequestID: request.RequestID, Attempt: request.Attempt, Snapshot: request.Snapshot, Shard: request.Shard, Replica: request.Replica, Verdict: int(verdict.Ran), Host: "host-1"}
	for index := range hitsPerShard {
		subReply.Results = append(subReply.Results, message.Result{ID: fmt.Sprintf("document-%d-%d", request.Shard, index), Score: float64(index), Snapshot: request.Snapshot, Shard: request.Shard})
	}
	return subReply
}

// queryProcessor measures the processor time of one query at the host that
// coordinates it, without sending the sub-requests.
func queryProcessor(shards int) (float64, error) {
	configuration := newConfiguration(2 * shards)
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
		View:             func() *service.View { return view },
		Send:             func(_ context.Context, request *message.SubRequest) *message.SubReply { return newReply(request) },
		Picker:           replica.New(),
		Marks:            &replica.Marks{Now: time.Now},
		MissingSnapshots: &replica.MissingSnapshots{Now: time.Now},
		Now:              time.Now,
		Log:              func(string, ...any) {},
	}
	coordinator.Pick = coordinator.Picker.Pick
	sequence := 0
	return processorMicros(max(10, 20000/shards), func() {
		sequence++
		request := &answer.Request{RequestID: fmt.Sprint(sequence), Service: "Desk", Kind: "Lookup", Limit: hitsPerShard, DeadlineMillis: 100_000}
		coordinator.Answer(context.Background(), request)
	}), nil
}

// linkProcessor measures the processor time of one query's sub-requests and
// replies between two hosts, both ends together.
func linkProcessor(shards int) (float64, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	server := &link.Server{Handle: func(_ context.Context, requestFrame frame.Frame, answer link.Reply) {
		request := &message.SubRequest{}
		if _, err := request.UnmarshalMsg(requestFrame.Body); err != nil {
			return
		}
		if body, err := newReply(request).MarshalMsg(nil); err == nil {
			answer(frame.SubReply, body)
		}
	}}
	go server.Run(listener)
	client := &link.Client{Address: listener.Addr().String()}
	defer client.Close()
	return processorMicros(max(5, 10000/shards), func() {
		runConcurrently(shards, func(shard int) {
			body, err := subRequest(shard).MarshalMsg(nil)
			if err != nil {
				return
			}
			replyFrame, err := client.Call(context.Background(), frame.SubRequest, body)
			if err == nil {
				(&message.SubReply{}).UnmarshalMsg(replyFrame.Body)
			}
		})
	}), nil
}

func subRequest(shard int) *message.SubRequest {
	return &message.SubRequest{RequestID: "0123456789abcdef0123456789abcdef", Attempt: 1, Service: "Desk", Kind: "Lookup", Snapshot: "S1", Shard: shard, Replica: "10.0.0.1:9000", BudgetMicros: 10_000_000, Idempotent: true, Text: "houseboat", Limit: hitsPerShard}
}

func runConcurrently(count int, run func(index int)) {
	var group sync.WaitGroup
	for index := range count {
		group.Go(func() { run(index) })
	}
	group.Wait()
}

// searchProcessor measures the processor time of sub-requests at the host that
// fronts their replica and at the stand-in, HTTP included.
func searchProcessor(searches int) (float64, error) {
	return frontProcessor(searches, func(ctx context.Context, client *backend.Client, search *backend.Search) (*backend.Found, error) {
		return client.Search(ctx, search)
	})
}

// queueProcessor measures the same without HTTP and without a backend server.
func queueProcessor(searches int) (float64, error) {
	return frontProcessor(searches, func(_ context.Context, _ *backend.Client, search *backend.Search) (*backend.Found, error) {
		found := &backend.Found{RequestID: search.RequestID, Attempt: search.Attempt, Snapshot: search.Snapshot, Shard: search.Shard}
		for index := range hitsPerShard {
			found.Hits = append(found.Hits, standin.Hit(search.Snapshot, search.Shard, index, search.Text))
		}
		return found, nil
	})
}

func frontProcessor(searches int, search func(context.Context, *backend.Client, *backend.Search) (*backend.Found, error)) (float64, error) {
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
	fronting := &front.Front{View: func() *service.View { return view }, Marks: &replica.Marks{Now: time.Now}, Now: time.Now, Log: func(string, ...any) {}, Search: search}
	return processorMicros(max(5, 10000/searches), func() {
		runConcurrently(searches, func(int) {
			request := subRequest(0)
			request.Replica = address
			fronting.Run(context.Background(), request)
		})
	}), nil
}

// pathBytes counts the bytes of one query's sub-requests and replies on the
// wire between hosts.
func pathBytes(shards int) (float64, error) {
	total := 0
	for shard := range shards {
		request := subRequest(shard)
		body, err := request.MarshalMsg(nil)
		if err != nil {
			return 0, err
		}
		replyBody, err := newReply(request).MarshalMsg(nil)
		if err != nil {
			return 0, err
		}
		// Each of the two frames has a header of 14 bytes.
		total += len(body) + len(replyBody) + 2*14
	}
	return float64(total), nil
}

// batchProcessor measures the processor time of one HTTP exchange that carries
// several searches and their answers, both ends together. Such batches are not
// implemented in the query path.
func batchProcessor(searches int) (float64, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	go http.Serve(listener, http.HandlerFunc(answerBatch))
	batch := make([]backend.Search, searches)
	for index := range batch {
		batch[index] = backend.Search{RequestID: "0123456789abcdef0123456789abcdef", Service: "Desk", Kind: "Lookup", Snapshot: "S1", Shard: index, Text: "houseboat", Limit: hitsPerShard}
	}
	client := &http.Client{}
	return processorMicros(max(20, 4000/searches), func() {
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
	for index, search := range batch {
		found[index] = backend.Found{RequestID: search.RequestID, Snapshot: search.Snapshot, Shard: search.Shard}
		for hit := range hitsPerShard {
			found[index].Hits = append(found[index].Hits, backend.Hit{ID: "document", Score: float64(hit), Snapshot: search.Snapshot, Shard: search.Shard})
		}
	}
	json.NewEncoder(writer).Encode(found)
}
