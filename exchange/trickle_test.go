package exchange_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/exchange"
	"fescuehall/verdict"
)

// A server that sends one byte a second does not hold a request beyond its
// deadline, wherever in the response it does so, and loses its connection.
func TestOneByteASecond(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	tests := []struct {
		name   string
		prefix string
		rest   string
	}{
		{name: "status line", rest: head},
		{name: "header", prefix: head, rest: "X: a long value\r\n\r\n"},
		{name: "body", prefix: head + "Content-Length: 100\r\n\r\n", rest: "a body that takes long"},
		{name: "body without length", prefix: head + "\r\n", rest: "a body that takes long"},
		{name: "chunk length", prefix: head + "Transfer-Encoding: chunked\r\n\r\n", rest: "000000000000000a\r\n"},
		{name: "chunk", prefix: head + "Transfer-Encoding: chunked\r\n\r\n100\r\n", rest: "a body that takes long"},
		{name: "trailer", prefix: head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", rest: "X: a long value\r\n\r\n"},
		{name: "interim response", rest: "HTTP/1.1 103 Early Hints\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				cut := make(chan bool, 1)
				go func() {
					_, _ = http.ReadRequest(bufio.NewReader(far))
					_, err := far.Write([]byte(test.prefix))
					for _, char := range []byte(test.rest) {
						time.Sleep(time.Second)
						if err == nil {
							_, err = far.Write([]byte{char})
						}
					}
					cut <- err != nil
				}()
				limited := pool()
				limited.Dial = func(context.Context, string) (net.Conn, error) { return near, nil }
				const timeout = 5 * time.Second
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				start := time.Now()
				_, err := limited.Do(ctx, exchange.Destination{Address: "server", MaxOpen: 1}, func() (*exchange.Request, error) { return request("1"), nil })
				qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, verdict.MayHaveRun)
				qt.Assert(t, time.Since(start), qt.Equals, timeout)
				qt.Assert(t, <-cut, qt.IsTrue)
			})
		})
	}
}
