// Package backend sends searches to backend servers. Each failure carries a
// verdict on whether the search may have run.
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"fescuehall/quota"
	"fescuehall/verdict"
)

const (
	dialTimeout = time.Second
	// A reply may have maxHitBytes for each hit that the search asks for, and
	// minReplyLimit besides.
	maxHitBytes   = 64 << 10
	minReplyLimit = 256 << 10
	// maxReplyHeaderBytes limits the header of a reply.
	maxReplyHeaderBytes = 16 << 10
	// maxHealthBytes limits how much of a health reply is read. A reply that is
	// read to its end lets the connection be reused.
	maxHealthBytes = 64 << 10
)

// Client sends searches to one backend server. It is created by New.
type Client struct {
	// Address is the server's IP address and port.
	Address string
	// MaxConnections is the maximum number of connections to the server.
	MaxConnections int

	http *http.Client
	// opened counts the connections opened since the start.
	opened atomic.Int64
}

// Dial opens a connection, like net.DialTimeout.
type Dial func(network, address string, timeout time.Duration) (net.Conn, error)

// New returns a client with its own connection pool. It dials with
// net.DialTimeout if dial is nil.
func New(address string, connections int, dial Dial) *Client {
	if dial == nil {
		dial = net.DialTimeout
	}
	client := &Client{Address: address, MaxConnections: connections}
	transport := &http.Transport{
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		DisableCompression:  true,
		// Without it net/http reads headers of 10 MB.
		MaxResponseHeaderBytes: maxReplyHeaderBytes,
		DialContext: func(_ context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(network, address, dialTimeout)
			if err != nil {
				return nil, err
			}
			client.opened.Add(1)
			return &countedConn{Conn: conn}, nil
		},
	}
	client.http = &http.Client{Transport: transport, CheckRedirect: refuseRedirect}
	return client
}

// refuseRedirect stops net/http from following a redirect, which would send the
// search a second time.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// OpenedConnections returns the number of connections opened so far.
func (client *Client) OpenedConnections() int64 {
	return client.opened.Load()
}

// Close closes idle connections.
func (client *Client) Close() {
	client.http.CloseIdleConnections()
}

// countedConn counts the bytes written to a connection, which shows whether a
// request can have reached the server.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (conn *countedConn) Write(buf []byte) (int, error) {
	conn.written.Add(int64(len(buf)))
	return conn.Conn.Write(buf)
}

// writeTracker finds out whether any byte of one search was written to the
// connection that net/http chose for it.
type writeTracker struct {
	conn atomic.Pointer[countedConn]
	// writtenBefore is the connection's count of bytes before the search.
	writtenBefore atomic.Int64
}

// gotConn is the GotConn hook of httptrace.ClientTrace.
func (tracker *writeTracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	tracker.writtenBefore.Store(conn.written.Load())
	tracker.conn.Store(conn)
}

// sent reports whether any byte of the search may have been sent.
func (tracker *writeTracker) sent() bool {
	conn := tracker.conn.Load()
	return conn != nil && conn.written.Load() != tracker.writtenBefore.Load()
}

// Search runs one search. The error is a *verdict.Failure.
func (client *Client) Search(ctx context.Context, search *Search) (*Found, error) {
	body, err := json.Marshal(search)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "search %s: %v", search.RequestID, err)
	}
	tracker := &writeTracker{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: tracker.gotConn})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+client.Address+"/search", bytes.NewReader(body))
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "backend server %s: %v", client.Address, err)
	}
	// Without GetBody net/http can't resend the search on its own.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := client.http.Do(request)
	if err != nil {
		return nil, client.requestFailure(ctx, tracker, err)
	}
	defer response.Body.Close()
	return client.readReply(ctx, search, response)
}

// requestFailure returns the failure of a search that got no response.
func (client *Client) requestFailure(ctx context.Context, tracker *writeTracker, err error) *verdict.Failure {
	outcome, code := verdict.MayHaveRun, verdict.ConnectionLost
	if !tracker.sent() {
		outcome, code = verdict.NotRun, verdict.Unreachable
	}
	if ctx.Err() != nil {
		code = verdict.Cancelled
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = verdict.DeadlinePassed
	}
	return verdict.New(outcome, code, "backend server %s: %v", client.Address, err)
}

// readReply reads the response and checks that it answers the search.
func (client *Client) readReply(ctx context.Context, search *Search, response *http.Response) (*Found, error) {
	content, err := quota.ReadAll(response.Body, "reply", minReplyLimit+maxHitBytes*int64(search.Limit), nil)
	var limitErr *quota.LimitError
	if errors.As(err, &limitErr) {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReplyTooLarge, "backend server %s: %v", client.Address, err)
	}
	if err != nil {
		code := verdict.ConnectionLost
		if ctx.Err() != nil {
			code = verdict.DeadlinePassed
		}
		return nil, verdict.New(verdict.MayHaveRun, code, "backend server %s: incomplete reply: %v", client.Address, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, client.refusalFailure(response.StatusCode, content)
	}
	var found Found
	if err := json.Unmarshal(content, &found); err != nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReplyMismatch, "backend server %s: %v", client.Address, err)
	}
	if err := checkReply(search, &found); err != nil {
		client.Close()
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReplyMismatch, "backend server %s: %v", client.Address, err)
	}
	return &found, nil
}

// refusalFailure returns the failure of a search that got an error status. It
// takes the verdict from the body only if that is a valid Refusal; otherwise
// the search may have run.
func (client *Client) refusalFailure(status int, content []byte) *verdict.Failure {
	var refusal Refusal
	if err := json.Unmarshal(content, &refusal); err != nil || refusal.Code == "" {
		return verdict.New(verdict.MayHaveRun, verdict.BackendError, "backend server %s: status %d", client.Address, status)
	}
	failure := verdict.New(verdict.Parse(refusal.Verdict), verdict.Code(refusal.Code), "backend server %s: %s", client.Address, refusal.Detail)
	return failure.WithSnapshots(refusal.Snapshots)
}

// checkReply returns an error if the reply does not answer the search.
func checkReply(search *Search, found *Found) error {
	if found.RequestID != search.RequestID || found.Attempt != search.Attempt {
		return fmt.Errorf("reply is for request %q attempt %d, want %q attempt %d", found.RequestID, found.Attempt, search.RequestID, search.Attempt)
	}
	if found.Shard != search.Shard || found.Snapshot != search.Snapshot {
		return fmt.Errorf("reply is for shard %d of snapshot %q, want %d of %q", found.Shard, found.Snapshot, search.Shard, search.Snapshot)
	}
	for i, hit := range found.Hits {
		if hit.Snapshot != search.Snapshot || hit.Shard != search.Shard {
			return fmt.Errorf("hit %d is from shard %d of snapshot %q, want %d of %q", i, hit.Shard, hit.Snapshot, search.Shard, search.Snapshot)
		}
	}
	return nil
}

// Health queries the server's health endpoint, which also reports its load.
func (client *Client) Health(ctx context.Context) (*Health, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+client.Address+"/health", nil)
	if err != nil {
		return nil, err
	}
	response, err := client.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("health of backend server %s: %w", client.Address, err)
	}
	defer response.Body.Close()
	var health Health
	err = json.NewDecoder(io.LimitReader(response.Body, maxHealthBytes)).Decode(&health)
	if err != nil {
		return nil, fmt.Errorf("health of backend server %s: %w", client.Address, err)
	}
	return &health, nil
}
