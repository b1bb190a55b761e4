package exchange

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"fescuehall/quota"
	"fescuehall/verdict"
)

const (
	// DialTimeout limits the time to open a connection. It is many times the
	// network delay between failure domains, and short compared with callers'
	// deadlines.
	DialTimeout = 500 * time.Millisecond
	// maxIdleTime is how long an idle connection is kept at most. The server's
	// keep-alive timeout may be shorter.
	maxIdleTime = 20 * time.Second
)

// Pool holds connections to backend servers. Set the fields before use.
type Pool struct {
	// Dial opens a connection; nil uses a net.Dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Matches reports whether a response belongs to the request; nil accepts
	// every response.
	Matches func(request *Request, response *Response) bool
	// Dialed is called after each attempt to open a connection; it may be nil.
	Dialed func(address string, err error)
	// Oversized is called with the address of a server whose response exceeds a
	// limit; it may be nil.
	Oversized func(address string, err *quota.LimitError)

	mu      sync.Mutex
	servers map[string]*server
}

// server holds the connections to one address.
type server struct {
	idle []*conn
	// open counts the connections that are open or being opened.
	open    int
	maxOpen int
	// waiters get a connection, or nil as permission to open one.
	waiters []chan *conn
}

// get returns an idle connection or opens one. It waits while maxOpen
// connections are in use.
func (pool *Pool) get(ctx context.Context, address string, maxOpen int) (*conn, error) {
	pool.mu.Lock()
	server := pool.server(address)
	server.maxOpen = maxOpen
	if conn := server.popIdle(time.Now()); conn != nil {
		pool.mu.Unlock()
		return conn, nil
	}
	if server.open < maxOpen {
		server.open++
		pool.mu.Unlock()
		return pool.open(ctx, address)
	}
	waiter := make(chan *conn, 1)
	server.waiters = append(server.waiters, waiter)
	pool.mu.Unlock()
	select {
	case conn := <-waiter:
		if conn == nil {
			return pool.open(ctx, address)
		}
		return conn, nil
	case <-ctx.Done():
		pool.cancelWait(address, waiter)
		return nil, verdict.New(verdict.NotRun, verdict.Cancelled, "wait for a connection to %s: %v", address, context.Cause(ctx))
	}
}

func (pool *Pool) server(address string) *server {
	if pool.servers == nil {
		pool.servers = make(map[string]*server)
	}
	found := pool.servers[address]
	if found == nil {
		found = &server{}
		pool.servers[address] = found
	}
	return found
}

// popIdle returns the most recently used idle connection that can be reused, or
// nil. It closes those that can't.
func (server *server) popIdle(now time.Time) *conn {
	for len(server.idle) > 0 {
		last := server.idle[len(server.idle)-1]
		server.idle = server.idle[:len(server.idle)-1]
		if now.Before(last.idleDeadline) && last.reusable() {
			return last
		}
		last.Close()
		server.open--
	}
	return nil
}

// reusable reports whether the server has neither closed the connection nor
// sent anything since the last response.
func (conn *conn) reusable() bool {
	raw, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	nothingToRead := false
	err = control.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, err := syscall.Read(int(fd), buffer[:])
		nothingToRead = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && nothingToRead
}

// cancelWait removes a waiter. If the waiter was served meanwhile, its
// connection or permission to open one goes back to the pool.
func (pool *Pool) cancelWait(address string, waiter chan *conn) {
	pool.mu.Lock()
	server := pool.server(address)
	for i, waiting := range server.waiters {
		if waiting == waiter {
			server.waiters = append(server.waiters[:i], server.waiters[i+1:]...)
			pool.mu.Unlock()
			return
		}
	}
	pool.mu.Unlock()
	if conn := <-waiter; conn != nil {
		pool.put(conn)
		return
	}
	pool.releaseSlot(address)
}

func (pool *Pool) open(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	opened, err := pool.dial(ctx, address)
	if pool.Dialed != nil {
		pool.Dialed(address, err)
	}
	if err != nil {
		pool.releaseSlot(address)
		return nil, verdict.New(verdict.NotRun, verdict.Unreachable, "%v", err)
	}
	return newConn(opened, address), nil
}

func (pool *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	if pool.Dial != nil {
		return pool.Dial(ctx, address)
	}
	dialer := net.Dialer{KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", address)
}

// releaseSlot lets a waiter open a connection in place of one that was closed.
func (pool *Pool) releaseSlot(address string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	server := pool.server(address)
	if waiter := server.popWaiter(); waiter != nil {
		waiter <- nil
		return
	}
	server.open--
}

func (server *server) popWaiter() chan *conn {
	if len(server.waiters) == 0 {
		return nil
	}
	first := server.waiters[0]
	server.waiters = server.waiters[1:]
	return first
}

// put returns a connection to the pool: to a waiter if there is one, else to
// the idle connections.
func (pool *Pool) put(conn *conn) {
	if latest := time.Now().Add(maxIdleTime); conn.idleDeadline.IsZero() || conn.idleDeadline.After(latest) {
		conn.idleDeadline = latest
	}
	// With the deadline of the last request, the check in reusable would fail.
	_ = conn.SetDeadline(time.Time{})
	pool.mu.Lock()
	defer pool.mu.Unlock()
	server := pool.server(conn.address)
	if waiter := server.popWaiter(); waiter != nil {
		waiter <- conn
		return
	}
	if server.open > server.maxOpen {
		conn.Close()
		server.open--
		return
	}
	server.idle = append(server.idle, conn)
}

// discard closes a connection that can't be reused.
func (pool *Pool) discard(conn *conn) {
	conn.Close()
	pool.releaseSlot(conn.address)
}

// Forget closes the idle connections to an address that is no longer in use.
func (pool *Pool) Forget(address string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	server := pool.servers[address]
	if server == nil {
		return
	}
	for _, conn := range server.idle {
		conn.Close()
		server.open--
	}
	server.idle = nil
	if server.open == 0 && len(server.waiters) == 0 {
		delete(pool.servers, address)
	}
}
