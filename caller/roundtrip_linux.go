package caller

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// roundTrip returns the round-trip time that the kernel measured while the
// connection was opened, 0 when it is unavailable.
func roundTrip(accepted net.Conn) time.Duration {
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	var rtt time.Duration
	// The error is ignored: it means that the connection is closed, and then its
	// requests end by themselves.
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			rtt = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	return rtt
}
