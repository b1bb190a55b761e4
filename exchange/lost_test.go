package exchange_test

import (
	"bufio"
	"context"
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

// A server that loses the answer at any step of a request leaves a verdict that
// agrees with whether it ran the request, and the pool sends nothing twice.
func TestLostAnswerAtEachStep(t *testing.T) {
	tests := []struct {
		name string
		// serve handles a connection and reports whether it ran the request.
		serve func(conn net.Conn, reader *bufio.Reader) (ran bool)
		body  int
	}{
		{name: "closed before the request is read", serve: func(net.Conn, *bufio.Reader) bool { return false }},
		{name: "closed within the head", serve: func(_ net.Conn, reader *bufio.Reader) bool {
			reader.ReadByte()
			return false
		}},
		{name: "closed after the request was run", serve: func(_ net.Conn, reader *bufio.Reader) bool {
			http.ReadRequest(reader)
			return true
		}},
		{name: "closed within the status line", serve: answerPart("HTTP/1.1 20")},
		{name: "closed within the header", serve: answerPart("HTTP/1.1 200 OK\r\nId: 1\r\nCont")},
		{name: "closed within the body", serve: answerPart("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 7\r\n\r\nrec")},
		{name: "closed within a long request", body: 4 << 20, serve: func(_ net.Conn, reader *bufio.Reader) bool {
			io.CopyN(io.Discard, reader, 100_000)
			return false
		}},
		{name: "answered for another request, then closed", serve: answerPart("HTTP/1.1 421 Misdirected\r\nId: 0\r\nContent-Length: 0\r\n\r\n")},
	}
	for _, test := range tests {
		for _, reused := range []bool{false, true} {
			name := test.name
			if reused {
				name += ", on a connection in use"
			}
			t.Run(name, func(t *testing.T) {
				served := make(chan bool, 10)
				var opened atomic.Int32
				address := startServer(t, func(number int, conn net.Conn, reader *bufio.Reader) {
					opened.Add(1)
					if reused && number == 0 {
						if _, err := http.ReadRequest(reader); err == nil {
							io.WriteString(conn, response("warm-up", "x"))
						}
					}
					served <- test.serve(conn, reader)
				})
				pool := pool()
				if reused {
					_, err := do(pool, address, "warm-up")
					qt.Assert(t, err, qt.IsNil)
				}
				_, err := pool.Do(context.Background(), exchange.Destination{Address: address, MaxOpen: 1}, func() (*exchange.Request, error) {
					sent := request("1")
					if test.body > 0 {
						sent.Method, sent.Body = http.MethodPost, []byte(strings.Repeat("b", test.body))
					}
					return sent, nil
				})
				qt.Assert(t, err, qt.IsNotNil)
				runs := 0
				for range opened.Load() {
					if <-served {
						runs++
					}
				}
				qt.Assert(t, runs <= 1, qt.IsTrue)
				if runs > 0 {
					qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, verdict.MayHaveRun)
				}
			})
		}
	}
}

// answerPart returns a handler that runs the request, sends a part of an answer
// and closes the connection.
func answerPart(part string) func(net.Conn, *bufio.Reader) bool {
	return func(conn net.Conn, reader *bufio.Reader) bool {
		http.ReadRequest(reader)
		io.WriteString(conn, part)
		return true
	}
}
