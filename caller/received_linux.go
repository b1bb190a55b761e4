package caller

import (
	"io"
	"net"
	"os"
	"syscall"

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
	var count int
	var readErr error
	// The deadline of a drain has passed, and would prevent raw.Read.
	if err := raw.Control(func(fd uintptr) {
		count, readErr = unix.Read(int(fd), buf)
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
