// Package frame reads and writes the frames that entry hosts exchange over TCP:
// a header of fixed length and a msgpack body.
package frame

import (
	"encoding/binary"
	"fmt"
	"io"

	"fescuehall/quota"
)

// Version is the protocol version, which each header contains.
const Version = 1

// MaxBodyBytes is the maximum length of a frame's body.
const MaxBodyBytes = 16 << 20

const headerBytes = 14

// Type is the type of the message in the body.
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
	AllowanceAsk
	AllowanceGrant
	lastType = AllowanceGrant
)

// Frame is a message. A reply has the Correlation of its request, which is
// unique among the requests in flight on a connection.
type Frame struct {
	Type        Type
	Correlation uint64
	Body        []byte
}

// Error is the error for an invalid frame. Nothing more can be read from its
// connection.
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

// Read reads one frame. It returns io.EOF at the end of the stream between
// frames, io.ErrUnexpectedEOF for a truncated frame and *Error for an invalid
// header.
func Read(reader io.Reader) (Frame, error) {
	return ReadWithin(reader, nil)
}

// ReadWithin is Read with the memory that the body takes reserved. It returns
// quota.ErrExhausted when too little is left.
func ReadWithin(reader io.Reader, memory *quota.Reservation) (Frame, error) {
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
	body, err := readBody(reader, int(length), memory)
	if err != nil {
		return Frame{}, err
	}
	return Frame{Type: Type(header[5]), Correlation: binary.BigEndian.Uint64(header[6:]), Body: body}, nil
}

// readBody allocates memory as bytes arrive, so that a header with a false
// length can't make it allocate much.
func readBody(reader io.Reader, length int, memory *quota.Reservation) ([]byte, error) {
	const initialBytes = 64 << 10
	if !memory.Reserve(min(length, initialBytes)) {
		return nil, quota.ErrExhausted
	}
	body := make([]byte, min(length, initialBytes))
	filled := 0
	for filled < length {
		if filled == len(body) {
			growth := min(len(body), length-filled)
			if !memory.Reserve(growth) {
				return nil, quota.ErrExhausted
			}
			body = append(body, make([]byte, growth)...)
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
