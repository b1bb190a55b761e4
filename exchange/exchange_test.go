package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/exchange"
	"fescuehall/verdict"
)

// server runs serve on each connection with its number, from 0.
func server(t *testing.T, serve func(number int, conn net.Conn, reader *bufio.Reader)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(number, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
}

// whole returns an answer that echoes an id.
func whole(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string) *exchange.Request {
	return &exchange.Request{Method: "GET", Host: "desk.example", Target: "/x/1?a=%2f", Header: http.Header{"Id": {id}}}
}

func pool() *exchange.Pool {
	return &exchange.Pool{Belongs: func(request *exchange.Request, answer *exchange.Answer) bool {
		return request.Header.Get("Id") == answer.Header.Get("Id")
	}}
}

func do(pool *exchange.Pool, address, id string) (*exchange.Answer, error) {
	return pool.Do(context.Background(), address, 1, func() (*exchange.Request, error) { return request(id), nil })
}

func TestAnswers(t *testing.T) {
	tests := []struct {
		name   string
		answer string
		body   string
		code   verdict.Code
	}{
		{name: "whole", answer: whole("1", "records"), body: "records"},
		{name: "after a late answer to an earlier request", answer: whole("0", "old") + whole("1", "records"), body: "records"},
		{name: "after an interim answer", answer: "HTTP/1.1 100 Continue\r\n\r\n" + whole("1", "records"), body: "records"},
		{name: "in chunks", answer: "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nrec\r\n4\r\nords\r\n0\r\n\r\n", body: "records"},
		{name: "without length, to the end of the connection", answer: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nrecords", body: "records"},
		{name: "only of another request", answer: whole("0", "old"), code: verdict.ConnectionLost},
		{name: "of another request, last on its connection", answer: "HTTP/1.1 200 OK\r\nId: 0\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", code: verdict.ReplyMismatch},
		{name: "cut in the body", answer: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nrec", code: verdict.ConnectionLost},
		{name: "cut in a chunk", answer: "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nrec", code: verdict.ConnectionLost},
		{name: "no HTTP", answer: "hello\r\n\r\n", code: verdict.ConnectionLost},
		{name: "none", answer: "", code: verdict.ConnectionLost},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address := server(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
				if _, err := http.ReadRequest(reader); err == nil {
					io.WriteString(conn, test.answer)
				}
			})
			answer, err := do(pool(), address, "1")
			if test.code != "" {
				qt.Assert(t, verdict.Of(err).Code, qt.Equals, test.code)
				qt.Assert(t, verdict.Of(err).Verdict, qt.Equals, verdict.MayHaveRun)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(answer.Body), qt.Equals, test.body)
		})
	}
}

// A second answer that follows a whole one must not be taken for the next
// request's, whether it is there at once or later.
func TestSecondAnswerIsNotTheNextOnes(t *testing.T) {
	address := server(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id := request.Header.Get("Id")
			io.WriteString(conn, whole(id, "first "+id)+whole(id, "second "+id))
		}
	})
	pool := pool()
	for number := range 20 {
		id := fmt.Sprint(number)
		answer, err := do(pool, address, id)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(answer.Body), qt.Equals, "first "+id)
	}
}

// A connection is used again, but not after the server has closed it.
func TestConnectionsAreKept(t *testing.T) {
	var opened atomic.Int32
	closed := make(chan bool, 1)
	address := server(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		opened.Add(1)
		for range 2 {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.WriteString(conn, whole(request.Header.Get("Id"), "x"))
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

// An address that is forgotten keeps no idle connection.
func TestForget(t *testing.T) {
	ended := make(chan bool, 1)
	address := server(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				ended <- true
				return
			}
			io.WriteString(conn, whole(request.Header.Get("Id"), "x"))
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

func TestUnreachableIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	listener.Close()
	_, err = do(pool(), listener.Addr().String(), "1")
	qt.Assert(t, verdict.Of(err).Verdict, qt.Equals, verdict.NotRun)
	qt.Assert(t, verdict.Of(err).Code, qt.Equals, verdict.Unreachable)
}

// A request that waits for a connection has not run when it is withdrawn, and
// the connection goes to the next one.
func TestWaitingForAConnection(t *testing.T) {
	release := make(chan bool)
	began := make(chan bool, 1)
	address := server(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if request.Header.Get("Id") == "slow" {
				began <- true
				<-release
			}
			io.WriteString(conn, whole(request.Header.Get("Id"), "x"))
		}
	})
	pool := pool()
	slow := make(chan error, 1)
	go func() {
		_, err := do(pool, address, "slow")
		slow <- err
	}()
	<-began
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := pool.Do(ctx, address, 1, func() (*exchange.Request, error) {
		t.Error("the request was made")
		return request("never"), nil
	})
	qt.Assert(t, verdict.Of(err).Verdict, qt.Equals, verdict.NotRun)
	close(release)
	qt.Assert(t, <-slow, qt.IsNil)
	_, err = do(pool, address, "next")
	qt.Assert(t, err, qt.IsNil)
}

// A request that is refused while it is made leaves its connection to others.
func TestRefusedRequestKeepsTheConnection(t *testing.T) {
	var opened atomic.Int32
	address := server(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		opened.Add(1)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.WriteString(conn, whole(request.Header.Get("Id"), "x"))
		}
	})
	pool := pool()
	refusal := verdict.New(verdict.NotRun, verdict.DeadlinePassed, "test")
	_, err := pool.Do(context.Background(), address, 1, func() (*exchange.Request, error) { return nil, refusal })
	qt.Assert(t, err, qt.Equals, error(refusal))
	_, err = do(pool, address, "1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, opened.Load(), qt.Equals, int32(1))
}

// A server may answer before it has read a long body. The answer counts, and
// no other request's bytes follow on that connection.
func TestEarlyAnswerToALongRequest(t *testing.T) {
	requests := make(chan string, 4)
	address := server(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		requests <- request.Header.Get("Id")
		if request.ContentLength == 0 {
			io.WriteString(conn, whole(request.Header.Get("Id"), "x"))
			return
		}
		io.WriteString(conn, "HTTP/1.1 503 Full\r\nId: long\r\nContent-Length: 0\r\n\r\n")
		rest, _ := io.ReadAll(reader)
		if strings.Contains(string(rest), "HTTP/1.1") {
			t.Error("another request follows in the body")
		}
	})
	pool := pool()
	answer, err := pool.Do(context.Background(), address, 1, func() (*exchange.Request, error) {
		long := request("long")
		long.Method, long.Body = "POST", make([]byte, 16<<20)
		return long, nil
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer.Status, qt.Equals, http.StatusServiceUnavailable)
	_, err = do(pool, address, "next")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, []string{<-requests, <-requests}, qt.DeepEquals, []string{"long", "next"})
}
