package caller

import (
	"net"

	"golang.org/x/sys/unix"
)

// unacknowledged returns the number of bytes that the caller has not acknowledged, 0
// when it is unknown.
func unacknowledged(conn *net.TCPConn) int {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	count := 0
	// The error is ignored: it means that the connection is closed.
	_ = raw.Control(func(fd uintptr) {
		if queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			count = queued
		}
	})
	return count
}
