package pace_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/pace"
)

// link delivers blocks of bytes at an interval until its context ends.
type link struct {
	ctx      context.Context
	block    int
	interval time.Duration
}

func (link *link) Read(buf []byte) (int, error) {
	select {
	case <-time.After(link.interval):
		return min(link.block, len(buf)), nil
	case <-link.ctx.Done():
		return 0, context.Cause(link.ctx)
	}
}

// A transfer lasts as long as its bytes arrive at the minimum rate, however large it
// is.
func TestTransfer(t *testing.T) {
	const timeout = 400 * time.Millisecond
	for _, test := range []struct {
		name     string
		size     int64
		block    int
		interval time.Duration
		err      error
		took     time.Duration
	}{
		{name: "large on a slow link", size: 2_000_000, block: 8_000, interval: 16 * time.Millisecond, took: 4 * time.Second},
		{name: "no byte", size: 10, block: 1, interval: time.Minute, err: context.DeadlineExceeded, took: timeout},
		{name: "one byte a quarter of a second", size: 10_000, block: 1, interval: timeout / 4, err: context.DeadlineExceeded, took: timeout},
		{name: "below the minimum rate", size: 1_000_000, block: 8_000, interval: 200 * time.Millisecond, err: context.DeadlineExceeded, took: 460 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				ctx, timer := pace.WithTimeout(context.Background(), timeout)
				defer timer.Stop()
				_, err := io.CopyN(io.Discard, timer.Reader(&link{ctx, test.block, test.interval}), test.size)
				qt.Check(t, err, qt.Equals, test.err)
				qt.Check(t, time.Since(started).Round(10*time.Millisecond), qt.Equals, test.took)
			})
		})
	}
}

func TestStopEndsTheContext(t *testing.T) {
	ctx, timer := pace.WithTimeout(context.Background(), time.Hour)
	timer.Stop()
	qt.Assert(t, context.Cause(ctx), qt.Equals, context.Canceled)
}
