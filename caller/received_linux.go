package caller

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readReceived reads bytes that have arrived, without waiting for more. It returns
// os.ErrDeadlineExceeded when there are none.
func readReceived(conn net.Conn, buf []byte) (int, error) {
	rawConn, ok := conn.(syscall.Conn)
	if !ok {
		return 0, os.ErrDeadlineExceeded
	}
	raw, err := rawConn.SyscallConn()
	if err != nil {
		return 0, err
	}
	// A deadline that has passed would prevent the read.
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	var count int
	var readErr error
	if err := raw.Read(func(fd uintptr) bool {
		count, readErr = unix.Read(int(fd), buf)
		return true
	}); err != nil {
		return 0, err
	}
	switch {
	case readErr == unix.EAGAIN || readErr == unix.EINTR:
		return 0, os.ErrDeadlineExceeded
	case readErr != nil:
		return 0, readErr
	case count == 0:
		return 0, io.EOF
	}
	return count, nil
}
