package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started as a time of which only
// differences are meaningful. Unlike time.Now, it includes the time for which
// the machine was suspended, and no one sets it.
func Now() time.Time {
	var reading unix.Timespec
	// Falls back to the steady clock where the kernel lacks this one.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return steadyNow()
	}
	return time.Unix(reading.Unix())
}
