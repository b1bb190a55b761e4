package link

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"fescuehall/frame"
)

// writeTimeout bounds one write, so that a peer that stopped reading does not
// hold its senders.
const writeTimeout = 5 * time.Second

const readBufferBytes = 8 << 10

// outgoing is a frame waiting to be written. Started is closed by the writer
// just before the first byte may leave the process.
type outgoing struct {
	frame   frame.Frame
	started *sendState
}

// sendState tells whether a frame may have left the process.
type sendState struct {
	mu        sync.Mutex
	begun     bool
	withdrawn bool
}

// begin reports whether the frame may be written.
func (sendState *sendState) begin() bool {
	sendState.mu.Lock()
	defer sendState.mu.Unlock()
	if sendState.withdrawn {
		return false
	}
	sendState.begun = true
	return true
}

// withdraw reports whether the frame is certain never to be written.
func (sendState *sendState) withdraw() bool {
	sendState.mu.Lock()
	defer sendState.mu.Unlock()
	if sendState.begun {
		return false
	}
	sendState.withdrawn = true
	return true
}

// Conn is one TCP connection with a writer that joins waiting frames into one
// write.
type Conn struct {
	net  net.Conn
	out  chan outgoing
	done chan struct{}
	once sync.Once
	err  error
}

func newConn(netConn net.Conn) *Conn {
	conn := &Conn{net: netConn, out: make(chan outgoing, 256), done: make(chan struct{})}
	go conn.write()
	return conn
}

// close ends the connection. The first error given is kept.
func (conn *Conn) close(err error) {
	conn.once.Do(func() {
		conn.err = err
		close(conn.done)
		conn.net.Close()
	})
}

func (conn *Conn) closed() bool {
	select {
	case <-conn.done:
		return true
	default:
		return false
	}
}

// send queues a frame. It returns false when the connection is closed or ctx
// ends first.
func (conn *Conn) send(ctx context.Context, out outgoing) bool {
	if conn.closed() {
		return false
	}
	select {
	case conn.out <- out:
		return true
	case <-conn.done:
	case <-ctx.Done():
	}
	return false
}

func (conn *Conn) write() {
	var buf []byte
	for {
		select {
		case <-conn.done:
			return
		case out := <-conn.out:
			buf = conn.gather(buf[:0], out)
		}
		if len(buf) == 0 {
			continue
		}
		conn.net.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := conn.net.Write(buf); err != nil {
			conn.close(err)
			return
		}
	}
}

// gather encodes out and whatever else waits, up to a bound.
func (conn *Conn) gather(buf []byte, out outgoing) []byte {
	const joinedBytes = 64 << 10
	for {
		buf = conn.encode(buf, out)
		if len(buf) >= joinedBytes {
			return buf
		}
		select {
		case out = <-conn.out:
		default:
			return buf
		}
	}
}

func (conn *Conn) encode(buf []byte, out outgoing) []byte {
	if out.started != nil && !out.started.begin() {
		return buf
	}
	encoded, err := out.frame.Append(buf)
	if err != nil {
		conn.close(err)
		return buf
	}
	return encoded
}

// read calls handle for each frame until the connection ends.
func (conn *Conn) read(handle func(frame.Frame)) error {
	reader := bufio.NewReaderSize(conn.net, readBufferBytes)
	for {
		received, err := frame.Read(reader)
		if err != nil {
			conn.close(err)
			return err
		}
		handle(received)
	}
}
