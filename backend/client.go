// Package backend sends searches to backend servers and says of each failure
// whether the search may have run.
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

	"fescuehall/verdict"
)

const (
	dialTimeout   = time.Second
	maxReplyBytes = 8 << 20
	// maxDrainBytes bounds what is read to keep a connection after a reply.
	maxDrainBytes = 64 << 10
)

// Client sends searches to one backend server. Set the fields before use.
type Client struct {
	// Address is the server's IP address and port.
	Address string
	// Connections is how many connections the server bears.
	Connections int

	http *http.Client
	conn atomic.Int64
}

// Dial opens a connection, like net.DialTimeout.
type Dial func(network, address string, timeout time.Duration) (net.Conn, error)

// New returns a client with a connection pool of its own. It dials with
// net.DialTimeout when dial is nil.
func New(address string, connections int, dial Dial) *Client {
	if dial == nil {
		dial = net.DialTimeout
	}
	client := &Client{Address: address, Connections: connections}
	transport := &http.Transport{
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		DisableCompression:  true,
		DialContext: func(_ context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(network, address, dialTimeout)
			if err != nil {
				return nil, err
			}
			client.conn.Add(1)
			return &countedConn{Conn: conn}, nil
		},
	}
	client.http = &http.Client{Transport: transport, CheckRedirect: refuseRedirect}
	return client
}

// refuseRedirect keeps net/http from sending a search a second time.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Opened returns how many connections were opened so far.
func (client *Client) Opened() int64 {
	return client.conn.Load()
}

// Close drops idle connections.
func (client *Client) Close() {
	client.http.CloseIdleConnections()
}

// countedConn counts the bytes written, which tells whether a request can have
// reached the server.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (conn *countedConn) Write(buf []byte) (int, error) {
	conn.written.Add(int64(len(buf)))
	return conn.Conn.Write(buf)
}

// sending follows one search through the connection it gets.
type sending struct {
	conn   atomic.Pointer[countedConn]
	before atomic.Int64
}

func (sending *sending) got(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	sending.before.Store(conn.written.Load())
	sending.conn.Store(conn)
}

// left reports whether a byte of the search may have left the process.
func (sending *sending) left() bool {
	conn := sending.conn.Load()
	return conn != nil && conn.written.Load() != sending.before.Load()
}

// Search runs one search. The error is a *verdict.Failure.
func (client *Client) Search(ctx context.Context, search *Search) (*Found, error) {
	body, err := json.Marshal(search)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "search %s: %v", search.RequestID, err)
	}
	sending := &sending{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: sending.got})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+client.Address+"/search", bytes.NewReader(body))
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "backend server %s: %v", client.Address, err)
	}
	// Without GetBody net/http can't resend the search by itself.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := client.http.Do(request)
	if err != nil {
		return nil, client.failure(ctx, sending, err)
	}
	defer response.Body.Close()
	return client.reply(ctx, search, response)
}

func (client *Client) failure(ctx context.Context, sending *sending, err error) *verdict.Failure {
	outcome, code := verdict.MayHaveRun, verdict.ConnectionLost
	if !sending.left() {
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

func (client *Client) reply(ctx context.Context, search *Search, response *http.Response) (*Found, error) {
	content, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		code := verdict.ConnectionLost
		if ctx.Err() != nil {
			code = verdict.DeadlinePassed
		}
		return nil, verdict.New(verdict.MayHaveRun, code, "backend server %s: reply cut short: %v", client.Address, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, client.refusal(response.StatusCode, content)
	}
	var found Found
	if err := json.Unmarshal(content, &found); err != nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReplyMismatch, "backend server %s: %v", client.Address, err)
	}
	if err := matches(search, &found); err != nil {
		client.Close()
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReplyMismatch, "backend server %s: %v", client.Address, err)
	}
	return &found, nil
}

// refusal trusts a verdict only from a body that is a refusal.
func (client *Client) refusal(status int, content []byte) *verdict.Failure {
	var refusal Refusal
	if err := json.Unmarshal(content, &refusal); err != nil || refusal.Code == "" {
		return verdict.New(verdict.MayHaveRun, verdict.BackendError, "backend server %s: status %d", client.Address, status)
	}
	failure := verdict.New(verdict.Parse(refusal.Verdict), verdict.Code(refusal.Code), "backend server %s: %s", client.Address, refusal.Detail)
	return failure.WithSnapshots(refusal.Snapshots)
}

// matches reports how a reply differs from the search it answers.
func matches(search *Search, found *Found) error {
	if found.RequestID != search.RequestID || found.Attempt != search.Attempt {
		return fmt.Errorf("reply is for request %q try %d, want %q try %d", found.RequestID, found.Attempt, search.RequestID, search.Attempt)
	}
	if found.Shard != search.Shard || found.Snapshot != search.Snapshot {
		return fmt.Errorf("reply is for shard %d of snapshot %q, want %d of %q", found.Shard, found.Snapshot, search.Shard, search.Snapshot)
	}
	for place, hit := range found.Hits {
		if hit.Snapshot != search.Snapshot || hit.Shard != search.Shard {
			return fmt.Errorf("hit %d is from shard %d of snapshot %q, want %d of %q", place, hit.Shard, hit.Snapshot, search.Shard, search.Snapshot)
		}
	}
	return nil
}

// Health reads the health and load endpoint.
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
	err = json.NewDecoder(io.LimitReader(response.Body, maxDrainBytes)).Decode(&health)
	if err != nil {
		return nil, fmt.Errorf("health of backend server %s: %w", client.Address, err)
	}
	return &health, nil
}
