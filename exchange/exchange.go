// Package exchange sends requests to backend servers over kept HTTP/1.1
// connections and takes only whole answers that belong to the request. It says
// of each failure whether the request may have run.
//
// net/http's client is not used for it: it sends some requests again by itself,
// and can't tell a late second answer from the one it waits for.
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fescuehall/verdict"
)

const (
	// maxAnswerBytes bounds an answer that is held in memory.
	maxAnswerBytes = 8 << 20
	// maxSkipped bounds the answers to earlier requests that one call reads over.
	maxSkipped = 4
	// atOnce is the size up to which a request is sent before its answer is
	// looked for: less than the smallest send buffer in use.
	atOnce = 8 << 10
	// readBuffer holds an answer of usual size in one read.
	readBuffer = 2 << 10
)

// Request is one request as it is sent.
type Request struct {
	Method string
	Host   string
	// Target is the path and query as the caller sent them.
	Target string
	Header http.Header
	Body   []byte
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends a request to an address and returns the whole answer that belongs
// to it. The request is made once a connection is free, so that it can tell the
// time that is left then. This host has at most the given number of connections
// to the address. Errors are *verdict.Failure. The call ends when ctx does.
func (pool *Pool) Do(ctx context.Context, address string, most int, made func() (*Request, error)) (*Answer, error) {
	conn, err := pool.take(ctx, address, most)
	if err != nil {
		return nil, err
	}
	request, err := made()
	if err != nil {
		pool.put(conn)
		return nil, err
	}
	stop := conn.boundBy(ctx)
	answer, keep, err := pool.exchange(conn, request)
	interrupted := !stop()
	if err != nil {
		pool.drop(conn)
		if ctx.Err() != nil {
			return nil, verdict.New(verdict.Of(err).Verdict, verdict.Cancelled, "%v: %v", context.Cause(ctx), err)
		}
		return nil, err
	}
	if !keep || interrupted {
		pool.drop(conn)
		return answer, nil
	}
	pool.put(conn)
	return answer, nil
}

// exchange sends a request and reads its answer. It reports whether the
// connection can be used again.
func (pool *Pool) exchange(conn *conn, request *Request) (*Answer, bool, error) {
	content := request.encode()
	if len(content) <= atOnce {
		if written, err := conn.Write(content); err != nil {
			return nil, false, unsent(conn, written, err)
		}
		return pool.read(conn, request)
	}
	return pool.overlap(conn, request, content)
}

func unsent(conn *conn, written int, err error) error {
	certainty := verdict.MayHaveRun
	if written == 0 {
		certainty = verdict.NotRun
	}
	return verdict.New(certainty, verdict.ConnectionLost, "send to %s: %v", conn.address, err)
}

// overlap reads while it sends, since a backend server may refuse a long
// request before it has read all of it. The connection can't be used again
// then: what is left of the body would be taken for the next request.
func (pool *Pool) overlap(conn *conn, request *Request, content []byte) (*Answer, bool, error) {
	type sent struct {
		written int
		err     error
	}
	done := make(chan sent, 1)
	go func() {
		written, err := conn.Write(content)
		done <- sent{written, err}
	}()
	answer, keep, err := pool.read(conn, request)
	select {
	case sent := <-done:
		if err != nil && sent.err != nil {
			return nil, false, unsent(conn, sent.written, sent.err)
		}
		return answer, keep && sent.err == nil, err
	default:
	}
	// Closing ends the write. What was not sent by now must not be.
	conn.Close()
	<-done
	return answer, false, err
}

// read reads the answer to a request, past answers to earlier ones.
func (pool *Pool) read(conn *conn, request *Request) (*Answer, bool, error) {
	for range maxSkipped {
		answer, keep, err := conn.read(request.Method)
		if err != nil {
			return nil, false, verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "answer of %s: %v", conn.address, err)
		}
		if answer.Status < http.StatusOK {
			continue
		}
		if pool.Belongs == nil || pool.Belongs(request, answer) {
			return answer, keep && conn.reader.Buffered() == 0, nil
		}
		if !keep {
			break
		}
	}
	return nil, false, verdict.New(verdict.MayHaveRun, verdict.ReplyMismatch, "%s answered another request", conn.address)
}

// encode returns the request's bytes.
func (request *Request) encode() []byte {
	var buffer bytes.Buffer
	buffer.Grow(512 + len(request.Body))
	fmt.Fprintf(&buffer, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.Target, request.Host)
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	// Write refuses only what the buffer refuses, which it never does.
	_ = request.Header.Write(&buffer)
	buffer.WriteString("\r\n")
	buffer.Write(request.Body)
	return buffer.Bytes()
}

// conn is one kept connection.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// idleTo is when the peer may close the connection.
	idleTo time.Time
}

// boundBy ends reads and writes when ctx does. The function it returns takes
// that back and reports whether it was in time.
func (conn *conn) boundBy(ctx context.Context) func() bool {
	deadline, _ := ctx.Deadline()
	// A failure to set the deadline shows in the write that follows.
	_ = conn.SetDeadline(deadline)
	return context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
}

// read reads one whole answer and reports whether the connection stays open.
func (conn *conn) read(method string) (*Answer, bool, error) {
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
	if err != nil {
		return nil, false, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, false, err
	}
	if len(body) > maxAnswerBytes {
		return nil, false, errors.New("answer is too long")
	}
	conn.idleTo = idleTo(response.Header, time.Now())
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: body}, !response.Close, nil
}

// keepAliveMargin is taken off the peer's idle time, for the way there.
const keepAliveMargin = 500 * time.Millisecond

// idleTo returns until when a connection may stay idle, zero for no bound.
func idleTo(header http.Header, now time.Time) time.Time {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return now.Add(time.Duration(seconds)*time.Second - keepAliveMargin)
		}
	}
	return time.Time{}
}
