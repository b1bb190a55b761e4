// Package frame reads and writes the frames that entry hosts exchange over
// TCP: a fixed header and a msgpack body.
package frame

import (
	"encoding/binary"
	"fmt"
	"io"
)

// Version is the protocol version in each header.
const Version = 1

// MaxBodyBytes bounds the body of a frame.
const MaxBodyBytes = 16 << 20

const headerBytes = 14

// Type says what the body holds.
type Type byte

// Types of frames.
const (
	SubRequest Type = iota + 1
	SubReply
	Cancel
	ConfigFetch
	ConfigDelta
	GatherRequest
	GatherReply
	FeedFetch
	FeedNews
	Probe
	ProbeReply
	lastType = ProbeReply
)

// Frame is one message. Correlation matches a reply to its request on a
// connection.
type Frame struct {
	Type        Type
	Correlation uint64
	Body        []byte
}

// Error says why a connection's bytes are not a frame. The connection can't
// be read further.
type Error struct {
	Field string
	Value uint64
	Limit uint64
}

// Error implements error.
func (err *Error) Error() string {
	return fmt.Sprintf("frame field %q has value %d, want at most %d", err.Field, err.Value, err.Limit)
}

// Append appends the encoded frame to buf.
func (frame Frame) Append(buf []byte) ([]byte, error) {
	if len(frame.Body) > MaxBodyBytes {
		return buf, &Error{Field: "Length", Value: uint64(len(frame.Body)), Limit: MaxBodyBytes}
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(frame.Body)))
	buf = append(buf, Version, byte(frame.Type))
	buf = binary.BigEndian.AppendUint64(buf, frame.Correlation)
	return append(buf, frame.Body...), nil
}

// Read reads one frame. It returns io.EOF at the end between frames,
// io.ErrUnexpectedEOF for a frame cut short and *Error for a bad header.
func Read(reader io.Reader) (Frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return Frame{}, err
	}
	if header[4] != Version {
		return Frame{}, &Error{Field: "Version", Value: uint64(header[4]), Limit: Version}
	}
	if header[5] == 0 || Type(header[5]) > lastType {
		return Frame{}, &Error{Field: "Type", Value: uint64(header[5]), Limit: uint64(lastType)}
	}
	length := binary.BigEndian.Uint32(header[:4])
	if length > MaxBodyBytes {
		return Frame{}, &Error{Field: "Length", Value: uint64(length), Limit: MaxBodyBytes}
	}
	body, err := readBody(reader, int(length))
	if err != nil {
		return Frame{}, err
	}
	return Frame{Type: Type(header[5]), Correlation: binary.BigEndian.Uint64(header[6:]), Body: body}, nil
}

// readBody allocates as bytes arrive, so that a false length costs no memory.
func readBody(reader io.Reader, length int) ([]byte, error) {
	const firstBytes = 64 << 10
	body := make([]byte, min(length, firstBytes))
	filled := 0
	for filled < length {
		if filled == len(body) {
			body = append(body, make([]byte, min(len(body), length-filled))...)
		}
		count, err := io.ReadFull(reader, body[filled:])
		filled += count
		if err == io.EOF {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}
