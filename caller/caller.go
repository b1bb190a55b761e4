// Package caller limits the connections of callers, and measures the network
// delay between a caller and this host, so that an answer can be sent just early
// enough to arrive in time.
package caller

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// conn is a caller's connection.
type conn struct {
	// roundTrip is the round-trip time to the caller, 0 when it is unknown.
	roundTrip time.Duration
	// requests counts the requests on the connection.
	requests atomic.Int64
	// limited is set when a Limiter counts the connection.
	limited *limitedConn
}

type contextKey struct{}

// Attach returns a context that carries the round-trip time of a new connection
// to the requests on it. It is meant for http.Server.ConnContext.
func Attach(ctx context.Context, accepted net.Conn) context.Context {
	attached := &conn{}
	if limited, ok := accepted.(*limitedConn); ok {
		attached.limited = limited
		accepted = limited.Conn
	}
	attached.roundTrip = roundTrip(accepted)
	return context.WithValue(ctx, contextKey{}, attached)
}

// NetworkDelay returns the time that a request and its answer spend on the
// network, 0 when it is unknown. The first request of a connection includes the
// round trip that opened the connection, so NetworkDelay must be called exactly
// once for each request.
func NetworkDelay(ctx context.Context) time.Duration {
	conn, ok := ctx.Value(contextKey{}).(*conn)
	if !ok {
		return 0
	}
	if conn.requests.Add(1) == 1 {
		return 2 * conn.roundTrip
	}
	return conn.roundTrip
}
