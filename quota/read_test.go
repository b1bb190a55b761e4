package quota_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"fescuehall/quota"
)

// endless is a reader that never ends. It counts the bytes read.
type endless struct {
	read int
}

// Read implements io.Reader.
func (endless *endless) Read(buf []byte) (int, error) {
	endless.read += len(buf)
	return len(buf), nil
}

func TestReadAll(t *testing.T) {
	const limit = 1000
	tests := []struct {
		name   string
		reader io.Reader
		length int
		failed bool
	}{
		{name: "empty", reader: strings.NewReader("")},
		{name: "at the limit", reader: strings.NewReader(strings.Repeat("x", limit)), length: limit},
		{name: "a byte at a time", reader: iotest.OneByteReader(strings.NewReader(strings.Repeat("x", limit))), length: limit},
		{name: "end with the last bytes", reader: iotest.DataErrReader(strings.NewReader("abc")), length: 3},
		{name: "one byte too long", reader: strings.NewReader(strings.Repeat("x", limit+1)), failed: true},
		{name: "without end", reader: &endless{}, failed: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			content, err := quota.ReadAll(test.reader, "part", limit, nil)
			if !test.failed {
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, content, qt.HasLen, test.length)
				return
			}
			var limitErr *quota.LimitError
			qt.Assert(t, errors.As(err, &limitErr), qt.IsTrue)
			qt.Assert(t, limitErr.What, qt.Equals, "part")
			qt.Assert(t, limitErr.Received > limit, qt.IsTrue)
		})
	}
}

func TestReadAllStopsAtTheLimitAndTheQuota(t *testing.T) {
	reader := &endless{}
	_, err := quota.ReadAll(reader, "part", 10_000, nil)
	qt.Assert(t, err, qt.ErrorMatches, "part of at least 10001 bytes exceeds the limit of 10000")
	qt.Assert(t, reader.read, qt.Equals, 10_001)
	shared := &quota.Quota{Bytes: 4096}
	reservation := shared.NewReservation()
	_, err = quota.ReadAll(&endless{}, "part", 1<<30, reservation)
	qt.Assert(t, err, qt.ErrorIs, quota.ErrExhausted)
	qt.Assert(t, shared.Used() <= shared.Bytes, qt.IsTrue)
	reservation.Release()
	qt.Assert(t, shared.Used(), qt.Equals, int64(0))
}
