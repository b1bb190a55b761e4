// Package link carries requests between entry hosts over one TCP connection
// for each pair, many at a time.
package link

import (
	"context"
	"net"
	"sync"
	"time"

	"fescuehall/frame"
	"fescuehall/verdict"
)

const (
	dialTimeout = 500 * time.Millisecond
	// dialBackoff spares a dead peer a dial for each request.
	dialBackoff = 100 * time.Millisecond
)

// Client sends requests to one peer. Its methods may be used by many
// goroutines.
type Client struct {
	// Address is the peer's IP address and port.
	Address string
	// Dial opens a connection; net.DialTimeout when nil.
	Dial func(network, address string, timeout time.Duration) (net.Conn, error)

	mu       sync.Mutex
	conn     *Conn
	dialing  *dialAttempt
	failedAt time.Time
	dialErr  error
	waiting  map[uint64]*replies
	nextID   uint64
}

// mostReplies is the most replies to one request that may wait to be taken; more
// are dropped.
const mostReplies = 64

// replies is where the replies to one request go.
type replies struct {
	frames chan frame.Frame
	// many is set when more than one reply is taken.
	many bool
}

// dialAttempt is a dial that several calls wait for.
type dialAttempt struct {
	done chan struct{}
}

// Call sends a request and waits for its reply. The error is a
// *verdict.Failure: NotRun when no byte of the request can have left.
func (client *Client) Call(ctx context.Context, kind frame.Type, body []byte) (frame.Frame, error) {
	var reply frame.Frame
	err := client.stream(ctx, kind, body, false, func(received frame.Frame) bool {
		reply = received
		return false
	})
	return reply, err
}

// Stream sends a request and hands on its replies until take returns false. The
// error is as Call's.
func (client *Client) Stream(ctx context.Context, kind frame.Type, body []byte, take func(reply frame.Frame) (more bool)) error {
	return client.stream(ctx, kind, body, true, take)
}

func (client *Client) stream(ctx context.Context, kind frame.Type, body []byte, many bool, take func(frame.Frame) bool) error {
	if err := ctx.Err(); err != nil {
		return verdict.New(verdict.NotRun, verdict.Cancelled, "before sending to %s: %v", client.Address, err)
	}
	conn, id, replies, err := client.open(ctx, many)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.Unreachable, "host %s: %v", client.Address, err)
	}
	defer client.forget(id)
	state := &sendState{}
	sent := conn.send(ctx, outgoing{frame: frame.Frame{Type: kind, Correlation: id, Body: body}, started: state})
	if !sent {
		return verdict.New(verdict.NotRun, verdict.Unreachable, "host %s: connection closed before sending", client.Address)
	}
	for {
		select {
		case reply := <-replies.frames:
			if !take(reply) {
				return nil
			}
		case <-conn.done:
			return client.lost(state, replies, take)
		case <-ctx.Done():
			return client.cancel(conn, state, id)
		}
	}
}

// lost takes replies that were read before the connection ended.
func (client *Client) lost(state *sendState, replies *replies, take func(frame.Frame) bool) error {
	for len(replies.frames) > 0 {
		if !take(<-replies.frames) {
			return nil
		}
	}
	if state.withdraw() {
		return verdict.New(verdict.NotRun, verdict.Unreachable, "host %s: connection closed before sending", client.Address)
	}
	return verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "host %s: connection closed before the reply", client.Address)
}

func (client *Client) cancel(conn *Conn, state *sendState, id uint64) error {
	if state.withdraw() {
		return verdict.New(verdict.NotRun, verdict.Cancelled, "withdrawn before sending to %s", client.Address)
	}
	select {
	case conn.out <- outgoing{frame: frame.Frame{Type: frame.Cancel, Correlation: id}}:
	default:
	}
	return verdict.New(verdict.MayHaveRun, verdict.Cancelled, "withdrawn after sending to %s", client.Address)
}

// open returns the connection, dialling if there is none, and a place for the
// replies.
func (client *Client) open(ctx context.Context, many bool) (*Conn, uint64, *replies, error) {
	for {
		conn, id, replies, attempt, err := client.reserve(many)
		if conn != nil || err != nil {
			return conn, id, replies, err
		}
		select {
		case <-attempt.done:
		case <-ctx.Done():
			return nil, 0, nil, ctx.Err()
		}
	}
}

func (client *Client) reserve(many bool) (*Conn, uint64, *replies, *dialAttempt, error) {
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.conn != nil && !client.conn.closed() {
		client.nextID++
		made := &replies{frames: make(chan frame.Frame, 1), many: many}
		if many {
			made.frames = make(chan frame.Frame, mostReplies)
		}
		client.waiting[client.nextID] = made
		return client.conn, client.nextID, made, nil, nil
	}
	if client.dialing == nil && time.Since(client.failedAt) < dialBackoff {
		return nil, 0, nil, nil, client.dialErr
	}
	if client.dialing == nil {
		client.dialing = &dialAttempt{done: make(chan struct{})}
		go client.dial(client.dialing)
	}
	return nil, 0, nil, client.dialing, nil
}

func (client *Client) dial(attempt *dialAttempt) {
	dial := client.Dial
	if dial == nil {
		dial = net.DialTimeout
	}
	netConn, err := dial("tcp", client.Address, dialTimeout)
	client.mu.Lock()
	defer client.mu.Unlock()
	defer close(attempt.done)
	client.dialing = nil
	if err != nil {
		client.failedAt = time.Now()
		client.dialErr = err
		return
	}
	client.conn = newConn(netConn)
	client.waiting = make(map[uint64]*replies)
	go client.conn.read(client.deliver)
}

// deliver hands a reply to its waiting call. A reply nobody waits for is
// dropped: its call has ended.
func (client *Client) deliver(reply frame.Frame) {
	client.mu.Lock()
	waiting := client.waiting[reply.Correlation]
	if waiting != nil && !waiting.many {
		delete(client.waiting, reply.Correlation)
	}
	client.mu.Unlock()
	if waiting == nil {
		return
	}
	select {
	case waiting.frames <- reply:
	default:
	}
}

func (client *Client) forget(id uint64) {
	client.mu.Lock()
	defer client.mu.Unlock()
	delete(client.waiting, id)
}

// Close ends the connection.
func (client *Client) Close() {
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.conn != nil {
		client.conn.close(net.ErrClosed)
	}
}
