package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/exchange"
	"fescuehall/quota"
	"fescuehall/verdict"
)

// endlessConn is a connection to a server that answers with a prefix and then
// repeats a block until the connection is closed. It counts the bytes read and
// samples the heap.
type endlessConn struct {
	net.Conn
	prefix string
	block  string

	mu   sync.Mutex
	read int
	// peakHeap is the most live memory seen. It is sampled when sampleAt bytes
	// were read.
	peakHeap uint64
	sampleAt int
	closed   bool
}

// maxEndlessBytes ends a test on code that never stops reading.
const maxEndlessBytes = 256 << 20

func (conn *endlessConn) Read(buf []byte) (int, error) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.closed {
		return 0, net.ErrClosed
	}
	if conn.read >= maxEndlessBytes {
		return 0, io.ErrUnexpectedEOF
	}
	if conn.read >= conn.sampleAt {
		conn.peakHeap = max(conn.peakHeap, liveHeap())
		conn.sampleAt = max(exchange.MaxHeadBytes/2, 2*conn.read)
	}
	count := 0
	for count < len(buf) {
		source := conn.prefix
		position := conn.read + count
		if position >= len(source) {
			source = conn.block
			position = (position - len(conn.prefix)) % len(source)
		}
		count += copy(buf[count:], source[position:])
	}
	conn.read += count
	return count, nil
}

// liveHeap returns the size of the objects that are in use, in bytes.
func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func (conn *endlessConn) Write(buf []byte) (int, error) { return len(buf), nil }
func (conn *endlessConn) SetDeadline(time.Time) error   { return nil }
func (conn *endlessConn) Close() error {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.closed = true
	return nil
}

// A server that never stops sending is cut off at a limit, wherever it does so,
// and the host's heap stays small.
func TestBytesWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	tests := []struct {
		name   string
		prefix string
		block  string
		limit  string
	}{
		{name: "status line", prefix: "HTTP/1.1 200 ", block: "OK", limit: "head"},
		{name: "header line", prefix: head + "X: ", block: "yes", limit: "head"},
		{name: "header lines", prefix: head, block: "X: yes\r\n", limit: "head"},
		{name: "short header lines", prefix: head, block: "a:\n", limit: "head"},
		{name: "continued header line", prefix: head + "X: ", block: "y\r\n ", limit: "head"},
		{name: "not HTTP", prefix: "", block: "garbage ", limit: "head"},
		{name: "zeros", prefix: "", block: "\x00\x00\x00\x00", limit: "head"},
		{name: "interim responses", prefix: "", block: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", limit: "responses"},
		{name: "one interim response", prefix: "HTTP/1.1 103 Early Hints\r\n", block: "Link: x\r\n", limit: "head"},
		{name: "responses to other requests", prefix: "", block: response("0", "old"), limit: "responses"},
		{name: "body without length", prefix: head + "\r\n", block: "records ", limit: "body"},
		{name: "chunks", prefix: head + "Transfer-Encoding: chunked\r\n\r\n", block: "8\r\nrecords \r\n", limit: "body"},
		{name: "one long chunk", prefix: head + "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n", block: "records ", limit: "body"},
		{name: "chunk extension", prefix: head + "Transfer-Encoding: chunked\r\n\r\n1;x=", block: "y", limit: "chunk"},
		{name: "trailers", prefix: head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", block: "X: yes\r\n", limit: "trailer"},
		{name: "declared length", prefix: head + "Content-Length: 9999999999\r\n\r\n", block: "records ", limit: "body"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			conn := &endlessConn{prefix: test.prefix, block: test.block}
			limited := pool()
			limited.Dial = func(context.Context, string) (net.Conn, error) { return conn, nil }
			var reported []string
			limited.Oversized = func(_ string, err *quota.LimitError) { reported = append(reported, err.What) }
			before := liveHeap()
			_, err := limited.Do(context.Background(), exchange.Destination{Address: "server", MaxOpen: 1}, func() (*exchange.Request, error) {
				limitedRequest := request("1")
				limitedRequest.MaxBodyBytes = 64 << 10
				return limitedRequest, nil
			})
			failure := verdict.FailureOf(err)
			qt.Assert(t, failure.Verdict, qt.Equals, verdict.MayHaveRun)
			const maxRead = 128 << 10
			qt.Assert(t, conn.read <= maxRead, qt.IsTrue, qt.Commentf("%d bytes were read", conn.read))
			const maxHeap = 4 << 20
			qt.Assert(t, conn.peakHeap < before+maxHeap, qt.IsTrue, qt.Commentf("heap grew from %d to %d bytes", before, conn.peakHeap))
			qt.Assert(t, conn.closed, qt.IsTrue)
			switch test.limit {
			case "head", "body":
				qt.Assert(t, failure.Code, qt.Equals, verdict.ReplyTooLarge)
				qt.Assert(t, reported, qt.DeepEquals, []string{test.limit})
			case "responses":
				qt.Assert(t, failure.Code, qt.Equals, verdict.ReplyMismatch)
			default:
				qt.Assert(t, failure.Code, qt.Equals, verdict.ConnectionLost)
			}
		})
	}
}

// A response at its limits is accepted, one byte more is not.
func TestLimitsAreExact(t *testing.T) {
	headLength := func(padding int) string {
		return "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\nX: " + strings.Repeat("y", padding) + "\r\n\r\n"
	}
	padding := exchange.MaxHeadBytes - len(headLength(0))
	tests := []struct {
		name     string
		response string
		code     verdict.Code
	}{
		{name: "longest head", response: headLength(padding) + "b"},
		{name: "head too long", response: headLength(padding+1) + "b", code: verdict.ReplyTooLarge},
		{name: "longest body", response: response("1", strings.Repeat("b", 1000))},
		{name: "body too long", response: response("1", strings.Repeat("b", 1001)), code: verdict.ReplyTooLarge},
		{name: "longest body without length", response: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n" + strings.Repeat("b", 1000)},
		{name: "body without length too long", response: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n" + strings.Repeat("b", 1001), code: verdict.ReplyTooLarge},
		{name: "shorter than its declared length", response: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 900\r\n\r\n" + strings.Repeat("b", 899), code: verdict.ConnectionLost},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			limited := pool()
			limited.Dial = func(context.Context, string) (net.Conn, error) {
				client, server := net.Pipe()
				go func() {
					defer server.Close()
					buffer := make([]byte, 4096)
					server.Read(buffer)
					io.WriteString(server, test.response)
				}()
				return client, nil
			}
			_, err := limited.Do(context.Background(), exchange.Destination{Address: "server", MaxOpen: 1}, func() (*exchange.Request, error) {
				limitedRequest := request("1")
				limitedRequest.MaxBodyBytes = 1000
				return limitedRequest, nil
			})
			if test.code == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, verdict.FailureOf(err).Code, qt.Equals, test.code, qt.Commentf("%v", err))
		})
	}
}

// Many servers that send long bodies at once take no more memory together than
// the quota allows; the requests beyond it fail at once, and all memory is free
// afterwards.
func TestBodiesShareAQuota(t *testing.T) {
	const bodies, bodyBytes = 20, 1 << 20
	shared := &quota.Quota{Bytes: 4 << 20}
	release := make(chan bool)
	results := make(chan error, bodies)
	limited := pool()
	limited.Dial = func(context.Context, string) (net.Conn, error) {
		return &endlessConn{prefix: fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: %d\r\n\r\n", bodyBytes), block: "records "}, nil
	}
	var group sync.WaitGroup
	for number := range bodies {
		group.Go(func() {
			reservation := shared.NewReservation()
			defer reservation.Release()
			_, err := limited.Do(context.Background(), exchange.Destination{Address: fmt.Sprint("server ", number), MaxOpen: 1}, func() (*exchange.Request, error) {
				limitedRequest := request("1")
				limitedRequest.MaxBodyBytes = 8 << 20
				limitedRequest.Memory = reservation
				return limitedRequest, nil
			})
			results <- err
			<-release
		})
	}
	succeeded := 0
	for range bodies {
		err := <-results
		if err == nil {
			succeeded++
			continue
		}
		qt.Check(t, verdict.FailureOf(err).Code, qt.Equals, verdict.MemoryExhausted)
		qt.Check(t, verdict.FailureOf(err).Verdict, qt.Equals, verdict.MayHaveRun)
	}
	qt.Assert(t, succeeded, qt.Equals, 3)
	qt.Assert(t, shared.Used() <= shared.Bytes, qt.IsTrue)
	close(release)
	group.Wait()
	qt.Assert(t, shared.Used(), qt.Equals, int64(0))
}

// A response that arrives after its request was answered by another one is
// complete, and its connection is kept.
func TestResponseAfterTheRequestHasEnded(t *testing.T) {
	shared := &quota.Quota{Bytes: 1 << 20}
	received, release := make(chan bool, 1), make(chan bool)
	var opened atomic.Int32
	address := startServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		opened.Add(1)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			received <- true
			<-release
			io.WriteString(conn, response(request.Header.Get("Id"), "x"))
		}
	})
	pool := pool()
	reservation := shared.NewReservation()
	ended := make(chan error, 1)
	go func() {
		_, err := pool.Do(context.Background(), exchange.Destination{Address: address, MaxOpen: 1}, func() (*exchange.Request, error) {
			loser := request("1")
			loser.Memory = reservation
			return loser, nil
		})
		ended <- err
	}()
	<-received
	reservation.Release()
	close(release)
	qt.Assert(t, <-ended, qt.IsNil)
	qt.Assert(t, shared.Used(), qt.Equals, int64(0))
	_, err := do(pool, address, "2")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, opened.Load(), qt.Equals, int32(1))
}

// FuzzResponse checks that no response makes the pool read more than its limits
// allow, nor return a body that is longer than the request allows.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		response("1", "records"), response("0", "old") + response("1", "x"), "HTTP/1.1 100 Continue\r\n\r\n" + response("1", ""),
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nrec\r\n0\r\nX: y\r\n\r\n", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nrest",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "\x00\xff", "HTTP/9.9 999 \r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		// Sampling the heap would take most of the time.
		conn := &endlessConn{prefix: string(raw), block: "x", sampleAt: maxEndlessBytes + 1}
		limited := pool()
		limited.Dial = func(context.Context, string) (net.Conn, error) { return conn, nil }
		response, err := limited.Do(context.Background(), exchange.Destination{Address: "server", MaxOpen: 1}, func() (*exchange.Request, error) {
			limitedRequest := request("1")
			limitedRequest.MaxBodyBytes = 512
			return limitedRequest, nil
		})
		const maxReadPerResponse = exchange.MaxHeadBytes + 16<<10
		if conn.read > len(raw)+4*maxReadPerResponse {
			t.Errorf("%d bytes were read", conn.read)
		}
		if err == nil && (len(response.Body) > 512 || response.Header.Get("Id") != "1" || response.Status < http.StatusOK) {
			t.Errorf("response of %d bytes with status %d was accepted", len(response.Body), response.Status)
		}
	})
}
