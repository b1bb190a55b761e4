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
	waiting  map[uint64]chan frame.Frame
	nextID   uint64
}

// dialAttempt is a dial that several calls wait for.
type dialAttempt struct {
	done chan struct{}
}

// Call sends a request and waits for its reply. The error is a
// *verdict.Failure: NotRun when no byte of the request can have left.
func (client *Client) Call(ctx context.Context, kind frame.Type, body []byte) (frame.Frame, error) {
	if err := ctx.Err(); err != nil {
		return frame.Frame{}, verdict.New(verdict.NotRun, verdict.Cancelled, "before sending to %s: %v", client.Address, err)
	}
	conn, id, replies, err := client.open(ctx)
	if err != nil {
		return frame.Frame{}, verdict.New(verdict.NotRun, verdict.Unreachable, "host %s: %v", client.Address, err)
	}
	defer client.forget(id)
	state := &sendState{}
	sent := conn.send(ctx, outgoing{frame: frame.Frame{Type: kind, Correlation: id, Body: body}, started: state})
	if !sent {
		return frame.Frame{}, verdict.New(verdict.NotRun, verdict.Unreachable, "host %s: connection closed before sending", client.Address)
	}
	select {
	case reply := <-replies:
		return reply, nil
	case <-conn.done:
		return client.lost(state, replies)
	case <-ctx.Done():
		return client.cancel(conn, state, id)
	}
}

// lost prefers a reply that was read before the connection ended.
func (client *Client) lost(state *sendState, replies chan frame.Frame) (frame.Frame, error) {
	select {
	case reply := <-replies:
		return reply, nil
	default:
	}
	if state.withdraw() {
		return frame.Frame{}, verdict.New(verdict.NotRun, verdict.Unreachable, "host %s: connection closed before sending", client.Address)
	}
	return frame.Frame{}, verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "host %s: connection closed before the reply", client.Address)
}

func (client *Client) cancel(conn *Conn, state *sendState, id uint64) (frame.Frame, error) {
	if state.withdraw() {
		return frame.Frame{}, verdict.New(verdict.NotRun, verdict.Cancelled, "withdrawn before sending to %s", client.Address)
	}
	select {
	case conn.out <- outgoing{frame: frame.Frame{Type: frame.Cancel, Correlation: id}}:
	default:
	}
	return frame.Frame{}, verdict.New(verdict.MayHaveRun, verdict.Cancelled, "withdrawn after sending to %s", client.Address)
}

// open returns the connection, dialling if there is none, and a place for the
// reply.
func (client *Client) open(ctx context.Context) (*Conn, uint64, chan frame.Frame, error) {
	for {
		conn, id, replies, attempt, err := client.reserve()
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

func (client *Client) reserve() (*Conn, uint64, chan frame.Frame, *dialAttempt, error) {
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.conn != nil && !client.conn.closed() {
		client.nextID++
		replies := make(chan frame.Frame, 1)
		client.waiting[client.nextID] = replies
		return client.conn, client.nextID, replies, nil, nil
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
	client.waiting = make(map[uint64]chan frame.Frame)
	go client.conn.read(client.deliver)
}

// deliver hands a reply to its waiting call. A reply nobody waits for is
// dropped: its call has ended.
func (client *Client) deliver(reply frame.Frame) {
	client.mu.Lock()
	replies := client.waiting[reply.Correlation]
	delete(client.waiting, reply.Correlation)
	client.mu.Unlock()
	if replies != nil {
		replies <- reply
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
