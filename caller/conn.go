package caller

import (
	"container/list"
	"errors"
	"net"
	"os"
	"time"

	"fescuehall/quota"
)

// limitedConn is a caller's connection that a Limiter counts. The Limiter's mutex guards
// its fields.
type limitedConn struct {
	net.Conn
	limiter *Limiter
	// list is the list that contains element; nil once the connection is closed.
	list    *list.List
	element *list.Element
	// acceptedAt is when the connection was accepted.
	acceptedAt time.Time
	// headMemory reserves the memory of the head that is being read.
	headMemory *quota.Reservation
	head       headScanner
	// headReadAt is when the head of the current request was complete, the zero time
	// before.
	headReadAt time.Time
	// handled is set when the current request has reached its handler, answered when
	// the handler has returned.
	handled  bool
	answered bool
	closed   bool
}

// reportUnanswered reports the current request if it was read and not answered. The
// answers of connections that are cut count as incomplete.
func (conn *limitedConn) reportUnanswered() {
	limiter := conn.limiter
	if conn.headReadAt.IsZero() || conn.answered && !limiter.cut {
		return
	}
	limiter.unanswered++
	if limiter.Unanswered != nil {
		limiter.Unanswered(Unanswered{Remote: conn.RemoteAddr().String(), Handled: conn.handled, Age: time.Since(conn.headReadAt)})
	}
}

// moveTo moves the connection to the end of a list, or to none.
func (conn *limitedConn) moveTo(next *list.List) {
	if conn.list != nil {
		conn.list.Remove(conn.element)
	}
	if conn.list = next; next != nil {
		conn.element = next.PushBack(conn)
	}
}

// release ends the counting of the connection.
func (conn *limitedConn) release() {
	if conn.closed {
		return
	}
	conn.closed = true
	conn.reportUnanswered()
	conn.moveTo(nil)
	conn.headMemory.Release()
	conn.limiter.open--
}

// Close implements net.Conn. A connection with an answer lingers. It is counted until
// it is closed, and may be closed to make room.
func (conn *limitedConn) Close() error {
	limiter := conn.limiter
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	if conn.list == &limiter.lingering {
		return nil
	}
	tcp, isTCP := conn.Conn.(*net.TCPConn)
	if !isTCP || conn.closed || !conn.answered || limiter.cut {
		conn.release()
		return conn.Conn.Close()
	}
	// The answer is written: a stop that cuts the connection now loses none.
	conn.headReadAt = time.Time{}
	conn.moveTo(&limiter.lingering)
	go func() {
		linger(tcp)
		limiter.mu.Lock()
		defer limiter.mu.Unlock()
		conn.release()
	}()
	return nil
}

// readsHead records bytes that were read outside of requests, and reports whether they
// complete a request's head.
func (conn *limitedConn) readsHead(bytes []byte) bool {
	if !conn.headReadAt.IsZero() || !conn.head.scan(bytes) {
		return false
	}
	conn.headReadAt = time.Now()
	return true
}

// Read implements net.Conn. Outside of requests it reserves the memory of the
// head that it reads, and closes other connections when there is none. Of a connection
// that is drained it reads only what has arrived.
func (conn *limitedConn) Read(buf []byte) (int, error) {
	count, err := 0, os.ErrDeadlineExceeded
	if !conn.isDrained() {
		count, err = conn.Conn.Read(buf)
	}
	// The request that comes next may have arrived when the read was ended.
	if errors.Is(err, os.ErrDeadlineExceeded) && conn.isDrained() {
		count, err = readReceived(conn.Conn, buf)
	}
	if recordErr := conn.recordRead(buf[:count]); recordErr != nil {
		return 0, recordErr
	}
	return count, err
}

func (conn *limitedConn) isDrained() bool {
	conn.limiter.mu.Lock()
	defer conn.limiter.mu.Unlock()
	return conn.drained()
}

// SetReadDeadline implements net.Conn. It has no effect on a connection that is
// drained, whose reads must not wait.
func (conn *limitedConn) SetReadDeadline(deadline time.Time) error {
	conn.limiter.mu.Lock()
	defer conn.limiter.mu.Unlock()
	if conn.drained() {
		return nil
	}
	return conn.Conn.SetReadDeadline(deadline)
}

// recordRead records bytes that were read. It returns an error when they must not be
// used.
func (conn *limitedConn) recordRead(bytes []byte) error {
	limiter := conn.limiter
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	if conn.closed || conn.list == &limiter.lingering {
		// A request that was read as the connection was closed must not be served:
		// nobody would get its answer.
		if conn.readsHead(bytes) {
			conn.reportUnanswered()
		}
		return net.ErrClosed
	}
	if conn.list == &limiter.busy {
		return nil
	}
	drained := conn.drained()
	whole := conn.readsHead(bytes)
	if drained && !conn.drained() {
		conn.resume()
	}
	for !conn.headMemory.Reserve(len(bytes) * headExpansion) {
		if limiter.closeOne(conn) {
			continue
		}
		if !whole {
			return quota.ErrExhausted
		}
		// The memory of a whole head is released as soon as its handler runs.
		break
	}
	if whole {
		// The request is in progress from now on, although its handler does not run yet:
		// nothing else may close the connection before it is answered.
		conn.moveTo(&limiter.busy)
	}
	return nil
}

// Write implements net.Conn. What is written before the handler runs is the HTTP
// server's own answer to a request that it refuses.
func (conn *limitedConn) Write(buf []byte) (int, error) {
	count, err := conn.Conn.Write(buf)
	conn.limiter.mu.Lock()
	defer conn.limiter.mu.Unlock()
	if count > 0 && !conn.handled {
		conn.answered = true
	}
	return count, err
}

// begin records that the request has reached its handler. It returns false when the
// connection was closed after the request's head was read.
func (conn *limitedConn) begin() bool {
	conn.limiter.mu.Lock()
	defer conn.limiter.mu.Unlock()
	if conn.closed {
		return false
	}
	if conn.drained() {
		// A pipelined request was buffered when the drain ended reads.
		conn.resume()
	}
	conn.moveTo(&conn.limiter.busy)
	conn.headMemory.Release()
	conn.handled = true
	if conn.headReadAt.IsZero() {
		// A pipelined request was read together with the one before it.
		conn.headReadAt = time.Now()
	}
	return true
}

// setAnswered records that the handler has returned. Its answer may not be written yet.
func (conn *limitedConn) setAnswered() {
	conn.limiter.mu.Lock()
	defer conn.limiter.mu.Unlock()
	conn.answered = true
}

// end marks the connection as idle after its answer was written.
func (conn *limitedConn) end() {
	conn.limiter.mu.Lock()
	defer conn.limiter.mu.Unlock()
	if conn.closed {
		return
	}
	conn.headMemory = conn.limiter.Memory.NewReservation()
	conn.head, conn.headReadAt = headScanner{}, time.Time{}
	conn.handled, conn.answered = false, false
	conn.moveTo(&conn.limiter.idle)
}
