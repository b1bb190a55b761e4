package caller_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/caller"
	"fescuehall/quota"
)

// heldServer is a server with a heldListener.
type heldServer struct {
	*caller.Server
	// idle receives a value for each connection that has become idle, closed the
	// remote address of each one that is closed to make room.
	idle   chan bool
	closed chan string
}

// serveHeld starts a server that answers each request with its path and closes the
// connection after those for /last.
func serveHeld(t *testing.T, held *heldListener, maxConns int) *heldServer {
	server := &heldServer{idle: make(chan bool, 10), closed: make(chan string, 10)}
	server.Server = &caller.Server{
		Limiter: &caller.Limiter{MaxConns: maxConns, Memory: &quota.Quota{Bytes: 1 << 20}, Closed: func(remote string) { server.closed <- remote }},
		HTTP: &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/last" {
				writer.Header().Set("Connection", "close")
			}
			io.WriteString(writer, request.URL.Path)
		}), ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				server.idle <- true
			}
		}},
	}
	go server.Serve(held)
	t.Cleanup(func() { server.HTTP.Close() })
	return server
}

func listen(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	return listener
}

// Guards against a stop that closes a connection as idle although a request has
// arrived on it: its caller would get no answer.
func TestStopAnswersRequestsThatHaveArrived(t *testing.T) {
	tests := []struct {
		name string
		// answered sends a request first, so that the connection is idle and not new.
		answered bool
		// unread leaves the request in the connection until the stop has begun.
		unread bool
	}{
		{name: "read on an idle connection", answered: true},
		{name: "not read yet on an idle connection", answered: true, unread: true},
		{name: "read on a new connection"},
		{name: "not read yet on a new connection", unread: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			held := newHeldListener(listen(t))
			if test.unread {
				held.startReads = make(chan bool)
				held.reads = nil
			}
			server := serveHeld(t, held, 10)
			conn := dial(t, held.Addr().String())
			<-held.accepted
			pass := func() {
				if test.unread {
					held.startReads <- true
					return
				}
				<-held.reads
				held.letRead <- true
			}
			if test.answered {
				send(t, conn, "/first")
				pass()
				if test.unread {
					// The read for the end of the connection during the handler.
					held.startReads <- true
				}
				qt.Assert(t, answer(t, conn), qt.Equals, "HTTP/1.1 200 OK")
				<-server.idle
			}
			send(t, conn, "/last")
			if !test.unread {
				<-held.reads
			}
			for len(held.ended) > 0 {
				<-held.ended
			}
			stopped := make(chan error, 1)
			go func() { stopped <- server.Shutdown(t.Context()) }()
			<-held.ended
			if test.unread {
				close(held.startReads)
			} else {
				close(held.letRead)
			}
			qt.Assert(t, answer(t, conn), qt.Equals, "HTTP/1.1 200 OK")
			qt.Assert(t, <-stopped, qt.IsNil)
			qt.Assert(t, server.Limiter.UnansweredCount(), qt.Equals, 0)
		})
	}
}

// Guards against a request whose head arrives in parts around a stop and is dropped.
func TestStopWaitsForTheRestOfARequest(t *testing.T) {
	held := newHeldListener(listen(t))
	server := serveHeld(t, held, 10)
	conn := dial(t, held.Addr().String())
	_, err := io.WriteString(conn, "GET /last HTTP/1.1\r\nHost:")
	qt.Assert(t, err, qt.IsNil)
	<-held.reads
	close(held.letRead)
	idle := dial(t, held.Addr().String())
	send(t, idle, "/first")
	qt.Assert(t, answer(t, idle), qt.Equals, "HTTP/1.1 200 OK")
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(t.Context()) }()
	// The idle connection ends.
	_, err = idle.Read(make([]byte, 1))
	qt.Assert(t, err, qt.Equals, io.EOF)
	_, err = io.WriteString(conn, " x\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer(t, conn), qt.Equals, "HTTP/1.1 200 OK")
	qt.Assert(t, <-stopped, qt.IsNil)
}

// A stop that can't wait any longer reports the requests that it cuts.
func TestStopReportsWhatItCuts(t *testing.T) {
	held := newHeldListener(listen(t))
	server := serveHeld(t, held, 10)
	held.writes, held.letWrite = make(chan bool, 1), make(chan bool)
	defer close(held.letWrite)
	conn := dial(t, held.Addr().String())
	send(t, conn, "/last")
	<-held.reads
	held.letRead <- true
	<-held.writes
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	qt.Assert(t, server.Shutdown(ctx), qt.ErrorIs, context.Canceled)
	qt.Assert(t, server.Limiter.UnansweredCount(), qt.Equals, 1)
}

// Guards against a connection that is closed to make room before its answer is
// written, as its handler has returned: the request ran, and its caller got no answer.
func TestAnswerBeingWrittenKeepsItsConnection(t *testing.T) {
	held := newHeldListener(listen(t))
	held.writes, held.letWrite = make(chan bool, 1), make(chan bool)
	server := serveHeld(t, held, 1)
	conn := dial(t, held.Addr().String())
	send(t, conn, "/")
	<-held.reads
	held.letRead <- true
	<-held.writes
	// There is no room for another connection until the answer is written.
	refused := dial(t, held.Addr().String())
	qt.Assert(t, <-server.closed, qt.Equals, refused.LocalAddr().String())
	held.letWrite <- true
	qt.Assert(t, answer(t, conn), qt.Equals, "HTTP/1.1 200 OK")
}
