package caller_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/caller"
	"fescuehall/quota"
)

// Requests that are read and end with a closed connection are reported, others not.
func TestUnansweredRequestsAreReported(t *testing.T) {
	tests := []struct {
		name string
		// chunks are what the caller sends, one after the other.
		chunks  []string
		handler http.HandlerFunc
		want    []bool
	}{
		{name: "answered", chunks: []string{"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"}, handler: func(writer http.ResponseWriter, _ *http.Request) { io.WriteString(writer, "ok") }},
		{name: "refused by the server", chunks: []string{"GET / HTTP/1.1\r\n\r\n"}},
		{name: "head without end", chunks: []string{"GET / HTTP/1.1\r\nHost: x\r\n"}},
		{name: "aborted", chunks: []string{"GET / HTTP/1.1\r\nHost: x\r\n\r\n"}, handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, want: []bool{true}},
		{name: "aborted, in pieces", chunks: []string{"GET / HTTP/1.1\r\nHost: x\r", "\n", "\r", "\n"}, handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, want: []bool{true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			reports := make(chan bool, 10)
			limiter := &caller.Limiter{MaxConns: 10, Memory: &quota.Quota{Bytes: 1 << 20}, Unanswered: func(request caller.Unanswered) { reports <- request.Handled }}
			server := &caller.Server{Limiter: limiter, HTTP: &http.Server{Handler: test.handler}}
			go server.Serve(listener)
			t.Cleanup(func() { server.HTTP.Close() })
			conn := dial(t, listener.Addr().String())
			for _, chunk := range test.chunks {
				_, err := io.WriteString(conn, chunk)
				qt.Assert(t, err, qt.IsNil)
			}
			qt.Assert(t, conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
			// Ends when the server has closed the connection.
			_, err = io.ReadAll(conn)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, limiter.UnansweredCount(), qt.Equals, len(test.want))
			for _, want := range test.want {
				qt.Assert(t, <-reports, qt.Equals, want)
			}
		})
	}
}
