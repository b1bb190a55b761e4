package caller

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"fescuehall/quota"
)

// headExpansion is how much memory the head of a request takes while it is
// read, as a multiple of its length.
const headExpansion = 8

// Limiter bounds the connections of callers and the memory of the request heads
// that are being read, so that callers that open connections and send slowly or
// without end can't use up a host. To make room it closes connections without a
// request in progress: first those that never had one, then the one that was
// idle longest. Set the exported fields before use.
type Limiter struct {
	// MaxConns is the maximum number of open connections.
	MaxConns int
	// Memory limits the heads that are being read.
	Memory *quota.Quota
	// Closed is called with the remote address of each connection that is closed
	// to make room; it may be nil.
	Closed func(remote string)
	// Unanswered is called for each connection that this host closes although it has
	// read a request from it that it has not answered; it may be nil.
	Unanswered func(Unanswered)

	mu   sync.Mutex
	open int
	// unanswered counts the calls of Unanswered.
	unanswered int
	// lastAccept is when a connection was last accepted.
	lastAccept time.Time
	// unused holds the connections without a request so far, idle those between
	// two requests, busy those with a request in progress; the oldest come first.
	unused list.List
	idle   list.List
	busy   list.List
}

// Unanswered describes a request that was read and whose connection was closed by
// this host without an answer.
type Unanswered struct {
	// Remote is the caller's address.
	Remote string
	// Handled is set when the request had reached its handler.
	Handled bool
	// Age is the time since the last byte of the request's head was read.
	Age time.Duration
}

// Listener returns a listener whose connections are limited.
func (limiter *Limiter) Listener(listener net.Listener) net.Listener {
	return &limitedListener{Listener: listener, limiter: limiter}
}

type limitedListener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (listener *limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := listener.limiter.add(accepted); conn != nil {
			return conn, nil
		}
		accepted.Close()
	}
}

// limitedConn is a caller's connection that a Limiter counts.
type limitedConn struct {
	net.Conn
	limiter *Limiter
	// list is the list that contains element; nil once the connection is closed.
	list    *list.List
	element *list.Element
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

// LastAccept returns when a connection was last accepted, the zero time before
// the first.
func (limiter *Limiter) LastAccept() time.Time {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return limiter.lastAccept
}

// add counts a new connection. It returns nil when there are too many and all
// of them have a request in progress.
func (limiter *Limiter) add(accepted net.Conn) *limitedConn {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.lastAccept = time.Now()
	if limiter.open >= limiter.MaxConns && !limiter.closeOne(nil) {
		limiter.reportClosed(accepted)
		return nil
	}
	limiter.open++
	conn := &limitedConn{Conn: accepted, limiter: limiter, headMemory: limiter.Memory.NewReservation()}
	conn.moveTo(&limiter.unused)
	return conn
}

// closeOne closes a connection without a request in progress, other than the
// given one. It reports whether there was one.
func (limiter *Limiter) closeOne(except *limitedConn) bool {
	for _, candidates := range []*list.List{&limiter.unused, &limiter.idle} {
		for element := candidates.Front(); element != nil; element = element.Next() {
			if conn := element.Value.(*limitedConn); conn != except {
				limiter.reportClosed(conn)
				conn.release()
				// The connection is unusable anyway.
				_ = conn.Conn.Close()
				return true
			}
		}
	}
	return false
}

func (limiter *Limiter) reportClosed(conn net.Conn) {
	if limiter.Closed != nil {
		limiter.Closed(conn.RemoteAddr().String())
	}
}

// UnansweredCount returns how many connections were closed without an answer.
func (limiter *Limiter) UnansweredCount() int {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return limiter.unanswered
}

// ReportOpen reports the requests in progress as unanswered. It is called before the
// process ends, which closes their connections.
func (limiter *Limiter) ReportOpen() {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	for _, conns := range []*list.List{&limiter.unused, &limiter.idle, &limiter.busy} {
		for element := conns.Front(); element != nil; element = element.Next() {
			element.Value.(*limitedConn).reportUnanswered()
		}
	}
}

// reportUnanswered reports the current request if it was read and not answered.
func (conn *limitedConn) reportUnanswered() {
	if conn.headReadAt.IsZero() || conn.answered {
		return
	}
	limiter := conn.limiter
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

// Close implements net.Conn.
func (conn *limitedConn) Close() error {
	conn.limiter.mu.Lock()
	conn.release()
	conn.limiter.mu.Unlock()
	return conn.Conn.Close()
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
// head that it reads, and closes other connections when there is none.
func (conn *limitedConn) Read(buf []byte) (int, error) {
	count, err := conn.Conn.Read(buf)
	limiter := conn.limiter
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	if conn.closed {
		// A request that was read as the connection was closed must not be served:
		// nobody would get its answer.
		if conn.readsHead(buf[:count]) {
			conn.reportUnanswered()
		}
		return 0, net.ErrClosed
	}
	if conn.list == &limiter.busy {
		return count, err
	}
	conn.readsHead(buf[:count])
	for !conn.headMemory.Reserve(count * headExpansion) {
		if !limiter.closeOne(conn) {
			return 0, quota.ErrExhausted
		}
	}
	return count, err
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

// begin marks the connection as having a request in progress. It returns false when
// the connection was closed after the request's head was read.
func (conn *limitedConn) begin() bool {
	conn.limiter.mu.Lock()
	defer conn.limiter.mu.Unlock()
	if conn.closed {
		return false
	}
	conn.moveTo(&conn.limiter.busy)
	conn.headMemory.Release()
	conn.handled = true
	return true
}

// end marks the connection as idle.
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

// Handler returns a handler that marks connections as in use while next
// handles their requests. A request whose connection was closed meanwhile does not
// reach next. It needs Attach as the server's ConnContext.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if attached, ok := request.Context().Value(contextKey{}).(*conn); ok && attached.limited != nil {
			if !attached.limited.begin() {
				panic(http.ErrAbortHandler)
			}
			// A handler that panics leaves the request unanswered.
			next.ServeHTTP(writer, request)
			attached.limited.end()
			return
		}
		next.ServeHTTP(writer, request)
	})
}
