package uptime

import "time"

var started = time.Now()

// steadyNow returns the steady clock's reading without a time of day.
func steadyNow() time.Time {
	return time.Unix(0, 0).Add(time.Since(started))
}
