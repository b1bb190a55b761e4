// Package pace bounds a transfer by its progress instead of by its duration. One that
// takes long because it is large continues, and one that has stopped ends soon.
package pace

import (
	"context"
	"io"
	"sync"
	"time"
)

// MinRate is the rate that a transfer has to keep, in bytes per second. It is a tenth
// of the smallest host's link, since requests use the link too.
const MinRate = 250_000

// Timer ends the context of a transfer that is too slow.
type Timer struct {
	cancel context.CancelCauseFunc

	mu       sync.Mutex
	timer    *time.Timer
	deadline time.Time
}

// WithTimeout returns a context that ends after the timeout, extended by the time that
// the bytes read so far take at MinRate. Its cause is then context.DeadlineExceeded.
// Stop has to be called after the transfer.
func WithTimeout(parent context.Context, timeout time.Duration) (context.Context, *Timer) {
	ctx, cancel := context.WithCancelCause(parent)
	return ctx, &Timer{
		cancel:   cancel,
		timer:    time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) }),
		deadline: time.Now().Add(timeout),
	}
}

// Stop ends the context.
func (timer *Timer) Stop() {
	timer.mu.Lock()
	defer timer.mu.Unlock()
	timer.timer.Stop()
	timer.cancel(context.Canceled)
}

// Reader returns a reader whose reads extend the timeout.
func (timer *Timer) Reader(reader io.Reader) io.Reader {
	return &pacedReader{reader: reader, timer: timer}
}

type pacedReader struct {
	reader io.Reader
	timer  *Timer
}

// Read implements io.Reader.
func (pacedReader *pacedReader) Read(buf []byte) (int, error) {
	count, err := pacedReader.reader.Read(buf)
	pacedReader.timer.extend(count)
	return count, err
}

func (timer *Timer) extend(bytes int) {
	timer.mu.Lock()
	defer timer.mu.Unlock()
	timer.deadline = timer.deadline.Add(time.Duration(bytes) * time.Second / MinRate)
	// A timer that has fired has ended the context.
	if timer.timer.Stop() {
		timer.timer.Reset(time.Until(timer.deadline))
	}
}
