// Package link sends requests between entry hosts. A client multiplexes all its
// requests to a peer over one TCP connection.
package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"fescuehall/frame"
	"fescuehall/quota"
	"fescuehall/verdict"
)

const (
	dialTimeout = 500 * time.Millisecond
	// dialBackoff is the time after a failed dial in which requests fail
	// without dialling again, so that a dead peer isn't dialled for each
	// request.
	dialBackoff = 100 * time.Millisecond
)

// Client sends requests to one peer. It is safe for concurrent use.
type Client struct {
	// Address is the peer's IP address and port.
	Address string
	// Dial opens a connection. If it is nil, net.DialTimeout is used.
	Dial func(network, address string, timeout time.Duration) (net.Conn, error)
	// Memory limits the replies that are being read or handled; nil sets no limit.
	Memory *quota.Quota

	mu       sync.Mutex
	conn     *Conn
	dialing  *dialAttempt
	failedAt time.Time
	dialErr  error
	pending  map[uint64]*pendingCall
	nextID   uint64
	// lastReceived is when a reply last arrived.
	lastReceived time.Time
}

// maxBufferedReplies is the number of unhandled replies to one streaming
// request that are buffered. Further ones are dropped.
const maxBufferedReplies = 64

// pendingCall is a request whose replies are awaited.
type pendingCall struct {
	conn    *Conn
	replies chan receivedReply
	// streaming is set if the call accepts more than one reply.
	streaming bool
}

// receivedReply is a reply whose memory is reserved until release is called.
type receivedReply struct {
	frame   frame.Frame
	release func()
}

// handle calls handle with the reply and then releases its memory.
func (received receivedReply) handle(handle func(frame.Frame) (more bool)) (more bool) {
	defer received.release()
	return handle(received.frame)
}

// dialAttempt is a dial in progress, for which several calls may wait.
type dialAttempt struct {
	done chan struct{}
}

// Call sends a request and waits for its reply. The error is a
// *verdict.Failure. Its verdict is NotRun if no byte of the request can have
// been sent.
func (client *Client) Call(ctx context.Context, kind frame.Type, body []byte) (frame.Frame, error) {
	var reply frame.Frame
	err := client.stream(ctx, kind, body, false, func(received frame.Frame) bool {
		reply = received
		return false
	})
	return reply, err
}

// Stream sends a request and calls handle for each reply until handle returns
// false. Errors are as for Call.
func (client *Client) Stream(ctx context.Context, kind frame.Type, body []byte, handle func(reply frame.Frame) (more bool)) error {
	return client.stream(ctx, kind, body, true, handle)
}

func (client *Client) stream(ctx context.Context, kind frame.Type, body []byte, streaming bool, handle func(frame.Frame) bool) error {
	if err := ctx.Err(); err != nil {
		return verdict.New(verdict.NotRun, verdict.Cancelled, "before sending to %s: %v", client.Address, err)
	}
	conn, id, call, err := client.register(ctx, streaming)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.Unreachable, "host %s: %v", client.Address, err)
	}
	defer client.unregister(id, call)
	sendState := &sendState{}
	sent := conn.send(ctx, outgoing{frame: frame.Frame{Type: kind, Correlation: id, Body: body}, state: sendState})
	if !sent {
		return verdict.New(verdict.NotRun, verdict.Unreachable, "host %s: connection closed before sending", client.Address)
	}
	conn.expectReply()
	conn.checkSilence()
	silence := time.NewTimer(silenceTimeout)
	defer silence.Stop()
	for {
		select {
		case reply := <-call.replies:
			if !reply.handle(handle) {
				return nil
			}
		case <-silence.C:
			conn.checkSilence()
		case <-conn.done:
			return client.connectionLost(sendState, call, handle)
		case <-ctx.Done():
			return client.cancel(conn, sendState, id)
		}
	}
}

// connectionLost handles the replies that were read before the connection
// ended, and returns an error if handle wants more.
func (client *Client) connectionLost(sendState *sendState, call *pendingCall, handle func(frame.Frame) bool) error {
	for len(call.replies) > 0 {
		if !(<-call.replies).handle(handle) {
			return nil
		}
	}
	if sendState.cancel() {
		return verdict.New(verdict.NotRun, verdict.Unreachable, "host %s: connection closed before sending", client.Address)
	}
	return verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "host %s: connection closed before the reply", client.Address)
}

// cancel cancels a request and, if it may have been sent, tells the peer to
// cancel it, unless the send queue is full.
func (client *Client) cancel(conn *Conn, sendState *sendState, id uint64) error {
	if sendState.cancel() {
		return verdict.New(verdict.NotRun, verdict.Cancelled, "cancelled before sending to %s", client.Address)
	}
	select {
	case conn.sendQueue <- outgoing{frame: frame.Frame{Type: frame.Cancel, Correlation: id}}:
	default:
	}
	return verdict.New(verdict.MayHaveRun, verdict.Cancelled, "cancelled after sending to %s", client.Address)
}

// register adds a pending call with a new correlation ID. It dials and waits if
// there is no connection.
func (client *Client) register(ctx context.Context, streaming bool) (*Conn, uint64, *pendingCall, error) {
	for {
		conn, id, call, attempt, err := client.tryRegister(streaming)
		if conn != nil || err != nil {
			return conn, id, call, err
		}
		select {
		case <-attempt.done:
		case <-ctx.Done():
			return nil, 0, nil, ctx.Err()
		}
	}
}

// tryRegister adds a pending call if there is a connection. Otherwise it
// returns the dial to wait for, starting one if needed.
func (client *Client) tryRegister(streaming bool) (*Conn, uint64, *pendingCall, *dialAttempt, error) {
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.conn != nil && !client.conn.closed() && !client.conn.leaving {
		client.nextID++
		client.conn.calls++
		call := &pendingCall{conn: client.conn, replies: make(chan receivedReply, 1), streaming: streaming}
		if streaming {
			call.replies = make(chan receivedReply, maxBufferedReplies)
		}
		client.pending[client.nextID] = call
		return client.conn, client.nextID, call, nil, nil
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
	conn := newConn(netConn)
	client.conn, client.dialErr = conn, nil
	if client.pending == nil {
		client.pending = make(map[uint64]*pendingCall)
	}
	go conn.read(client.Memory, func(received frame.Frame, release func()) {
		if received.Type == frame.Cancel {
			release()
			client.leave(conn)
			return
		}
		client.deliver(received, release)
	})
}

// leave closes a connection as soon as no call is pending on it. Later calls use a
// new one.
func (client *Client) leave(conn *Conn) {
	client.mu.Lock()
	defer client.mu.Unlock()
	conn.leaving = true
	conn.closeIfLeft()
}

// deliver passes a reply to its pending call. It drops the reply if the call
// has ended or its buffer is full.
func (client *Client) deliver(reply frame.Frame, release func()) {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.lastReceived = time.Now()
	call := client.pending[reply.Correlation]
	if call == nil {
		release()
		return
	}
	if !call.streaming {
		delete(client.pending, reply.Correlation)
	}
	select {
	case call.replies <- receivedReply{reply, release}:
	default:
		release()
	}
}

// Refused reports whether the peer's machine refused the latest connection, so that
// no process listens there.
func (client *Client) Refused() bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	return (client.conn == nil || client.conn.closed()) && errors.Is(client.dialErr, syscall.ECONNREFUSED)
}

// LastReceived returns when a reply to any request last arrived, the zero time
// before the first.
func (client *Client) LastReceived() time.Time {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.lastReceived
}

// unregister removes a call. Replies that it did not handle are dropped.
func (client *Client) unregister(id uint64, call *pendingCall) {
	client.mu.Lock()
	defer client.mu.Unlock()
	delete(client.pending, id)
	for len(call.replies) > 0 {
		(<-call.replies).release()
	}
	call.conn.calls--
	call.conn.closeIfLeft()
}

// Close closes the connection.
func (client *Client) Close() {
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.conn != nil {
		client.conn.close(net.ErrClosed)
	}
}
