//go:build !linux

package uptime

import "time"

// Now returns the steady clock's reading; a clock that includes suspension is
// used on Linux only.
func Now() time.Time {
	return steadyNow()
}
