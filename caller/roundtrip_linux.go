package caller

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// roundTrip returns what the kernel measured while the connection was opened, 0
// when it tells nothing.
func roundTrip(accepted net.Conn) time.Duration {
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	var measured time.Duration
	// A closed connection has no round trip, and its request ends by itself.
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			measured = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	return measured
}
