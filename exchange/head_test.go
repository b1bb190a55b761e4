package exchange_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/exchange"
	"fescuehall/verdict"
)

// textConn is a connection on which a text arrives, all at once or byte by byte.
type textConn struct {
	net.Conn
	read func([]byte) (int, error)
}

func newTextConn(text string, byByte bool) *textConn {
	reader := strings.NewReader(text)
	if byByte {
		return &textConn{read: iotest.OneByteReader(reader).Read}
	}
	return &textConn{read: reader.Read}
}

func (conn *textConn) Read(buf []byte) (int, error) { return conn.read(buf) }
func (*textConn) Write(buf []byte) (int, error)     { return len(buf), nil }
func (*textConn) SetDeadline(time.Time) error       { return nil }
func (*textConn) Close() error                      { return nil }

// exchangeText sends a request to which a text is the response.
func exchangeText(method, text string, byByte bool) (*exchange.Response, verdict.Failure) {
	textPool := &exchange.Pool{Dial: func(context.Context, string) (net.Conn, error) { return newTextConn(text, byByte), nil }}
	response, err := textPool.Do(context.Background(), exchange.Destination{Address: "server", MaxOpen: 1}, func() (*exchange.Request, error) {
		return &exchange.Request{Method: method, Target: "/", MaxBodyBytes: 512}, nil
	})
	if err != nil {
		failure := verdict.FailureOf(err)
		return nil, verdict.Failure{Verdict: failure.Verdict, Code: failure.Code}
	}
	return response, verdict.Failure{}
}

// textSeeds are responses whose heads are plain, nearly plain or not.
var textSeeds = []string{
	"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 200\r\ncontent-length:3 \r\nx_y-Z:\t a b\t\r\n\r\nabcd", "HTTP/1.1 503 \r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\nContent-Length: 1\n\na", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 1\r\n\r\na", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na",
	"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\n1\r\na\r\n0\r\nT: u\r\n\r\n",
	"HTTP/1.1 204 No Content\r\nContent-Length: 1\r\n\r\na", "HTTP/1.1 304 Not Modified\r\nContent-Length: 1\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
	"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\na", "HTTP/1.1 200 OK\r\n\r\nto the end", "HTTP/1.1 200 OK\r\nContent-Length: +1\r\n\r\na", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 513\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "HTTP/1.1 200 OK\r\nA: HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
	"HTTP/1.1 200 HTTP/1.0 503\r\nContent-Length: 1\r\n\r\na", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\na", "HTTP/1.1 200 OK\r\nConnection: Keep-Alive\r\nKeep-Alive: timeout=5\r\nContent-Length: 1\r\n\r\na",
	"HTTP/1.1 200 OK\r\nPragma: no-cache\r\nContent-Length: 1\r\n\r\na", "HTTP/1.1 200 OK\r\nTrailer: A\r\nContent-Length: 1\r\n\r\na", "HTTP/1.1 200 OK\r\nA : b\r\nContent-Length: 1\r\n\r\na", "HTTP/1.1 200 OK\r\n: b\r\nContent-Length: 1\r\n\r\na",
	"HTTP/1.1 200 OK\r\nA: \x01\r\nContent-Length: 1\r\n\r\na", "HTTP/1.1 200 OK\r\nA: \xff\r\nContent-Length: 1\r\n\r\na", "HTTP/1.1 200 OK\r\nA: b\rc\r\nContent-Length: 1\r\n\r\na", "HTTP/1.1 2x0 OK\r\nContent-Length: 1\r\n\r\na",
	"HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\na", "HTTP/1.1 200 O\x00K\r\nContent-Length: 1\r\n\r\na", "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", 3000) + "\r\nContent-Length: 1\r\n\r\na", "HTTP/1.1 2000\r\nContent-Length: 1\r\n\r\na",
}

// FuzzPlainHead checks that a response means the same whether its head is in
// the buffer, and perhaps plain, or arrives byte by byte, when net/http reads it.
func FuzzPlainHead(f *testing.F) {
	for _, seed := range textSeeds {
		f.Add("GET", seed)
		f.Add("HEAD", seed)
	}
	f.Fuzz(func(t *testing.T, method, text string) {
		want, wantFailure := exchangeText(method, text, true)
		got, failure := exchangeText(method, text, false)
		qt.Assert(t, failure, qt.DeepEquals, wantFailure)
		qt.Assert(t, got, qt.DeepEquals, want)
	})
}
