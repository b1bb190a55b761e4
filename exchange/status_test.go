package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/exchange"
	"fescuehall/verdict"
)

// Guards against a response with a status that HTTP does not have, such as 000, that is
// taken for an answer or for an interim response, after which the request waits in vain.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		for _, end := range []string{"Content-Length: 3\r\n\r\none", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "\r\n"} {
			t.Run(fmt.Sprintf("%s %.1s", status, end), func(t *testing.T) {
				var conns atomic.Int64
				address := startServer(t, func(number int, conn net.Conn, reader *bufio.Reader) {
					conns.Add(1)
					for {
						if _, err := http.ReadRequest(reader); err != nil {
							return
						}
						if number > 0 {
							io.WriteString(conn, response("2", "two"))
							continue
						}
						io.WriteString(conn, "HTTP/1.1 "+status+" Strange\r\nId: 1\r\n"+end)
					}
				})
				pool := pool()
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				_, err := pool.Do(ctx, exchange.Destination{Address: address, MaxOpen: 1}, func() (*exchange.Request, error) { return request("1"), nil })
				qt.Assert(t, err, qt.IsNotNil)
				qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, verdict.MayHaveRun)
				qt.Assert(t, verdict.FailureOf(err).Code, qt.Equals, verdict.ReplyMismatch, qt.Commentf("%v", err))
				got, err := do(pool, address, "2")
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, string(got.Body), qt.Equals, "two")
				qt.Assert(t, conns.Load(), qt.Equals, int64(2))
			})
		}
	}
}
