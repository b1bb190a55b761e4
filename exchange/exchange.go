// Package exchange sends requests to backend servers over persistent HTTP/1.1
// connections and accepts only complete responses that belong to the request.
// Each failure says whether the request may have run.
//
// The client of net/http is not used, since it retries some requests by itself
// and can't tell a late second response from the one that it waits for.
package exchange

import (
	"context"
	"errors"
	"net/http"
	"time"

	"fescuehall/quota"
	"fescuehall/verdict"
)

const (
	// maxResponses limits how many responses are read for one request, counting
	// interim ones and those to earlier requests.
	maxResponses = 4
	// maxSequentialBytes is the size up to which a request is sent before its
	// response is read. It is less than the smallest send buffer in use, so
	// that the write does not wait for the server.
	maxSequentialBytes = 8 << 10
)

// Request is an HTTP request as it is sent.
type Request struct {
	Method string
	Host   string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Header http.Header
	Body   []byte
	// MaxBodyBytes limits the response's body; 0 means DefaultMaxBodyBytes.
	MaxBodyBytes int
	// Memory is where the bytes of the response are reserved; nil reserves none.
	Memory *quota.Reservation

	// template is the template of which this is a variant, nil if it is none, and
	// replaced the fields in which it differs.
	template *Template
	replaced []Field
}

// Response is a complete HTTP response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Destination is where a request is sent, and how urgent it is compared with
// others that wait for a connection there.
type Destination struct {
	Address string
	// MaxOpen is the maximum number of connections to the address.
	MaxOpen int
	// Rank is the request's priority; 0 is the most urgent.
	Rank int
	// Workspace is the workspace that the request belongs to, empty if it has none.
	// Those of a rank take turns.
	Workspace string
	// Due is when the response is due, the zero time if there is no such limit.
	Due time.Time
}

// Do sends a request to a destination and returns the complete response that
// belongs to it. It calls build once a connection is available, so that the
// request can carry the time remaining then. Errors are *verdict.Failure, or
// those that build returns. Do returns when ctx ends.
func (pool *Pool) Do(ctx context.Context, destination Destination, build func() (*Request, error)) (*Response, error) {
	conn, err := pool.get(ctx, destination)
	if err != nil {
		return nil, err
	}
	request, err := build()
	if err != nil {
		pool.put(conn)
		return nil, err
	}
	// The response may arrive after the one that answers the caller's request.
	if !request.Memory.Hold() {
		pool.put(conn)
		return nil, verdict.New(verdict.NotRun, verdict.Cancelled, "the request to %s has ended", destination.Address)
	}
	defer request.Memory.Release()
	sentAt := time.Now()
	stop := conn.bindTo(ctx)
	response, reusable, err := pool.roundTrip(conn, request)
	interrupted := !stop()
	if err != nil {
		pool.discard(conn)
		if ctx.Err() != nil {
			return nil, verdict.New(verdict.FailureOf(err).Verdict, verdict.Cancelled, "%v: %v", context.Cause(ctx), err)
		}
		return nil, err
	}
	pool.recordResponse(destination.Address, time.Since(sentAt))
	if !reusable || interrupted {
		pool.discard(conn)
		return response, nil
	}
	pool.put(conn)
	return response, nil
}

// roundTrip sends a request and reads its response. It reports whether the
// connection can be reused.
func (pool *Pool) roundTrip(conn *conn, request *Request) (*Response, bool, error) {
	encoded := request.encode()
	if len(encoded) <= maxSequentialBytes {
		if written, err := conn.Write(encoded); err != nil {
			return nil, false, writeFailure(conn, written, err)
		}
		return pool.read(conn, request)
	}
	return pool.readWhileWriting(conn, request, encoded)
}

// writeFailure returns the failure of a write of which the given number of
// bytes was sent. The request has not run when that is 0.
func writeFailure(conn *conn, written int, err error) error {
	runVerdict := verdict.MayHaveRun
	if written == 0 {
		runVerdict = verdict.NotRun
	}
	return verdict.New(runVerdict, verdict.ConnectionLost, "send request to %s: %v", conn.address, err)
}

// readWhileWriting reads the response during the write, since a backend server
// may refuse a long request before it has read all of it. The connection can't
// be reused then: the server would take the rest of the body for the next
// request.
func (pool *Pool) readWhileWriting(conn *conn, request *Request, encoded []byte) (*Response, bool, error) {
	type writeResult struct {
		written int
		err     error
	}
	done := make(chan writeResult, 1)
	go func() {
		written, err := conn.Write(encoded)
		done <- writeResult{written, err}
	}()
	response, reusable, err := pool.read(conn, request)
	select {
	case write := <-done:
		if err != nil && write.err != nil {
			return nil, false, writeFailure(conn, write.written, write.err)
		}
		return response, reusable && write.err == nil, err
	default:
	}
	// Closing ends the write, so that the rest of the request is not sent.
	conn.Close()
	<-done
	return response, false, err
}

// read reads the response to a request. It skips interim responses and those
// that belong to earlier requests.
func (pool *Pool) read(conn *conn, request *Request) (*Response, bool, error) {
	for range maxResponses {
		response, keepAlive, err := conn.read(request)
		if err != nil {
			return nil, false, pool.readFailure(conn, err)
		}
		if response.Status < http.StatusOK {
			continue
		}
		if pool.Matches == nil || pool.Matches(request, response) {
			return response, keepAlive && conn.reader.Buffered() == 0, nil
		}
		if !keepAlive {
			break
		}
	}
	return nil, false, verdict.New(verdict.MayHaveRun, verdict.ReplyMismatch, "no response from %s belongs to the request", conn.address)
}

// readFailure returns the failure of a response that could not be read.
func (pool *Pool) readFailure(conn *conn, err error) error {
	code := verdict.ConnectionLost
	var limitErr *quota.LimitError
	switch {
	case errors.Is(err, quota.ErrExhausted):
		code = verdict.MemoryExhausted
	case errors.Is(err, errInvalidStatus):
		code = verdict.ReplyMismatch
	case errors.As(err, &limitErr):
		code = verdict.ReplyTooLarge
		if pool.Oversized != nil {
			pool.Oversized(conn.address, limitErr)
		}
	}
	return verdict.New(verdict.MayHaveRun, code, "read response from %s: %v", conn.address, err)
}
