package exchange_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/verdict"
)

// Guards against a failure that is taken for a success because its head follows a part
// of an extra response on the same connection.
func TestResponseAfterAPartOfAnotherOne(t *testing.T) {
	const extra = "HTTP/1.1 200 OK\r\nDate: now\r\nX: y\r\n  z\r\nId: 1\r\nContent-Length: 3\r\n\r\none"
	for length := range len(extra) + 1 {
		address := startServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			io.WriteString(conn, response("1", "one"))
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			io.WriteString(conn, extra[:length]+"HTTP/1.1 500 Failed\r\nId: 2\r\nContent-Length: 3\r\n\r\ntwo")
		})
		pool, comment := pool(), qt.Commentf("after %q", extra[:length])
		_, err := do(pool, address, "1")
		qt.Assert(t, err, qt.IsNil)
		got, err := do(pool, address, "2")
		if err != nil {
			qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, verdict.MayHaveRun, comment)
			continue
		}
		qt.Assert(t, got.Status, qt.Equals, http.StatusInternalServerError, comment)
		qt.Assert(t, string(got.Body), qt.Equals, "two", comment)
		qt.Assert(t, got.Header, qt.DeepEquals, http.Header{"Id": {"2"}, "Content-Length": {"3"}}, comment)
	}
}
