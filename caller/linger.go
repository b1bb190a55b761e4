package caller

import (
	"net"
	"time"
)

const (
	// lingerTime is how long a connection that this host closes stays open after the
	// caller last acknowledged a part of the answer.
	lingerTime = 500 * time.Millisecond
	// The caller's acknowledgements are checked after minLingerPoll first, and then
	// after ever longer times up to maxLingerPoll.
	minLingerPoll = time.Millisecond
	maxLingerPoll = 20 * time.Millisecond
)

// linger closes a connection in such a way that the last answer on it arrives. A
// connection that is closed with unread bytes is reset, which drops what the kernel
// has not sent yet. So linger ends sending first, and waits until the caller has
// acknowledged everything, or acknowledges nothing more. It reads nothing, since a
// request that was read would need an answer.
func linger(conn *net.TCPConn) {
	// The answer has arrived, or its caller has left.
	defer conn.Close()
	if conn.CloseWrite() != nil {
		return
	}
	left, advancedAt := unacknowledged(conn), time.Now()
	for poll := minLingerPoll; left > 0 && time.Since(advancedAt) < lingerTime; poll = min(2*poll, maxLingerPoll) {
		time.Sleep(poll)
		if now := unacknowledged(conn); now < left {
			left, advancedAt = now, time.Now()
		}
	}
}
