package backend_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/backend"
	"fescuehall/standin"
	"fescuehall/verdict"
)

func startServer(t *testing.T, model standin.Model) (*standin.Server, *backend.Client) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { listener.Close() })
	model.RecordRequests = true
	server := &standin.Server{Model: model, Snapshots: []string{"S1"}, Instance: "a"}
	go server.Serve(listener)
	client := backend.New(listener.Addr().String(), 25, nil)
	t.Cleanup(client.Close)
	return server, client
}

func newSearch(id string) *backend.Search {
	return &backend.Search{RequestID: id, Attempt: 1, Snapshot: "S1", Shard: 3, Limit: 5, Text: "lantern"}
}

// The verdict for each fault of a backend server must agree with the server's
// own record of the searches that it ran.
func TestVerdictOfEachFault(t *testing.T) {
	tests := []struct {
		name    string
		fault   standin.ServerFault
		request string
		verdict verdict.Verdict
		code    verdict.Code
		runs    int
	}{
		{name: "sheds load", fault: standin.ServerFault{ShedShare: 1}, verdict: verdict.NotRun, code: verdict.Shed},
		{name: "is draining", fault: standin.ServerFault{Drain: true}, verdict: verdict.NotRun, code: verdict.Draining},
		{name: "lacks the snapshot", fault: standin.ServerFault{Snapshots: []string{"S2"}}, verdict: verdict.NotRun, code: verdict.SnapshotMissing},
		{name: "closes the connection after reading", fault: standin.ServerFault{CutAt: standin.CutRead, CutShare: 1}, verdict: verdict.MayHaveRun, code: verdict.ConnectionLost},
		{name: "closes the connection after running", fault: standin.ServerFault{CutAt: standin.CutRun, CutShare: 1}, verdict: verdict.MayHaveRun, code: verdict.ConnectionLost, runs: 1},
		{name: "closes the connection halfway through the answer", fault: standin.ServerFault{CutAt: standin.CutHalf, CutShare: 1}, verdict: verdict.MayHaveRun, code: verdict.ConnectionLost, runs: 1},
		{name: "answers for another request", fault: standin.ServerFault{Cross: true}, verdict: verdict.MayHaveRun, code: verdict.ReplyMismatch, runs: 1},
		{name: "freezes", fault: standin.ServerFault{Freeze: true}, verdict: verdict.MayHaveRun, code: verdict.DeadlinePassed},
		{name: "answers too late", fault: standin.ServerFault{LateMillis: 10_000}, verdict: verdict.MayHaveRun, code: verdict.DeadlinePassed, runs: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server, client := startServer(t, standin.Model{Slots: 2})
			_, err := client.Search(context.Background(), newSearch("warm-up"))
			qt.Assert(t, err, qt.IsNil)
			server.SetFault(test.fault)
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			_, err = client.Search(ctx, newSearch("with-fault"))
			failure := verdict.FailureOf(err)
			qt.Assert(t, failure.Verdict, qt.Equals, test.verdict, qt.Commentf("%v", err))
			qt.Assert(t, failure.Code, qt.Equals, test.code, qt.Commentf("%v", err))
			qt.Assert(t, server.Record().Requests["with-fault"], qt.Equals, test.runs)
		})
	}
}

func TestUnreachableServerGivesNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	listener.Close()
	_, err = backend.New(listener.Addr().String(), 2, nil).Search(context.Background(), newSearch("x"))
	qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, verdict.NotRun)
	qt.Assert(t, verdict.FailureOf(err).Code, qt.Equals, verdict.Unreachable)
}

// A search whose deadline passes while it waits for a free connection has not
// run.
func TestNoFreeConnectionGivesNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer listener.Close()
	received := make(chan struct{}, 1)
	go http.Serve(listener, http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		io.Copy(io.Discard, request.Body)
		received <- struct{}{}
		<-request.Context().Done()
	}))
	client := backend.New(listener.Addr().String(), 1, nil)
	blockedCtx, release := context.WithCancel(context.Background())
	defer release()
	go client.Search(blockedCtx, newSearch("blocked"))
	<-received
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = client.Search(ctx, newSearch("waiting"))
	qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, verdict.NotRun, qt.Commentf("%v", err))
}

// net/http must not send a search twice when the server closes a reused
// connection after it has read the request.
func TestSearchIsNeverResent(t *testing.T) {
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		content, _ := io.ReadAll(request.Body)
		if strings.Contains(string(content), "warm-up") {
			io.WriteString(writer, `{"RequestId":"warm-up","Attempt":1,"Snapshot":"S1","Shard":3,"Hits":[]}`)
			return
		}
		requests.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	client := backend.New(server.Listener.Addr().String(), 2, nil)
	_, err := client.Search(context.Background(), newSearch("warm-up"))
	qt.Assert(t, err, qt.IsNil)
	_, err = client.Search(context.Background(), newSearch("search"))
	qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, verdict.MayHaveRun)
	qt.Assert(t, requests.Load(), qt.Equals, int64(1))
}

// A redirect must not make net/http send the search a second time.
func TestSearchDoesNotFollowRedirects(t *testing.T) {
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		requests.Add(1)
		http.Redirect(writer, request, "/search", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	_, err := backend.New(server.Listener.Addr().String(), 2, nil).Search(context.Background(), newSearch("search"))
	qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, verdict.MayHaveRun)
	qt.Assert(t, requests.Load(), qt.Equals, int64(1))
}

// A server that sends an answer twice must not have the second copy accepted as
// the answer to the next search on the connection.
func TestDuplicateAnswerIsNotAcceptedForNextSearch(t *testing.T) {
	server, client := startServer(t, standin.Model{Slots: 2})
	server.SetFault(standin.ServerFault{Double: true})
	for _, id := range []string{"one", "two", "three"} {
		found, err := client.Search(context.Background(), newSearch(id))
		if err != nil {
			qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Not(qt.Equals), verdict.Ran)
			continue
		}
		qt.Assert(t, found.RequestID, qt.Equals, id)
	}
}

func TestHealth(t *testing.T) {
	server, client := startServer(t, standin.Model{Slots: 2})
	server.SetFault(standin.ServerFault{Drain: true})
	health, err := client.Health(context.Background())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, health.Draining, qt.IsTrue)
	qt.Assert(t, health.Instance, qt.Equals, "a")
}

// A server sends a second copy of an answer when the connection is in use again.
// The next search must not get it, and the one after that gets its own answer.
func TestLateSecondAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerTwice(conn)
		}
	}()
	client := backend.New(listener.Addr().String(), 1, nil)
	defer client.Close()
	for number := range 10 {
		id := fmt.Sprint("search-", number)
		found, err := client.Search(context.Background(), newSearch(id))
		if err != nil {
			qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, verdict.MayHaveRun)
			continue
		}
		qt.Assert(t, found.RequestID, qt.Equals, id)
	}
	found, err := client.Search(context.Background(), newSearch("first of a connection"))
	if err != nil {
		found, err = client.Search(context.Background(), newSearch("first of a connection"))
	}
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, found.RequestID, qt.Equals, "first of a connection")
}

// answerTwice answers each search, and repeats the answer to the previous one
// when the next arrives.
func answerTwice(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	previous := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var search backend.Search
		if json.NewDecoder(request.Body).Decode(&search) != nil {
			return
		}
		content, _ := json.Marshal(backend.Found{RequestID: search.RequestID, Attempt: search.Attempt, Snapshot: search.Snapshot, Shard: search.Shard})
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(content), content)
		io.WriteString(conn, previous+answer)
		previous = answer
	}
}

// A server that answers without end is cut off, and the search may have run.
func TestReplyWithoutEnd(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name, prefix, block string
		code                verdict.Code
	}{
		{name: "status line", prefix: "HTTP/1.1 200 ", block: "OK", code: verdict.ConnectionLost},
		{name: "header lines", prefix: ok, block: "X: yes\r\n", code: verdict.ConnectionLost},
		{name: "interim responses", block: "HTTP/1.1 103 Early Hints\r\n\r\n", code: verdict.ConnectionLost},
		{name: "body", prefix: ok + "\r\n", block: " ", code: verdict.ReplyTooLarge},
		{name: "chunks", prefix: ok + "Transfer-Encoding: chunked\r\n\r\n", block: "4\r\n    \r\n", code: verdict.ReplyTooLarge},
		{name: "declared length", prefix: ok + "Content-Length: 9999999999\r\n\r\n", block: " ", code: verdict.ReplyTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				io.ReadFull(conn, make([]byte, 1))
				_, err = io.WriteString(conn, test.prefix)
				for blocks := strings.Repeat(test.block, 1000); err == nil; {
					_, err = io.WriteString(conn, blocks)
				}
			}()
			client := backend.New(listener.Addr().String(), 1, nil)
			defer client.Close()
			_, err = client.Search(context.Background(), newSearch("x"))
			qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, verdict.MayHaveRun)
			qt.Assert(t, verdict.FailureOf(err).Code, qt.Equals, test.code, qt.Commentf("%v", err))
		})
	}
}
