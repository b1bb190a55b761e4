package frame_test

import (
	"bytes"
	"errors"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/frame"
	"fescuehall/message"
)

func encode(t testing.TB, sent frame.Frame) []byte {
	encoded, err := sent.Append(nil)
	qt.Assert(t, err, qt.IsNil)
	return encoded
}

func TestRoundTrip(t *testing.T) {
	sent := frame.Frame{Type: frame.SubReply, Correlation: 7, Body: bytes.Repeat([]byte("x"), 200_000)}
	reader := bytes.NewReader(append(encode(t, sent), encode(t, frame.Frame{Type: frame.Cancel, Body: []byte{}})...))
	got, err := frame.Read(reader)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, sent)
	_, err = frame.Read(reader)
	qt.Assert(t, err, qt.IsNil)
	_, err = frame.Read(reader)
	qt.Assert(t, err, qt.Equals, io.EOF)
}

func TestInvalidFrames(t *testing.T) {
	valid := encode(t, frame.Frame{Type: frame.SubRequest, Correlation: 1, Body: []byte("body")})
	change := func(index int, value byte) []byte {
		changed := bytes.Clone(valid)
		changed[index] = value
		return changed
	}
	tests := []struct {
		name  string
		bytes []byte
		field string
		err   error
	}{
		{name: "body too long", bytes: change(0, 0xff), field: "Length"},
		{name: "unknown version", bytes: change(4, 2), field: "Version"},
		{name: "unknown type", bytes: change(5, 99), field: "Type"},
		{name: "type 0", bytes: change(5, 0), field: "Type"},
		{name: "truncated in the header", bytes: valid[:9], err: io.ErrUnexpectedEOF},
		{name: "truncated in the body", bytes: valid[:len(valid)-1], err: io.ErrUnexpectedEOF},
		{name: "truncated before the body", bytes: valid[:14], err: io.ErrUnexpectedEOF},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := frame.Read(bytes.NewReader(test.bytes))
			if test.err != nil {
				qt.Assert(t, err, qt.Equals, test.err)
				return
			}
			var invalid *frame.Error
			qt.Assert(t, errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, invalid.Field, qt.Equals, test.field)
		})
	}
}

// FuzzRead passes arbitrary bytes to Read and to the message decoders, which
// must not panic. A frame that was read must be encoded to the same bytes.
func FuzzRead(f *testing.F) {
	request := &message.SubRequest{RequestID: "r", Service: "Desk", Snapshot: "S1", Shard: 3}
	body, err := request.MarshalMsg(nil)
	qt.Assert(f, err, qt.IsNil)
	f.Add(encode(f, frame.Frame{Type: frame.SubRequest, Correlation: 1, Body: body}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1, 1, 0, 0, 0, 0, 0, 0, 0, 0})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		got, err := frame.Read(bytes.NewReader(content))
		if err != nil {
			return
		}
		encoded, err := got.Append(nil)
		if err != nil || !bytes.Equal(encoded, content[:len(encoded)]) {
			t.Fatalf("frame %v is written as %x", got, encoded)
		}
		(&message.SubRequest{}).UnmarshalMsg(got.Body)
		(&message.SubReply{}).UnmarshalMsg(got.Body)
		(&message.ConfigDelta{}).UnmarshalMsg(got.Body)
		(&message.Gossip{}).UnmarshalMsg(got.Body)
	})
}
