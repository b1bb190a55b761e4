package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"fescuehall/verdict"
)

const (
	// DialTimeout bounds a new connection: many times the way between failure
	// domains, and short against the callers' deadlines.
	DialTimeout = 500 * time.Millisecond
	// idleMost is how long an unused connection is kept when the peer names no
	// time of its own.
	idleMost = 20 * time.Second
)

// Pool keeps connections to backend servers. Set the fields before use.
type Pool struct {
	// Dial opens a connection; a net.Dialer is used when nil.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Belongs reports whether an answer is the one to the request; nil takes
	// every answer.
	Belongs func(request *Request, answer *Answer) bool
	// Dialed is told of each new connection; it may be nil.
	Dialed func(address string, err error)

	mu    sync.Mutex
	peers map[string]*peer
}

// peer is the connections to one address.
type peer struct {
	idle    []*conn
	open    int
	most    int
	waiters []chan *conn
}

// take returns an idle connection or opens one. When the address has as many
// as it may, it waits for one.
func (pool *Pool) take(ctx context.Context, address string, most int) (*conn, error) {
	pool.mu.Lock()
	peer := pool.peer(address)
	peer.most = most
	if conn := peer.usable(time.Now()); conn != nil {
		pool.mu.Unlock()
		return conn, nil
	}
	if peer.open < most {
		peer.open++
		pool.mu.Unlock()
		return pool.open(ctx, address)
	}
	waiter := make(chan *conn, 1)
	peer.waiters = append(peer.waiters, waiter)
	pool.mu.Unlock()
	select {
	case conn := <-waiter:
		if conn == nil {
			return pool.open(ctx, address)
		}
		return conn, nil
	case <-ctx.Done():
		pool.leave(address, waiter)
		return nil, verdict.New(verdict.NotRun, verdict.Cancelled, "no connection to %s was free: %v", address, context.Cause(ctx))
	}
}

func (pool *Pool) peer(address string) *peer {
	if pool.peers == nil {
		pool.peers = make(map[string]*peer)
	}
	known := pool.peers[address]
	if known == nil {
		known = &peer{}
		pool.peers[address] = known
	}
	return known
}

// usable returns the idle connection used last, and closes those found dead.
func (peer *peer) usable(now time.Time) *conn {
	for len(peer.idle) > 0 {
		last := peer.idle[len(peer.idle)-1]
		peer.idle = peer.idle[:len(peer.idle)-1]
		if now.Before(last.idleTo) && last.quiet() {
			return last
		}
		last.Close()
		peer.open--
	}
	return nil
}

// quiet reports whether the peer has neither closed the connection nor sent
// anything since the last answer.
func (conn *conn) quiet() bool {
	raw, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// leave withdraws a waiter. What it was handed meanwhile is passed on.
func (pool *Pool) leave(address string, waiter chan *conn) {
	pool.mu.Lock()
	peer := pool.peer(address)
	for place, waiting := range peer.waiters {
		if waiting == waiter {
			peer.waiters = append(peer.waiters[:place], peer.waiters[place+1:]...)
			pool.mu.Unlock()
			return
		}
	}
	pool.mu.Unlock()
	if conn := <-waiter; conn != nil {
		pool.put(conn)
		return
	}
	pool.release(address)
}

func (pool *Pool) open(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	opened, err := pool.dial(ctx, address)
	if pool.Dialed != nil {
		pool.Dialed(address, err)
	}
	if err != nil {
		pool.release(address)
		return nil, verdict.New(verdict.NotRun, verdict.Unreachable, "%v", err)
	}
	return &conn{Conn: opened, address: address, reader: bufio.NewReaderSize(opened, readBuffer)}, nil
}

func (pool *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	if pool.Dial != nil {
		return pool.Dial(ctx, address)
	}
	dialer := net.Dialer{KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", address)
}

// release gives the place of a closed connection to a waiter.
func (pool *Pool) release(address string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	peer := pool.peer(address)
	if waiter := peer.next(); waiter != nil {
		waiter <- nil
		return
	}
	peer.open--
}

func (peer *peer) next() chan *conn {
	if len(peer.waiters) == 0 {
		return nil
	}
	first := peer.waiters[0]
	peer.waiters = peer.waiters[1:]
	return first
}

// put gives a connection to a waiter or keeps it idle.
func (pool *Pool) put(conn *conn) {
	if most := time.Now().Add(idleMost); conn.idleTo.IsZero() || conn.idleTo.After(most) {
		conn.idleTo = most
	}
	// The deadline of the last request must not end the check for quiet.
	_ = conn.SetDeadline(time.Time{})
	pool.mu.Lock()
	defer pool.mu.Unlock()
	peer := pool.peer(conn.address)
	if waiter := peer.next(); waiter != nil {
		waiter <- conn
		return
	}
	if peer.open > peer.most {
		conn.Close()
		peer.open--
		return
	}
	peer.idle = append(peer.idle, conn)
}

func (pool *Pool) drop(conn *conn) {
	conn.Close()
	pool.release(conn.address)
}

// Forget closes the idle connections to an address that is no longer in use.
func (pool *Pool) Forget(address string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	peer := pool.peers[address]
	if peer == nil {
		return
	}
	for _, conn := range peer.idle {
		conn.Close()
		peer.open--
	}
	peer.idle = nil
	if peer.open == 0 && len(peer.waiters) == 0 {
		delete(pool.peers, address)
	}
}
