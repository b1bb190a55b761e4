package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/exchange"
	"fescuehall/verdict"
)

// startServer returns the address of a server that calls serve with each
// connection and its number, counted from 0.
func startServer(t *testing.T, serve func(number int, conn net.Conn, reader *bufio.Reader)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	// Connections are closed and awaited, so that what they read takes no memory
	// during later tests.
	var mu sync.Mutex
	var conns []net.Conn
	var group sync.WaitGroup
	t.Cleanup(func() {
		listener.Close()
		mu.Lock()
		for _, conn := range conns {
			conn.Close()
		}
		mu.Unlock()
		group.Wait()
	})
	group.Go(func() {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			group.Go(func() {
				defer conn.Close()
				serve(number, conn, bufio.NewReader(conn))
			})
		}
	})
	return listener.Addr().String()
}

// response returns a complete response that echoes the id of a request.
func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string) *exchange.Request {
	return &exchange.Request{Method: "GET", Host: "desk.example", Target: "/x/1?a=%2f", Header: http.Header{"Id": {id}}}
}

func pool() *exchange.Pool {
	return &exchange.Pool{Matches: func(request *exchange.Request, response *exchange.Response) bool {
		return request.Header.Get("Id") == response.Header.Get("Id")
	}}
}

func do(pool *exchange.Pool, address, id string) (*exchange.Response, error) {
	return pool.Do(context.Background(), exchange.Destination{Address: address, MaxOpen: 1}, func() (*exchange.Request, error) { return request(id), nil })
}

func TestDo(t *testing.T) {
	tests := []struct {
		name     string
		response string
		body     string
		code     verdict.Code
	}{
		{name: "complete", response: response("1", "records"), body: "records"},
		{name: "after a late response to an earlier request", response: response("0", "old") + response("1", "records"), body: "records"},
		{name: "after an interim response", response: "HTTP/1.1 100 Continue\r\n\r\n" + response("1", "records"), body: "records"},
		{name: "chunked", response: "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nrec\r\n4\r\nords\r\n0\r\n\r\n", body: "records"},
		{name: "without length, ended by the close of the connection", response: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nrecords", body: "records"},
		{name: "only to another request", response: response("0", "old"), code: verdict.ConnectionLost},
		{name: "to another request, then closed", response: "HTTP/1.1 200 OK\r\nId: 0\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", code: verdict.ReplyMismatch},
		{name: "truncated in the body", response: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nrec", code: verdict.ConnectionLost},
		{name: "truncated in a chunk", response: "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nrec", code: verdict.ConnectionLost},
		{name: "not HTTP", response: "hello\r\n\r\n", code: verdict.ConnectionLost},
		{name: "none", response: "", code: verdict.ConnectionLost},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address := startServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
				if _, err := http.ReadRequest(reader); err == nil {
					io.WriteString(conn, test.response)
				}
			})
			response, err := do(pool(), address, "1")
			if test.code != "" {
				qt.Assert(t, verdict.FailureOf(err).Code, qt.Equals, test.code)
				qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, verdict.MayHaveRun)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(response.Body), qt.Equals, test.body)
		})
	}
}

// A second response to one request must not be taken for the response to the
// next request, whether it arrives at once or later.
func TestSecondResponseIsNotTakenForTheNext(t *testing.T) {
	address := startServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id := request.Header.Get("Id")
			io.WriteString(conn, response(id, "first "+id)+response(id, "second "+id))
		}
	})
	pool := pool()
	for number := range 20 {
		id := fmt.Sprint(number)
		response, err := do(pool, address, id)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(response.Body), qt.Equals, "first "+id)
	}
}

// A connection is reused until the server closes it.
func TestConnectionsAreReused(t *testing.T) {
	var opened atomic.Int32
	closed := make(chan bool, 1)
	address := startServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		opened.Add(1)
		for range 2 {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.WriteString(conn, response(request.Header.Get("Id"), "x"))
		}
		conn.Close()
		closed <- true
	})
	pool := pool()
	for _, id := range []string{"1", "2"} {
		_, err := do(pool, address, id)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, opened.Load(), qt.Equals, int32(1))
	<-closed
	_, err := do(pool, address, "3")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, opened.Load(), qt.Equals, int32(2))
}

// Forget closes the idle connections, and the address can be used again.
func TestForget(t *testing.T) {
	ended := make(chan bool, 1)
	address := startServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				ended <- true
				return
			}
			io.WriteString(conn, response(request.Header.Get("Id"), "x"))
		}
	})
	pool := pool()
	_, err := do(pool, address, "1")
	qt.Assert(t, err, qt.IsNil)
	pool.Forget(address)
	<-ended
	pool.Forget("127.0.0.1:1")
	_, err = do(pool, address, "2")
	qt.Assert(t, err, qt.IsNil)
}

func TestUnreachableServerHasNotRunTheRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	listener.Close()
	_, err = do(pool(), listener.Addr().String(), "1")
	qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, verdict.NotRun)
	qt.Assert(t, verdict.FailureOf(err).Code, qt.Equals, verdict.Unreachable)
}

// A request that is cancelled while it waits for a connection has not run, and
// the connection goes to the next request.
func TestCancelWhileWaitingForAConnection(t *testing.T) {
	release := make(chan bool)
	started := make(chan bool, 1)
	address := startServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if request.Header.Get("Id") == "slow" {
				started <- true
				<-release
			}
			io.WriteString(conn, response(request.Header.Get("Id"), "x"))
		}
	})
	pool := pool()
	slow := make(chan error, 1)
	go func() {
		_, err := do(pool, address, "slow")
		slow <- err
	}()
	<-started
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := pool.Do(ctx, exchange.Destination{Address: address, MaxOpen: 1}, func() (*exchange.Request, error) {
		t.Error("the request was built")
		return request("never"), nil
	})
	qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, verdict.NotRun)
	close(release)
	qt.Assert(t, <-slow, qt.IsNil)
	_, err = do(pool, address, "next")
	qt.Assert(t, err, qt.IsNil)
}

// A request that can't be built leaves its connection open for other requests.
func TestFailedBuildKeepsTheConnection(t *testing.T) {
	var opened atomic.Int32
	address := startServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		opened.Add(1)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.WriteString(conn, response(request.Header.Get("Id"), "x"))
		}
	})
	pool := pool()
	failure := verdict.New(verdict.NotRun, verdict.DeadlinePassed, "test")
	_, err := pool.Do(context.Background(), exchange.Destination{Address: address, MaxOpen: 1}, func() (*exchange.Request, error) { return nil, failure })
	qt.Assert(t, err, qt.Equals, error(failure))
	_, err = do(pool, address, "1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, opened.Load(), qt.Equals, int32(1))
}

// A server may respond before it has read a long body. The response is
// accepted, and no other request is sent on that connection.
func TestEarlyResponseToALongRequest(t *testing.T) {
	requests := make(chan string, 4)
	address := startServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		requests <- request.Header.Get("Id")
		if request.ContentLength == 0 {
			io.WriteString(conn, response(request.Header.Get("Id"), "x"))
			return
		}
		io.WriteString(conn, "HTTP/1.1 503 Full\r\nId: long\r\nContent-Length: 0\r\n\r\n")
		rest, _ := io.ReadAll(reader)
		if strings.Contains(string(rest), "HTTP/1.1") {
			t.Error("another request follows in the body")
		}
	})
	pool := pool()
	response, err := pool.Do(context.Background(), exchange.Destination{Address: address, MaxOpen: 1}, func() (*exchange.Request, error) {
		long := request("long")
		long.Method, long.Body = "POST", make([]byte, 16<<20)
		return long, nil
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.Status, qt.Equals, http.StatusServiceUnavailable)
	_, err = do(pool, address, "next")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, []string{<-requests, <-requests}, qt.DeepEquals, []string{"long", "next"})
}
