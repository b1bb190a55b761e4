// Package caller measures how long the ways between a caller and this host take,
// so that an answer can be sent just in time for it.
package caller

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// conn is a caller's connection.
type conn struct {
	// roundTrip is the time to the caller and back, 0 when it is not known.
	roundTrip time.Duration
	requests  atomic.Int64
}

type contextKey struct{}

// Attach remembers a new connection for the requests on it, for
// http.Server.ConnContext.
func Attach(ctx context.Context, accepted net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, &conn{roundTrip: roundTrip(accepted)})
}

// Ways returns the time that a request and its answer spend on their ways,
// 0 when it is not known. The first request of a connection has waited for the
// connection as well. It is called once for each request.
func Ways(ctx context.Context) time.Duration {
	known, ok := ctx.Value(contextKey{}).(*conn)
	if !ok {
		return 0
	}
	if known.requests.Add(1) == 1 {
		return 2 * known.roundTrip
	}
	return known.roundTrip
}
