package caller_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/caller"
	"fescuehall/quota"
)

// endedAgain is a connection whose reads are made to fail once more as soon as they are
// allowed again, as by a stop's next check.
type endedAgain struct {
	net.Conn
	armed *atomic.Bool
}

func (endedAgain *endedAgain) SetReadDeadline(deadline time.Time) error {
	err := endedAgain.Conn.SetReadDeadline(deadline)
	if deadline.IsZero() && endedAgain.armed.CompareAndSwap(true, false) {
		return endedAgain.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// SyscallConn implements syscall.Conn.
func (endedAgain *endedAgain) SyscallConn() (syscall.RawConn, error) {
	return endedAgain.Conn.(syscall.Conn).SyscallConn()
}

// endedAgainListener accepts endedAgain connections.
type endedAgainListener struct {
	net.Listener
	armed atomic.Bool
}

func (listener *endedAgainListener) Accept() (net.Conn, error) {
	accepted, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &endedAgain{Conn: accepted, armed: &listener.armed}, nil
}

// Guards against a check of the stop that makes the read of an arrived request fail.
func TestStopReadsWhatHasArrivedBetweenTwoChecks(t *testing.T) {
	ended := &endedAgainListener{Listener: listen(t)}
	held := newHeldListener(ended)
	held.startReads = make(chan bool)
	held.reads = nil
	server := serveHeld(t, held, 10)
	conn := dial(t, held.Addr().String())
	<-held.accepted
	send(t, conn, "/first")
	held.startReads <- true
	held.startReads <- true
	qt.Assert(t, answer(t, conn), qt.Equals, "HTTP/1.1 200 OK")
	<-server.idle
	send(t, conn, "/last")
	for len(held.ended) > 0 {
		<-held.ended
	}
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(t.Context()) }()
	<-held.ended
	ended.armed.Store(true)
	close(held.startReads)
	qt.Assert(t, answer(t, conn), qt.Equals, "HTTP/1.1 200 OK")
	qt.Assert(t, <-stopped, qt.IsNil)
}

// Guards against the rest of a head that is not read after a stop's check came between.
func TestStopReadsTheRestOfAHeadThatItOvertook(t *testing.T) {
	held := newHeldListener(listen(t))
	server := serveHeld(t, held, 10)
	conn := dial(t, held.Addr().String())
	_, err := io.WriteString(conn, "GET /last HTTP/1.1\r\nHost:")
	qt.Assert(t, err, qt.IsNil)
	<-held.reads
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(t.Context()) }()
	<-held.ended
	close(held.letRead)
	_, err = io.WriteString(conn, " x\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer(t, conn), qt.Equals, "HTTP/1.1 200 OK")
	qt.Assert(t, <-stopped, qt.IsNil)
}

// Guards against a stop that closes a kept connection of which half a head was read
// before it began.
func TestStopWaitsForTheRestOfAHeadOnAKeptConnection(t *testing.T) {
	held := newHeldListener(listen(t))
	held.startReads, held.reads = make(chan bool), nil
	server := serveHeld(t, held, 10)
	conn := dial(t, held.Addr().String())
	<-held.accepted
	send(t, conn, "/first")
	held.startReads <- true
	held.startReads <- true
	qt.Assert(t, answer(t, conn), qt.Equals, "HTTP/1.1 200 OK")
	<-server.idle
	_, err := io.WriteString(conn, "GET /last HTTP/1.1\r\nHost:")
	qt.Assert(t, err, qt.IsNil)
	held.startReads <- true
	// The next read begins after this one was recorded.
	held.startReads <- true
	other := dial(t, held.Addr().String())
	send(t, other, "/first")
	qt.Assert(t, answer(t, other), qt.Equals, "HTTP/1.1 200 OK")
	<-server.idle
	close(held.startReads)
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(t.Context()) }()
	// The check that closes this one comes to the other in the same pass.
	_, err = other.Read(make([]byte, 1))
	qt.Assert(t, err, qt.Equals, io.EOF)
	_, err = io.WriteString(conn, " x\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer(t, conn), qt.Equals, "HTTP/1.1 200 OK")
	qt.Assert(t, <-stopped, qt.IsNil)
}

// Guards against the body of a request that is not read, because a stop's check came
// between its head, which was read early, and its handler.
func TestStopReadsTheBodyOfAnEarlyRequest(t *testing.T) {
	held := newHeldListener(listen(t))
	limiter := &caller.Limiter{MaxConns: 10, Memory: &quota.Quota{Bytes: 1 << 20}}
	idle, pass := make(chan bool, 10), make(chan bool)
	bodies := make(chan string, 10)
	server := &caller.Server{Limiter: limiter, HTTP: &http.Server{
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				idle <- true
				<-pass
			}
		},
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/last" {
				writer.Header().Set("Connection", "close")
			}
			body, err := io.ReadAll(request.Body)
			if err != nil {
				body = []byte(err.Error())
			}
			bodies <- string(body)
		}),
	}}
	go server.Serve(held)
	t.Cleanup(func() { server.HTTP.Close() })
	conn := dial(t, held.Addr().String())
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\nPOST /last HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	<-held.reads
	close(held.letRead)
	<-idle
	qt.Assert(t, <-bodies, qt.Equals, "")
	for len(held.ended) > 0 {
		<-held.ended
	}
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(t.Context()) }()
	<-held.ended
	close(pass)
	_, err = io.WriteString(conn, "body")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, <-bodies, qt.Equals, "body")
	conn.Close()
	qt.Assert(t, <-stopped, qt.IsNil)
}
