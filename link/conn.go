package link

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"fescuehall/frame"
	"fescuehall/quota"
)

// writeTimeout limits one write, so that a peer that stopped reading does not
// block its senders.
const writeTimeout = 5 * time.Second

const readBufferBytes = 8 << 10

// outgoing is a frame in the send queue. Its state is nil if it can't be
// cancelled.
type outgoing struct {
	frame frame.Frame
	state *sendState
	// written is set instead of a frame; it is closed when all frames before it
	// were written.
	written chan struct{}
}

// sendState tracks whether a frame may have been sent. The writer starts it
// just before the first byte may leave the process.
type sendState struct {
	mu        sync.Mutex
	started   bool
	cancelled bool
}

// start marks the frame as started, unless it was cancelled. It reports whether
// the frame may be written.
func (sendState *sendState) start() bool {
	sendState.mu.Lock()
	defer sendState.mu.Unlock()
	if sendState.cancelled {
		return false
	}
	sendState.started = true
	return true
}

// cancel marks the frame as cancelled, unless it was started. It reports
// whether the frame is certain never to be written.
func (sendState *sendState) cancel() bool {
	sendState.mu.Lock()
	defer sendState.mu.Unlock()
	if sendState.started {
		return false
	}
	sendState.cancelled = true
	return true
}

// Conn is a TCP connection with a goroutine that writes queued frames in
// batches.
type Conn struct {
	net       net.Conn
	sendQueue chan outgoing
	done      chan struct{}
	once      sync.Once
	err       error
	// unansweredSince is the time in Unix nanoseconds since which a reply has been
	// due while no frame arrived, 0 if none is. probing is set during a probe.
	unansweredSince atomic.Int64
	probing         atomic.Bool
	receivedBytes   atomic.Int64
	// calls counts a client's pending calls on the connection. leaving is set once
	// the server has asked the client to leave. The client's mutex guards both.
	calls   int
	leaving bool
}

// askToLeave asks the client to send no more requests on the connection, and to
// close it when all replies were received. It is a cancellation of no request, since
// clients that don't know it drop that. It is not sent if the send queue is full.
func (conn *Conn) askToLeave() {
	select {
	case conn.sendQueue <- outgoing{frame: frame.Frame{Type: frame.Cancel}}:
	default:
	}
}

func newConn(netConn net.Conn) *Conn {
	conn := &Conn{net: netConn, sendQueue: make(chan outgoing, 256), done: make(chan struct{})}
	go conn.write()
	return conn
}

// close closes the connection. Only the error of the first call is kept.
func (conn *Conn) close(err error) {
	conn.once.Do(func() {
		conn.err = err
		close(conn.done)
		conn.net.Close()
	})
}

// closeIfLeft closes a connection that the client was asked to leave once it has no
// pending call.
func (conn *Conn) closeIfLeft() {
	if conn.leaving && conn.calls == 0 {
		conn.close(net.ErrClosed)
	}
}

func (conn *Conn) closed() bool {
	select {
	case <-conn.done:
		return true
	default:
		return false
	}
}

// send queues a frame. It returns false if the connection is closed or ctx ends
// first.
func (conn *Conn) send(ctx context.Context, outgoing outgoing) bool {
	if conn.closed() {
		return false
	}
	select {
	case conn.sendQueue <- outgoing:
		return true
	case <-conn.done:
	case <-ctx.Done():
	}
	return false
}

// flush waits until the frames in the send queue were written, the connection
// is closed, or ctx ends.
func (conn *Conn) flush(ctx context.Context) {
	written := make(chan struct{})
	if !conn.send(ctx, outgoing{written: written}) {
		return
	}
	select {
	case <-written:
	case <-conn.done:
	case <-ctx.Done():
	}
}

func (conn *Conn) write() {
	var buf []byte
	for {
		var marker chan struct{}
		select {
		case <-conn.done:
			return
		case outgoing := <-conn.sendQueue:
			buf, marker = conn.batch(buf[:0], outgoing)
		}
		if err := conn.writeBatch(buf); err != nil {
			conn.close(err)
			return
		}
		if marker != nil {
			close(marker)
		}
	}
}

func (conn *Conn) writeBatch(buf []byte) error {
	if len(buf) == 0 {
		return nil
	}
	conn.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := conn.net.Write(buf)
	return err
}

// batch encodes outgoing and further queued frames, up to a size limit. It ends
// at a marker of flush, which it returns.
func (conn *Conn) batch(buf []byte, outgoing outgoing) (batch []byte, marker chan struct{}) {
	const maxBatchBytes = 64 << 10
	for {
		if outgoing.written != nil {
			return buf, outgoing.written
		}
		buf = conn.encode(buf, outgoing)
		if len(buf) >= maxBatchBytes {
			return buf, nil
		}
		select {
		case outgoing = <-conn.sendQueue:
		default:
			return buf, nil
		}
	}
}

// encode appends a frame to buf, unless it was cancelled.
func (conn *Conn) encode(buf []byte, outgoing outgoing) []byte {
	if outgoing.state != nil && !outgoing.state.start() {
		return buf
	}
	encoded, err := outgoing.frame.Append(buf)
	if err != nil {
		conn.close(err)
		return buf
	}
	return encoded
}

// read calls handle for each frame until the connection ends. The function
// that handle gets releases the frame's memory; it has to be called once the
// frame was handled.
func (conn *Conn) read(memory *quota.Quota, handle func(received frame.Frame, release func())) error {
	reader := bufio.NewReaderSize(countingReader{conn}, readBufferBytes)
	for !conn.closed() {
		reservation := memory.NewReservation()
		received, err := frame.ReadWithin(reader, reservation)
		if err != nil {
			reservation.Release()
			conn.close(err)
			return err
		}
		if received.Type != frame.Cancel {
			// A peer that asks to leave still owes its replies.
			conn.recordReceived()
		}
		handle(received, reservation.Release)
	}
	return conn.err
}
