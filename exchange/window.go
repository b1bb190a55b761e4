package exchange

// window limits the requests that this host has in progress at a server, so
// that they wait here, in the order of their urgency, and not in the server's
// queue. The zero value sets no limit.
type window struct {
	// size is the limit, 0 for none.
	size float64
}

const (
	// windowDecrease is the factor by which the limit shrinks with each report of
	// a long queue. windowIncrease is what a report of a short one adds, divided by
	// the limit.
	windowDecrease = 0.8
	windowIncrease = 0.5
	// maxWindow is the limit above which there is none.
	maxWindow = 8
)

func (window *window) admits(inUse int) bool {
	return window.size == 0 || float64(inUse) < max(1, window.size)
}

// adjust adapts the limit to the queue that the server reports, with the number
// of requests in progress there. A queue is long when it has more than one
// request for every two slots.
func (window *window) adjust(waiting, slots, inUse int) {
	switch {
	case 2*waiting > slots:
		if window.size == 0 {
			window.size = float64(inUse)
		}
		window.size = max(1, window.size*windowDecrease)
	case window.size > 0 && waiting == 0:
		window.size += windowIncrease / window.size
		if window.size >= maxWindow {
			window.size = 0
		}
	}
}
