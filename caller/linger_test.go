package caller_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/caller"
	"fescuehall/quota"
)

// Guards against an answer that a reset cuts, because its connection is closed while
// bytes that the caller sent early are unread.
func TestAnswerBeforeEarlyRequestArrives(t *testing.T) {
	const bodyBytes = 300_000
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	limiter := &caller.Limiter{MaxConns: 10, Memory: &quota.Quota{Bytes: 1 << 20}}
	started, release, closed := make(chan bool), make(chan bool), make(chan bool, 1)
	server := &caller.Server{Limiter: limiter, HTTP: &http.Server{
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				closed <- true
			}
		},
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			started <- true
			<-release
			writer.Header().Set("Connection", "close")
			writer.Write(make([]byte, bodyBytes))
		}),
	}}
	go server.Serve(listener)
	t.Cleanup(func() { server.HTTP.Close() })
	conn := dial(t, listener.Addr().String())
	qt.Assert(t, conn.(*net.TCPConn).SetReadBuffer(16<<10), qt.IsNil)
	send(t, conn, "/first")
	<-started
	send(t, conn, "/early")
	close(release)
	<-closed
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	got, err := io.Copy(io.Discard, response.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, int64(bodyBytes))
	conn.Close()
	// A stop waits for such connections.
	qt.Assert(t, server.Shutdown(t.Context()), qt.IsNil)
}

// Guards against a connection that lingers and makes room although it needs none: the
// HTTP server may still wait for bytes on it, and the end of the caller's would close
// the connections of other callers.
func TestLingeringConnectionClosesNoOther(t *testing.T) {
	const callers = 50
	listener := listen(t)
	closed := make(chan string, callers)
	server := &caller.Server{
		Limiter: &caller.Limiter{MaxConns: 10 * callers, Memory: &quota.Quota{Bytes: 1 << 20}, Closed: func(remote string) { closed <- remote }},
		HTTP: &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.Method == http.MethodPost {
				writer.Header().Set("Connection", "close")
			}
		})},
	}
	go server.Serve(listener)
	t.Cleanup(func() { server.HTTP.Close() })
	idle := dial(t, listener.Addr().String())
	for range callers {
		conn := dial(t, listener.Addr().String())
		_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, answer(t, conn), qt.Equals, "HTTP/1.1 200 OK")
		qt.Assert(t, conn.Close(), qt.IsNil)
		send(t, idle, "/")
		qt.Assert(t, answer(t, idle), qt.Equals, "HTTP/1.1 200 OK")
	}
	qt.Assert(t, server.Shutdown(t.Context()), qt.IsNil)
	qt.Assert(t, closed, qt.HasLen, 0)
}
