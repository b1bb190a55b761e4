package link

import (
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

	mu    sync.Mutex
	conns map[*Conn]bool
	// inFlight counts the requests that are being handled. idle is closed when
	// the last one ends, and nil unless Shutdown waits for that.
	inFlight int
	idle     chan struct{}
}

// maxRequestsPerConn is the number of requests in flight above which a
// connection is closed. It is many times what one host sends to another.
const maxRequestsPerConn = 1024

var (
	errTooManyConns    = errors.New("too many connections from peers")
	errTooManyRequests = errors.New("too many requests in flight on one connection")
)

// acceptPause is how long Run waits when the process has no file descriptor left.
const acceptPause = 50 * time.Millisecond

// Run accepts connections on listener until it is closed.
func (server *Server) Run(listener net.Listener) error {
	for {
		netConn, err := listener.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			server.closeAll()
			return err
		}
		go server.serve(newConn(netConn))
	}
}

// Shutdown waits until no request is being handled and all replies were written,
// and then closes the connections. Requests are accepted meanwhile; Handle has
// to refuse them. The error is that of ctx if it ends first.
func (server *Server) Shutdown(ctx context.Context) error {
	defer server.closeAll()
	server.mu.Lock()
	idle := make(chan struct{})
	if server.idle = idle; server.inFlight == 0 {
		close(idle)
		server.idle = nil
	}
	conns := slices.Collect(maps.Keys(server.conns))
	server.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
		return fmt.Errorf("requests of peers were in flight: %w", ctx.Err())
	}
	for _, conn := range conns {
		conn.flush(ctx)
	}
	return nil
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
	if server.inFlight--; server.inFlight == 0 && server.idle != nil {
		close(server.idle)
		server.idle = nil
	}
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
}

func (server *Server) serve(conn *Conn) {
	if !server.track(conn) {
		conn.close(errTooManyConns)
		server.reportFailure(conn, errTooManyConns)
		return
	}
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
