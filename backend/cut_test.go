package backend_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/backend"
	"fescuehall/verdict"
)

// cutServer answers the first request on each connection, the warm-up, completely. Of
// the answer to the second one it sends a part, and ends the connection.
type cutServer struct {
	warmUp string

	mu       sync.Mutex
	part     string
	reset    bool
	requests int
}

func (server *cutServer) set(part string, reset bool) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.part, server.reset, server.requests = part, reset, 0
}

// received returns the number of requests since set, without those of the warm-up.
func (server *cutServer) received() int {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.requests
}

func (server *cutServer) run(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go server.serve(conn.(*net.TCPConn))
	}
}

func (server *cutServer) serve(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		content, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if strings.Contains(string(content), "warm-up") {
			io.WriteString(conn, server.warmUp)
			continue
		}
		server.mu.Lock()
		part, reset := server.part, server.reset
		server.requests++
		server.mu.Unlock()
		io.WriteString(conn, part)
		if reset {
			conn.SetLinger(0)
		}
		return
	}
}

// lengthFramed returns an answer with a length.
func lengthFramed(head, body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

func chunkFramed(head, body string) string {
	return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
}

// Guards against a part of a server's reply that is taken for an answer or for the
// promise that the search has not run, and against a search that is sent again.
func TestReplyCutAtEachByte(t *testing.T) {
	found := func(id string) string {
		encoded, err := json.Marshal(backend.Found{RequestID: id, Attempt: 1, Snapshot: "S1", Shard: 3, Hits: []backend.Hit{}})
		qt.Assert(t, err, qt.IsNil)
		return string(encoded)
	}
	const (
		ok      = "HTTP/1.1 200 OK\r\n"
		refusal = "HTTP/1.1 503 Shed\r\n"
		refused = `{"Code":"Shed","Detail":"full","Instance":"a","Verdict":"NotRun"}`
	)
	for _, test := range []struct {
		name, reply string
		refuses     bool
		// endsByClose is set if only the end of the connection ends the reply.
		endsByClose bool
	}{
		{name: "answer, length", reply: lengthFramed(ok, found("cut"))},
		{name: "answer, chunks", reply: chunkFramed(ok, found("cut"))},
		{name: "answer, no length", reply: ok + "\r\n" + found("cut"), endsByClose: true},
		{name: "answer after an interim one", reply: "HTTP/1.1 103 Early Hints\r\n\r\n" + lengthFramed(ok, found("cut"))},
		{name: "refusal, length", reply: lengthFramed(refusal, refused), refuses: true},
		{name: "refusal, chunks", reply: chunkFramed(refusal, refused), refuses: true},
		{name: "refusal, no length", reply: refusal + "\r\n" + refused, refuses: true, endsByClose: true},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(test.name, ", reset ", reset), func(t *testing.T) {
				t.Parallel()
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				qt.Assert(t, err, qt.IsNil)
				defer listener.Close()
				server := &cutServer{warmUp: lengthFramed(ok, found("warm-up"))}
				go server.run(listener)
				for length := range len(test.reply) + 1 {
					comment := qt.Commentf("the server sent %q", test.reply[:length])
					server.set(test.reply[:length], reset)
					client := backend.New(listener.Addr().String(), 1, nil)
					_, err := client.Search(context.Background(), newSearch("warm-up"))
					qt.Assert(t, err, qt.IsNil)
					got, err := client.Search(context.Background(), newSearch("cut"))
					client.Close()
					qt.Assert(t, server.received(), qt.Equals, 1, comment)
					whole := length == len(test.reply) && !(test.endsByClose && reset)
					if whole && !test.refuses {
						qt.Assert(t, err, qt.IsNil, comment)
						qt.Assert(t, got.RequestID, qt.Equals, "cut")
						continue
					}
					want := verdict.MayHaveRun
					if whole {
						want = verdict.NotRun
					}
					qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, want, comment)
				}
			})
		}
	}
}

// Guards against a part of a health reply that is taken for a server's state.
func TestHealthReplyCutAtEachByte(t *testing.T) {
	want := backend.Health{Instance: "a", Load: 0.25, Ready: true, Snapshots: []string{"S1", "S2"}}
	body, err := json.Marshal(want)
	qt.Assert(t, err, qt.IsNil)
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, reply := range []string{lengthFramed(ok, string(body)), chunkFramed(ok, string(body)), ok + "\r\n" + string(body)} {
		for _, reset := range []bool{false, true} {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer listener.Close()
			server := &cutServer{}
			go server.run(listener)
			for length := range len(reply) + 1 {
				server.set(reply[:length], reset)
				client := backend.New(listener.Addr().String(), 1, nil)
				got, err := client.Health(context.Background())
				client.Close()
				if length < len(reply) && !strings.Contains(reply[:length], string(body)) {
					qt.Assert(t, err, qt.IsNotNil, qt.Commentf("the server sent %q", reply[:length]))
					continue
				}
				// Once the whole object has arrived, the end of its framing does not matter.
				if err == nil {
					qt.Assert(t, *got, qt.DeepEquals, want)
				}
			}
		}
	}
}
