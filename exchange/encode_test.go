package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fescuehall/exchange"
)

// writtenConn keeps what is written and answers nothing.
type writtenConn struct {
	textConn
	written strings.Builder
}

func (conn *writtenConn) Write(buf []byte) (int, error) { return conn.written.Write(buf) }

// sentRequest sends a request and returns it as a server reads it.
func sentRequest(request *exchange.Request) (*http.Request, error) {
	conn := &writtenConn{textConn: *newTextConn("", false)}
	pool := &exchange.Pool{Dial: func(context.Context, string) (net.Conn, error) { return conn, nil }}
	// There is no response.
	_, _ = pool.Do(context.Background(), exchange.Destination{Address: "server", MaxOpen: 1}, func() (*exchange.Request, error) { return request, nil })
	return http.ReadRequest(bufio.NewReader(strings.NewReader(conn.written.String())))
}

// A server reads a variant of a template as the same request with the fields in
// its header, whichever fields the previous variant replaced.
func TestTemplate(t *testing.T) {
	names := rapid.SampledFrom([]string{"A", "B-C", "X-Deadline", "X-Expect"})
	values := rapid.StringMatching("[ a-z\r\n]{0,5}")
	rapid.Check(t, func(r *rapid.T) {
		header := http.Header(rapid.MapOf(names, rapid.SliceOfN(values, 1, 2)).Draw(r, "header"))
		request := exchange.Request{Method: rapid.SampledFrom([]string{"GET", "POST"}).Draw(r, "method"), Host: "h", Target: "/a?b", Header: header, Body: []byte(rapid.StringN(0, 9, 9).Draw(r, "body"))}
		template := &exchange.Template{Request: &request}
		for range 3 {
			plain := request
			plain.Header = header.Clone()
			var fields []exchange.Field
			for name, value := range rapid.MapOf(names, values).Draw(r, "fields") {
				fields = append(fields, exchange.Field{Name: name, Value: value})
				plain.Header[name] = []string{value}
			}
			want, err := sentRequest(&plain)
			qt.Assert(t, err, qt.IsNil)
			got, err := sentRequest(template.With(fields...))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got.Header, qt.DeepEquals, want.Header)
			qt.Assert(t, got.Method+got.Host+got.RequestURI, qt.Equals, want.Method+want.Host+want.RequestURI)
			gotBody, err := io.ReadAll(got.Body)
			qt.Assert(t, err, qt.IsNil)
			wantBody, err := io.ReadAll(want.Body)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(gotBody), qt.Equals, string(wantBody))
		}
	})
}
