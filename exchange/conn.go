package exchange

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"fescuehall/quota"
)

const (
	// MaxHeadBytes limits the status line and the header of a response.
	MaxHeadBytes = 16 << 10
	// DefaultMaxBodyBytes limits the body of a response to a request that sets
	// no limit of its own.
	DefaultMaxBodyBytes = 8 << 20
	// readBufferBytes is enough for a response of typical size in one read.
	readBufferBytes = 2 << 10
	// headExpansion is how much memory a header takes when it is decoded, as a
	// multiple of its length: short lines become map entries.
	headExpansion = 16
	// maxFramingRatio limits the bytes read for a body, as a multiple of its
	// limit. Chunked encoding adds a few bytes to each chunk.
	maxFramingRatio = 2
)

// source reads from a connection within a limit and reserves memory for what it
// reads.
type source struct {
	conn      net.Conn
	limit     string
	max       int64
	remaining int64
	// memory takes expansion times the bytes read.
	memory    *quota.Reservation
	expansion int
	// err is the error of a read that was refused. Parsers may report it as
	// another one.
	err error
}

// startPhase limits what is read from now on. The buffered bytes were read
// before and count towards the limit.
func (source *source) startPhase(limit string, max int64, buffered, expansion int) {
	source.limit, source.max = limit, max
	source.remaining = max - int64(buffered)
	source.expansion = expansion
}

// Read implements io.Reader.
func (source *source) Read(buf []byte) (int, error) {
	if source.remaining <= 0 {
		source.err = &quota.LimitError{What: source.limit, Max: source.max, Received: source.max - source.remaining}
		return 0, source.err
	}
	if int64(len(buf)) > source.remaining {
		buf = buf[:source.remaining]
	}
	count, err := source.conn.Read(buf)
	source.remaining -= int64(count)
	if count > 0 && !source.memory.Reserve(count*source.expansion) {
		source.err = quota.ErrExhausted
		return 0, source.err
	}
	return count, err
}

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	address string
	source  *source
	reader  *bufio.Reader
	// idleDeadline is when the server may close the connection if it is idle.
	idleDeadline time.Time
}

func newConn(opened net.Conn, address string) *conn {
	source := &source{conn: opened}
	return &conn{Conn: opened, address: address, source: source, reader: bufio.NewReaderSize(source, readBufferBytes)}
}

// bindTo makes reads and writes fail once ctx ends. The function that it
// returns ends this, and reports false when ctx had already ended.
func (conn *conn) bindTo(ctx context.Context) func() bool {
	deadline, _ := ctx.Deadline()
	// If the deadline can't be set, the write that follows fails too.
	_ = conn.SetDeadline(deadline)
	return context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
}

// read reads one complete response to a request and reports whether the server
// keeps the connection open.
func (conn *conn) read(request *Request) (*Response, bool, error) {
	conn.source.memory = request.Memory
	conn.source.startPhase("head", MaxHeadBytes, conn.reader.Buffered(), headExpansion)
	plain, ok := readPlainHead(conn.reader, request.Method)
	if !ok {
		return conn.readUnusual(request)
	}
	body, err := conn.readKnownLength(conn.reader, plain.contentLength, request)
	if err != nil {
		return nil, false, cmp.Or(conn.source.err, err)
	}
	conn.idleDeadline = idleDeadline(plain.header, time.Now())
	return &Response{Status: plain.status, Header: plain.header, Body: body}, true, nil
}

// readUnusual reads a response whose head is not plain.
func (conn *conn) readUnusual(request *Request) (*Response, bool, error) {
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: request.Method})
	if err != nil {
		return nil, false, cmp.Or(conn.source.err, err)
	}
	if holdsStatusLine(response) {
		return nil, false, errSecondStatusLine
	}
	if !isStatus(response.StatusCode) {
		return nil, false, errInvalidStatus
	}
	// The body is not closed, since that reads it to its end.
	body, err := conn.readBody(response, request)
	if err != nil {
		return nil, false, cmp.Or(conn.source.err, err)
	}
	conn.idleDeadline = idleDeadline(response.Header, time.Now())
	return &Response{Status: response.StatusCode, Header: response.Header, Body: body}, !response.Close, nil
}

// errSecondStatusLine is the error for a head in which another one begins: the server
// broke off a response and sent the next on the same connection.
var errSecondStatusLine = errors.New("the head of the response holds a second status line")

// errInvalidStatus is the error for a head whose status is none, or 101: no request asks
// for another protocol.
var errInvalidStatus = errors.New("the response has a status that is not valid")

func isStatus(status int) bool {
	return status >= minStatus && status <= maxStatus && status != http.StatusSwitchingProtocols
}

var statusLine = regexp.MustCompile(`HTTP/1\.[0-9] [0-9]{3}`)

// holdsStatusLine reports whether the reason or a header field of a response holds a
// status line.
func holdsStatusLine(response *http.Response) bool {
	if statusLine.MatchString(response.Status) {
		return true
	}
	for _, values := range response.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// readBody reads the body of a response.
func (conn *conn) readBody(response *http.Response, request *Request) ([]byte, error) {
	if response.Body == http.NoBody {
		return nil, nil
	}
	if response.ContentLength >= 0 {
		return conn.readKnownLength(response.Body, response.ContentLength, request)
	}
	maxBytes := request.maxBodyBytes()
	conn.source.startPhase("body", maxFramingRatio*maxBytes+readBufferBytes, conn.reader.Buffered(), 0)
	return quota.ReadAll(response.Body, "body", maxBytes, request.Memory)
}

// readKnownLength reads a body of a known length. Its memory is reserved before
// it is read.
func (conn *conn) readKnownLength(reader io.Reader, length int64, request *Request) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	if maxBytes := request.maxBodyBytes(); length > maxBytes {
		return nil, &quota.LimitError{What: "body", Max: maxBytes, Received: length}
	}
	if !request.Memory.Reserve(int(length)) {
		return nil, quota.ErrExhausted
	}
	conn.source.startPhase("body", length+1, conn.reader.Buffered(), 0)
	body := make([]byte, length)
	_, err := io.ReadFull(reader, body)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

func (request *Request) maxBodyBytes() int64 {
	return int64(cmp.Or(request.MaxBodyBytes, DefaultMaxBodyBytes))
}

// keepAliveMargin is subtracted from the server's keep-alive timeout, since a
// request takes time to reach the server.
const keepAliveMargin = 500 * time.Millisecond

// idleDeadline returns the time until which the Keep-Alive header lets a
// connection be idle, the zero time when it sets no limit.
func idleDeadline(header http.Header, now time.Time) time.Time {
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
