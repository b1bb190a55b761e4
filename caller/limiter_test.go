package caller_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/caller"
	"fescuehall/quota"
)

// startServer returns the address of a server behind a limiter. A request for
// /wait is answered when release is closed; started receives its path. idle receives a
// value for each connection that has become idle.
func startServer(t *testing.T, limiter *caller.Limiter) (address string, started chan string, release, idle chan bool) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	started, release, idle = make(chan string, 10), make(chan bool), make(chan bool, 100)
	server := &caller.Server{Limiter: limiter, HTTP: &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/wait" {
			started <- request.URL.Path
			<-release
		}
		io.WriteString(writer, "ok")
	}), ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			idle <- true
		}
	}}}
	go server.Serve(listener)
	t.Cleanup(func() { server.HTTP.Close() })
	return listener.Addr().String(), started, release, idle
}

func dial(t *testing.T, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { conn.Close() })
	return conn
}

// send sends a request on an open connection.
func send(t *testing.T, conn net.Conn, path string) {
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path)
	qt.Assert(t, err, qt.IsNil)
}

// answer reads one answer and returns its status line.
func answer(t *testing.T, conn net.Conn) string {
	buf := make([]byte, 1024)
	count, err := conn.Read(buf)
	qt.Assert(t, err, qt.IsNil)
	line, _, _ := strings.Cut(string(buf[:count]), "\r\n")
	return line
}

// A flood of half-open connections takes neither the place of a request in
// progress nor that of an honest caller's idle connection.
func TestHalfOpenConnectionsMakeRoom(t *testing.T) {
	closed := make(chan string, 100)
	limiter := &caller.Limiter{MaxConns: 4, Memory: &quota.Quota{Bytes: 1 << 20}, Closed: func(remote string) { closed <- remote }}
	address, started, release, _ := startServer(t, limiter)
	busy, idle := dial(t, address), dial(t, address)
	send(t, busy, "/wait")
	<-started
	send(t, idle, "/")
	qt.Assert(t, answer(t, idle), qt.Equals, "HTTP/1.1 200 OK")
	for range 20 {
		io.WriteString(dial(t, address), "GET / HT")
	}
	for range 18 {
		qt.Assert(t, <-closed, qt.Not(qt.Equals), idle.LocalAddr().String())
	}
	send(t, idle, "/")
	qt.Assert(t, answer(t, idle), qt.Equals, "HTTP/1.1 200 OK")
	close(release)
	qt.Assert(t, answer(t, busy), qt.Equals, "HTTP/1.1 200 OK")
}

// Without half-open connections, the one that was idle longest makes room.
func TestLongestIdleConnectionMakesRoom(t *testing.T) {
	closed := make(chan string, 100)
	limiter := &caller.Limiter{MaxConns: 2, Memory: &quota.Quota{Bytes: 1 << 20}, Closed: func(remote string) { closed <- remote }}
	address, _, _, idle := startServer(t, limiter)
	first, second := dial(t, address), dial(t, address)
	for _, conn := range []net.Conn{first, second, first} {
		send(t, conn, "/")
		qt.Assert(t, answer(t, conn), qt.Equals, "HTTP/1.1 200 OK")
		<-idle
	}
	third := dial(t, address)
	send(t, third, "/")
	qt.Assert(t, answer(t, third), qt.Equals, "HTTP/1.1 200 OK")
	qt.Assert(t, <-closed, qt.Equals, second.LocalAddr().String())
}

// When every connection has a request in progress, a new one is closed at once.
func TestNewConnectionIsClosedWhenAllAreBusy(t *testing.T) {
	limiter := &caller.Limiter{MaxConns: 1, Memory: &quota.Quota{Bytes: 1 << 20}}
	address, started, release, _ := startServer(t, limiter)
	busy := dial(t, address)
	send(t, busy, "/wait")
	<-started
	_, err := dial(t, address).Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNotNil)
	close(release)
	qt.Assert(t, answer(t, busy), qt.Equals, "HTTP/1.1 200 OK")
}

// Heads that never end take no more memory than the quota, and other callers
// are served all the while.
func TestEndlessHeads(t *testing.T) {
	memory := &quota.Quota{Bytes: 256 << 10}
	limiter := &caller.Limiter{MaxConns: 100, Memory: memory}
	address, _, _, _ := startServer(t, limiter)
	for range 50 {
		conn := dial(t, address)
		io.WriteString(conn, "GET / HTTP/1.1\r\n")
		// The write fails once the connection was closed to make room.
		io.WriteString(conn, strings.Repeat("A: b\r\n", 2000))
		qt.Assert(t, memory.Used() <= memory.Bytes, qt.IsTrue)
	}
	honest := dial(t, address)
	send(t, honest, "/")
	qt.Assert(t, answer(t, honest), qt.Equals, "HTTP/1.1 200 OK")
}

// Guards against a request that is passed on although its connection was closed while
// it was read, to make room for another: it would run, and nobody would get the answer.
func TestRequestOnClosedConnectionIsNotServed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	held := newHeldListener(listener)
	closed := make(chan string, 10)
	limiter := &caller.Limiter{MaxConns: 1, Memory: &quota.Quota{Bytes: 1 << 20}, Closed: func(remote string) { closed <- remote }}
	served := make(chan string, 10)
	server := &caller.Server{Limiter: limiter, HTTP: &http.Server{
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) { served <- request.URL.Path }),
	}}
	go server.Serve(held)
	t.Cleanup(func() { server.HTTP.Close() })
	send(t, dial(t, listener.Addr().String()), "/lost")
	<-held.reads
	dial(t, listener.Addr().String())
	<-closed
	close(held.letRead)
	// The server closes the connection itself when the request has ended.
	<-held.closes
	<-held.closes
	qt.Assert(t, served, qt.HasLen, 0)
}
