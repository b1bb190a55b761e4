package caller

import (
	"container/list"
	"net"
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
// idle longest, and last those whose answer is on its way. Set the exported fields before use.
type Limiter struct {
	// MaxConns is the maximum number of open connections; 0 sets no limit.
	MaxConns int
	// Memory limits the heads that are being read; nil sets no limit.
	Memory *quota.Quota
	// Closed is called with the remote address of each connection that is closed
	// to make room; it may be nil.
	Closed func(remote string)
	// Unanswered is called for each connection that this host closes although it has
	// read a request from it that it has not answered; it may be nil. It must not call
	// the Limiter.
	Unanswered func(Unanswered)

	mu   sync.Mutex
	open int
	// unanswered counts the calls of Unanswered.
	unanswered int
	// draining is set when connections between two requests are closed, cut when all
	// are.
	draining bool
	cut      bool
	// lastAccept is when a connection was last accepted.
	lastAccept time.Time
	// unused holds the connections without a request so far, idle those between
	// two requests, busy those with a request in progress, lingering those that this
	// host has closed; the oldest come first.
	unused    list.List
	idle      list.List
	busy      list.List
	lingering list.List
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

// limitedListener is a listener whose connections are limited.
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
	if limiter.MaxConns > 0 && limiter.open >= limiter.MaxConns && !limiter.closeOne(nil) {
		limiter.reportClosed(accepted)
		return nil
	}
	limiter.open++
	conn := &limitedConn{Conn: accepted, limiter: limiter, acceptedAt: limiter.lastAccept, headMemory: limiter.Memory.NewReservation()}
	conn.moveTo(&limiter.unused)
	return conn
}

// closeOne closes a connection without a request in progress, other than the
// given one. It reports whether there was one.
func (limiter *Limiter) closeOne(except *limitedConn) bool {
	for _, candidates := range []*list.List{&limiter.unused, &limiter.idle, &limiter.lingering} {
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
