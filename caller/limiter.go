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

	mu   sync.Mutex
	open int
	// lingering is the number of open connections that linger.
	lingering int
	// lastAccept is when a connection was last accepted.
	lastAccept time.Time
	// unused holds the connections without a request so far, idle those between
	// two requests; the oldest come first.
	unused list.List
	idle   list.List
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
	// list is the list that contains element; nil while a request is in progress.
	list    *list.List
	element *list.Element
	// head reserves the memory of the head that is being read.
	head   *quota.Reservation
	closed bool
	// lingers is set when Close has been called and the last answer may still be on
	// its way.
	lingers bool
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
	conn := &limitedConn{Conn: accepted, limiter: limiter, head: limiter.Memory.NewReservation()}
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
	conn.moveTo(nil)
	conn.head.Release()
	conn.limiter.open--
}

// Close implements net.Conn. A connection with answers lingers. It is counted until it
// is closed, and may be closed to make room.
func (conn *limitedConn) Close() error {
	conn.limiter.mu.Lock()
	tcp, isTCP := conn.Conn.(*net.TCPConn)
	if !isTCP || conn.closed || conn.list != &conn.limiter.idle {
		conn.release()
		conn.limiter.mu.Unlock()
		return conn.Conn.Close()
	}
	defer conn.limiter.mu.Unlock()
	if conn.lingers {
		return nil
	}
	conn.lingers = true
	conn.limiter.lingering++
	go func() {
		linger(tcp)
		conn.limiter.mu.Lock()
		defer conn.limiter.mu.Unlock()
		conn.limiter.lingering--
		conn.release()
	}()
	return nil
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
		return 0, net.ErrClosed
	}
	if conn.list == nil {
		return count, err
	}
	for !conn.head.Reserve(count * headExpansion) {
		if !limiter.closeOne(conn) {
			return 0, quota.ErrExhausted
		}
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
	conn.moveTo(nil)
	conn.head.Release()
	return true
}

// end marks the connection as idle.
func (conn *limitedConn) end() {
	conn.limiter.mu.Lock()
	defer conn.limiter.mu.Unlock()
	if conn.closed {
		return
	}
	conn.head = conn.limiter.Memory.NewReservation()
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
			defer attached.limited.end()
		}
		next.ServeHTTP(writer, request)
	})
}
