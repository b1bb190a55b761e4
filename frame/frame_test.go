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

func TestBadFrames(t *testing.T) {
	good := encode(t, frame.Frame{Type: frame.SubRequest, Correlation: 1, Body: []byte("body")})
	change := func(place int, value byte) []byte {
		changed := bytes.Clone(good)
		changed[place] = value
		return changed
	}
	tests := []struct {
		name  string
		bytes []byte
		field string
		err   error
	}{
		{name: "too long", bytes: change(0, 0xff), field: "Length"},
		{name: "unknown version", bytes: change(4, 2), field: "Version"},
		{name: "unknown type", bytes: change(5, 99), field: "Type"},
		{name: "no type", bytes: change(5, 0), field: "Type"},
		{name: "cut in the header", bytes: good[:9], err: io.ErrUnexpectedEOF},
		{name: "cut in the body", bytes: good[:len(good)-1], err: io.ErrUnexpectedEOF},
		{name: "cut before the body", bytes: good[:14], err: io.ErrUnexpectedEOF},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := frame.Read(bytes.NewReader(test.bytes))
			if test.err != nil {
				qt.Assert(t, err, qt.Equals, test.err)
				return
			}
			var bad *frame.Error
			qt.Assert(t, errors.As(err, &bad), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, bad.Field, qt.Equals, test.field)
		})
	}
}

// FuzzRead feeds bytes to the frame reader and the decoders behind it. What is
// read is written again to the same bytes.
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
		again, err := got.Append(nil)
		if err != nil || !bytes.Equal(again, content[:len(again)]) {
			t.Fatalf("frame %v is written as %x", got, again)
		}
		(&message.SubRequest{}).UnmarshalMsg(got.Body)
		(&message.SubReply{}).UnmarshalMsg(got.Body)
		(&message.ConfigDelta{}).UnmarshalMsg(got.Body)
		(&message.Gossip{}).UnmarshalMsg(got.Body)
	})
}
