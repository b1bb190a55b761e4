package link

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"fescuehall/frame"
	"fescuehall/quota"
)

// Reply sends a reply frame of the given type.
type Reply func(kind frame.Type, body []byte)

// Server accepts connections from peers. Set the fields before Run.
type Server struct {
	// Handle is called in a new goroutine for each request. Its context ends
	// when the client cancels the request or the connection ends.
	Handle func(ctx context.Context, request frame.Frame, reply Reply)
	// ConnFailed, if not nil, is called when a connection fails other than by
	// being closed, such as on an invalid frame.
	ConnFailed func(peer string, err error)
	// Memory limits the requests that are being read or handled; nil sets no
	// limit.
	Memory *quota.Quota
	// MaxConns is the number of connections above which further ones are closed
	// at once; 0 sets no limit.
	MaxConns int
	// LeaveTime is how long Shutdown waits for clients that don't close their
	// connections; 0 stands for defaultLeaveTime.
	LeaveTime time.Duration

	mu    sync.Mutex
	conns map[*Conn]bool
	// inFlight counts the requests that are being handled. idle is closed when
	// the last one ends, and nil unless Shutdown waits for that.
	inFlight int
	idle     chan struct{}
	// empty is closed when the last connection ends, and nil unless Shutdown waits
	// for that.
	empty chan struct{}
	// stopping is set by Shutdown, which closes listener. accepted is closed when
	// Run has returned.
	stopping bool
	listener net.Listener
	accepted chan struct{}
}

// maxRequestsPerConn is the number of requests in flight above which a
// connection is closed. It is many times what one host sends to another.
const maxRequestsPerConn = 1024

// defaultLeaveTime is some round trips between failure domains.
const defaultLeaveTime = 250 * time.Millisecond

var (
	errTooManyConns    = errors.New("too many connections from peers")
	errTooManyRequests = errors.New("too many requests in flight on one connection")
)

// acceptPause is how long Run waits when the process has no file descriptor left.
const acceptPause = 50 * time.Millisecond

// Run accepts connections on listener until it is closed or Shutdown is called.
// Its error is net.ErrClosed after Shutdown.
func (server *Server) Run(listener net.Listener) error {
	if !server.accept(listener) {
		listener.Close()
		return net.ErrClosed
	}
	defer close(server.accepted)
	for {
		netConn, err := listener.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return server.acceptFailed(err)
		}
		conn := newConn(netConn)
		if !server.track(conn) {
			conn.close(errTooManyConns)
			server.reportFailure(conn, errTooManyConns)
			continue
		}
		go server.serve(conn)
	}
}

// accept records that Run accepts connections. It returns false after Shutdown.
func (server *Server) accept(listener net.Listener) bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.stopping {
		return false
	}
	server.listener, server.accepted = listener, make(chan struct{})
	return true
}

// acceptFailed closes all connections, unless Shutdown does so later.
func (server *Server) acceptFailed(err error) error {
	server.mu.Lock()
	stopping := server.stopping
	server.mu.Unlock()
	if stopping {
		return net.ErrClosed
	}
	server.closeAll()
	return err
}

// Shutdown accepts no more connections, asks the clients to leave, and waits until
// no request is being handled, all replies were written, and the clients have closed
// their connections, for the last at most LeaveTime. Requests that cross the
// question are accepted; Handle has to refuse them. The error is that of ctx if it
// ends while requests are being handled.
func (server *Server) Shutdown(ctx context.Context) error {
	defer server.closeAll()
	server.endAccept(ctx)
	conns, idle, empty := server.watch()
	for _, conn := range conns {
		conn.askToLeave()
	}
	select {
	case <-idle:
	case <-ctx.Done():
	}
	// Both may be ready.
	select {
	case <-idle:
	default:
		return fmt.Errorf("requests of peers were in flight: %w", ctx.Err())
	}
	for _, conn := range conns {
		conn.flush(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(server.LeaveTime, defaultLeaveTime))
	defer cancel()
	select {
	case <-empty:
	case <-ctx.Done():
	}
	return nil
}

// endAccept closes the listener and waits until all accepted connections are
// tracked.
func (server *Server) endAccept(ctx context.Context) {
	server.mu.Lock()
	server.stopping = true
	listener, accepted := server.listener, server.accepted
	server.mu.Unlock()
	if listener == nil {
		return
	}
	listener.Close()
	select {
	case <-accepted:
	case <-ctx.Done():
	}
}

// watch returns the open connections, a channel that is closed when no request is
// being handled, and one that is closed when no connection is left.
func (server *Server) watch() (conns []*Conn, idle, empty <-chan struct{}) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.idle, server.empty = make(chan struct{}), make(chan struct{})
	idle, empty = server.idle, server.empty
	server.notify()
	return slices.Collect(maps.Keys(server.conns)), idle, empty
}

// notify closes the channels that Shutdown waits for when their time has come.
// server.mu has to be held.
func (server *Server) notify() {
	if server.idle != nil && server.inFlight == 0 {
		close(server.idle)
		server.idle = nil
	}
	if server.empty != nil && len(server.conns) == 0 {
		close(server.empty)
		server.empty = nil
	}
}

// begin counts a request that is being handled, end one that was handled.
func (server *Server) begin() {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.inFlight++
}

func (server *Server) end() {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.inFlight--
	server.notify()
}

func (server *Server) closeAll() {
	server.mu.Lock()
	defer server.mu.Unlock()
	for conn := range server.conns {
		conn.close(net.ErrClosed)
	}
}

// track adds an open connection. It returns false when there are too many.
func (server *Server) track(conn *Conn) bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.conns == nil {
		server.conns = make(map[*Conn]bool)
	}
	if server.MaxConns > 0 && len(server.conns) >= server.MaxConns {
		return false
	}
	server.conns[conn] = true
	return true
}

func (server *Server) untrack(conn *Conn) {
	server.mu.Lock()
	defer server.mu.Unlock()
	delete(server.conns, conn)
	server.notify()
}

func (server *Server) serve(conn *Conn) {
	defer server.untrack(conn)
	ctx, cancelAll := context.WithCancel(context.Background())
	defer cancelAll()
	session := &session{server: server, conn: conn, ctx: ctx, cancels: make(map[uint64]context.CancelFunc)}
	err := conn.read(server.Memory, session.receive)
	if err != io.EOF && !errors.Is(err, net.ErrClosed) {
		server.reportFailure(conn, err)
	}
}

func (server *Server) reportFailure(conn *Conn, err error) {
	if server.ConnFailed != nil {
		server.ConnFailed(conn.net.RemoteAddr().String(), err)
	}
}

// session tracks the requests in flight on one connection.
type session struct {
	server *Server
	conn   *Conn
	ctx    context.Context

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
}

func (session *session) receive(request frame.Frame, release func()) {
	switch request.Type {
	case frame.Cancel:
		session.finish(request.Correlation)
		release()
		return
	case frame.Probe:
		release()
		select {
		case session.conn.sendQueue <- outgoing{frame: frame.Frame{Type: frame.ProbeReply, Correlation: request.Correlation}}:
		default:
			// A connection that can't take the reply is as good as silent.
		}
		return
	}
	ctx, cancel := context.WithCancel(session.ctx)
	session.mu.Lock()
	session.cancels[request.Correlation] = cancel
	inFlight := len(session.cancels)
	session.mu.Unlock()
	if inFlight > maxRequestsPerConn {
		session.finish(request.Correlation)
		release()
		session.conn.close(errTooManyRequests)
		return
	}
	session.server.begin()
	go func() {
		defer session.server.end()
		defer release()
		defer session.finish(request.Correlation)
		session.server.Handle(ctx, request, func(kind frame.Type, body []byte) {
			session.conn.send(session.ctx, outgoing{frame: frame.Frame{Type: kind, Correlation: request.Correlation, Body: body}})
		})
	}()
}

// finish ends the context of a request, after it was handled or cancelled.
func (session *session) finish(correlation uint64) {
	session.mu.Lock()
	cancel := session.cancels[correlation]
	delete(session.cancels, correlation)
	session.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
