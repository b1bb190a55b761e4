package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
)

// Server serves callers' HTTP requests on connections that a Limiter counts. Its
// Shutdown, unlike that of http.Server, closes no connection from which a request was
// read. Set the fields before Serve.
type Server struct {
	// HTTP has the handler and the timeouts. Serve wraps its Handler and ConnState, and
	// sets ConnContext.
	HTTP    *http.Server
	Limiter *Limiter

	mu       sync.Mutex
	listener net.Listener
	// accepted is closed when the last connection has been accepted.
	accepted chan struct{}
}

// Serve serves the connections of the listener until it is closed. It returns the
// error of the listener.
func (server *Server) Serve(listener net.Listener) error {
	accepted := make(chan struct{})
	defer close(accepted)
	server.mu.Lock()
	server.listener, server.accepted = listener, accepted
	server.mu.Unlock()
	server.HTTP.Handler = handler(server.HTTP.Handler)
	server.HTTP.ConnContext = Attach
	stateChanged := server.HTTP.ConnState
	server.HTTP.ConnState = func(conn net.Conn, state http.ConnState) {
		if limited, ok := conn.(*limitedConn); ok && state == http.StateIdle {
			limited.end()
		}
		if stateChanged != nil {
			stateChanged(conn, state)
		}
	}
	return server.HTTP.Serve(&limitedListener{Listener: listener, limiter: server.Limiter})
}

// Shutdown closes the listener and ends all connections: those with a request in
// progress when it is answered, the others when nothing more has arrived on them. The
// handler has to set Connection: close in its answers. When ctx ends, Shutdown cuts
// the connections that are left, and returns the error of ctx.
func (server *Server) Shutdown(ctx context.Context) error {
	server.mu.Lock()
	listener, accepted := server.listener, server.accepted
	server.mu.Unlock()
	if listener == nil {
		return nil
	}
	listenerErr := listener.Close()
	select {
	case <-accepted:
	case <-ctx.Done():
	}
	drainErr := server.Limiter.drain(ctx)
	// The only error is that the listener is closed.
	_ = server.HTTP.Close()
	return errors.Join(listenerErr, drainErr)
}

// handler returns a handler that marks connections as in use while next handles
// their requests. A request whose connection was closed meanwhile does not reach next.
func handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		attached, ok := request.Context().Value(contextKey{}).(*conn)
		if !ok || attached.limited == nil {
			next.ServeHTTP(writer, request)
			return
		}
		if !attached.limited.begin() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(writer, request)
		// A handler that panics leaves the request unanswered.
		attached.limited.setAnswered()
	})
}
