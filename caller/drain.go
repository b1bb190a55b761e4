package caller

import (
	"container/list"
	"context"
	"fmt"
	"time"
)

const (
	// drainInterval is how often connections are checked for requests in progress.
	drainInterval = 10 * time.Millisecond
	// firstRequestTime is how long a new connection is kept open for its first request.
	firstRequestTime = 500 * time.Millisecond
)

// drain ends connections between two requests, and waits until all are closed. When
// ctx ends before, it returns the error of ctx.
func (limiter *Limiter) drain(ctx context.Context) error {
	limiter.mu.Lock()
	limiter.draining = true
	limiter.mu.Unlock()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		open := limiter.endIdle()
		if open == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			limiter.mu.Lock()
			defer limiter.mu.Unlock()
			limiter.cut = true
			return fmt.Errorf("%d connections of callers were open: %w", limiter.open, ctx.Err())
		}
	}
}

// endIdle makes reads of the connections fail that are waiting for a request, and
// returns the number of open connections. The HTTP server closes a connection whose
// read fails.
func (limiter *Limiter) endIdle() (open int) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	for _, conns := range []*list.List{&limiter.unused, &limiter.idle} {
		for element := conns.Front(); element != nil; element = element.Next() {
			if conn := element.Value.(*limitedConn); conn.drained() {
				// If it fails, the connection is closed already.
				_ = conn.Conn.SetReadDeadline(time.Unix(1, 0))
			}
		}
	}
	return limiter.open
}

// drained reports whether the connection is to be closed unless a request has arrived:
// the host drains its connections and has read nothing of a request from this one.
func (conn *limitedConn) drained() bool {
	limiter := conn.limiter
	switch {
	case !limiter.draining || conn.head.started:
		return false
	case conn.list == &limiter.unused:
		return time.Since(conn.acceptedAt) >= firstRequestTime
	}
	return conn.list == &limiter.idle
}

// resume lets reads wait again that endIdle has made to fail, since a request has
// arrived.
func (conn *limitedConn) resume() {
	// If it fails, the connection is closed already.
	_ = conn.Conn.SetReadDeadline(time.Time{})
}
