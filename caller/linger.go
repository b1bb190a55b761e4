package caller

import (
	"errors"
	"io"
	"math"
	"net"
	"os"
	"time"
)

// lingerTime is how long a connection that this host closes stays open after the
// caller last acknowledged a part of the answer.
const lingerTime = 500 * time.Millisecond

// linger closes a connection in such a way that the last answer on it arrives. A
// connection that is closed with unread bytes is reset, which drops what the kernel
// has not sent yet and may overtake the rest. So linger ends sending first, and reads
// until the caller closes its end or acknowledges nothing more.
func linger(conn *net.TCPConn) {
	// The answer has been sent, or its caller has left.
	defer conn.Close()
	if conn.CloseWrite() != nil {
		return
	}
	for left := math.MaxInt; ; {
		if conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
			return
		}
		if _, err := io.Copy(io.Discard, conn); !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		before := left
		if left = unacknowledged(conn); left == 0 || left >= before {
			return
		}
	}
}
