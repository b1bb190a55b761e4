package exchange

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"fescuehall/quota"
	"fescuehall/share"
	"fescuehall/shutdown"
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
	// Stop ends the sending of requests when the host stops. Those that wait for a
	// connection are then refused. It may be nil.
	Stop *shutdown.Stop

	mu      sync.Mutex
	servers map[string]*server
}

// server holds the connections to one address.
type server struct {
	idle []*conn
	// open counts the connections that are open or being opened.
	open    int
	maxOpen int
	window  window
	waiters share.Queue[*conn]
	// responseTime is the average time from sending a request to its response.
	responseTime time.Duration
}

// responseTimeWeight is the weight of a new response in the average.
const responseTimeWeight = 0.2

// recordResponse updates the average response time of a server.
func (pool *Pool) recordResponse(address string, elapsed time.Duration) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	server := pool.server(address)
	if server.responseTime == 0 {
		server.responseTime = elapsed
		return
	}
	server.responseTime += time.Duration(responseTimeWeight * float64(elapsed-server.responseTime))
}

// canUse reports whether another connection may be used.
func (server *server) canUse() bool {
	inUse := server.open - len(server.idle)
	return inUse < server.maxOpen && server.window.admits(inUse)
}

// get returns an idle connection or opens one. It waits while as many
// connections are in use as the destination and the server's queue allow, but no
// longer than requests are sent during a stop of the host.
func (pool *Pool) get(ctx context.Context, destination Destination) (*conn, error) {
	pool.mu.Lock()
	server := pool.server(destination.Address)
	server.maxOpen = destination.MaxOpen
	if !pool.Stop.Admits(server.responseTime) {
		pool.mu.Unlock()
		return nil, stoppingFailure(destination.Address)
	}
	if server.canUse() {
		conn := server.take(time.Now())
		pool.mu.Unlock()
		return pool.openIfNil(ctx, destination.Address, conn)
	}
	// It is granted a connection, or nil as permission to open one.
	waiter := &share.Waiter[*conn]{Rank: destination.Rank, Workspace: destination.Workspace, Due: destination.Due, Granted: make(chan *conn, 1)}
	server.waiters.Add(waiter)
	pool.mu.Unlock()
	select {
	case conn := <-waiter.Granted:
		if !pool.admits(destination.Address) {
			pool.giveBack(destination.Address, conn)
			return nil, stoppingFailure(destination.Address)
		}
		return pool.openIfNil(ctx, destination.Address, conn)
	case <-pool.Stop.SendingEnded():
		pool.cancelWait(destination.Address, waiter)
		return nil, stoppingFailure(destination.Address)
	case <-ctx.Done():
		pool.cancelWait(destination.Address, waiter)
		return nil, verdict.New(verdict.NotRun, verdict.Cancelled, "wait for a connection to %s: %v", destination.Address, context.Cause(ctx))
	}
}

// admits reports whether a request may still be sent to a server.
func (pool *Pool) admits(address string) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.Stop.Admits(pool.server(address).responseTime)
}

func stoppingFailure(address string) *verdict.Failure {
	return verdict.New(verdict.NotRun, verdict.Stopping, "this host stops before a reply of %s is expected", address)
}

// take returns an idle connection, or nil after it has counted one that the
// caller is to open.
func (server *server) take(now time.Time) *conn {
	if conn := server.popIdle(now); conn != nil {
		return conn
	}
	server.open++
	return nil
}

func (pool *Pool) openIfNil(ctx context.Context, address string, conn *conn) (*conn, error) {
	if conn == nil {
		return pool.open(ctx, address)
	}
	return conn, nil
}

// grant gives connections to waiters as far as they may be used.
func (server *server) grant(now time.Time) {
	for server.canUse() {
		// A request that is sent now is answered after the response time.
		waiter := server.waiters.Pop(now.Add(server.responseTime))
		if waiter == nil {
			return
		}
		waiter.Granted <- server.take(now)
	}
}

// ReportQueue adapts the number of requests in progress at a server to the queue
// that it reports, given the number of requests that it runs at a time.
func (pool *Pool) ReportQueue(address string, waiting, slots int) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	server := pool.servers[address]
	if server == nil || slots <= 0 {
		return
	}
	server.window.adjust(waiting, slots, server.open-len(server.idle))
	server.grant(time.Now())
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
func (pool *Pool) cancelWait(address string, waiter *share.Waiter[*conn]) {
	pool.mu.Lock()
	removed := pool.server(address).waiters.Remove(waiter)
	pool.mu.Unlock()
	if removed {
		return
	}
	pool.giveBack(address, <-waiter.Granted)
}

// giveBack returns what a waiter was granted: a connection, or nil as permission to
// open one.
func (pool *Pool) giveBack(address string, conn *conn) {
	if conn != nil {
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

// Waiting returns how many requests of each workspace wait for a connection.
func (pool *Pool) Waiting() map[string]int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	waiting := make(map[string]int)
	for _, server := range pool.servers {
		server.waiters.Each(func(waiter *share.Waiter[*conn]) {
			if waiter.Workspace != "" {
				waiting[waiter.Workspace]++
			}
		})
	}
	return waiting
}

// releaseSlot lets a waiter open a connection in place of one that was closed.
func (pool *Pool) releaseSlot(address string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	server := pool.server(address)
	server.open--
	server.grant(time.Now())
}

// put returns a connection to the pool, where a waiter gets it if there is one.
func (pool *Pool) put(conn *conn) {
	if latest := time.Now().Add(maxIdleTime); conn.idleDeadline.IsZero() || conn.idleDeadline.After(latest) {
		conn.idleDeadline = latest
	}
	// With the deadline of the last request, the check in reusable would fail.
	_ = conn.SetDeadline(time.Time{})
	pool.mu.Lock()
	defer pool.mu.Unlock()
	server := pool.server(conn.address)
	if server.open > server.maxOpen {
		conn.Close()
		server.open--
	} else {
		server.idle = append(server.idle, conn)
	}
	server.grant(time.Now())
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
	if server.open == 0 && server.waiters.Empty() {
		delete(pool.servers, address)
	}
}
