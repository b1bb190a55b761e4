package link_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/frame"
	"fescuehall/link"
	"fescuehall/quota"
	"fescuehall/verdict"
)

// largeFrame returns the header of a frame whose body has the maximum length.
func largeFrame(kind frame.Type) []byte {
	header := binary.BigEndian.AppendUint32(nil, frame.MaxBodyBytes)
	header = append(header, frame.Version, byte(kind))
	return binary.BigEndian.AppendUint64(header, 1)
}

// Peers that send large frames at once take no more memory than the quota. Their
// connections are closed, and other peers are served.
func TestLargeRequestsStayWithinMemory(t *testing.T) {
	memory := &quota.Quota{Bytes: 4 << 20}
	failed := make(chan error, 10)
	listener := listen(t)
	server := &link.Server{
		Memory:     memory,
		Handle:     func(_ context.Context, request frame.Frame, reply link.Reply) { reply(frame.SubReply, request.Body) },
		ConnFailed: func(_ string, err error) { failed <- err },
	}
	go server.Run(listener)
	for range 4 {
		go func() {
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				return
			}
			defer conn.Close()
			conn.Write(largeFrame(frame.SubRequest))
			// The write fails once the server closes the connection.
			conn.Write(make([]byte, frame.MaxBodyBytes))
		}()
	}
	for range 4 {
		qt.Assert(t, <-failed, qt.ErrorIs, quota.ErrExhausted)
		qt.Assert(t, memory.Used() <= memory.Bytes, qt.IsTrue)
	}
	client := &link.Client{Address: listener.Addr().String(), Memory: memory}
	defer client.Close()
	reply, err := client.Call(context.Background(), frame.SubRequest, bytes.Repeat([]byte("x"), 1<<20))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Body, qt.HasLen, 1<<20)
}

// A reply that does not fit into the memory fails its call, which may have run.
// Replies that nobody waits for do not stay in memory.
func TestLargeRepliesStayWithinMemory(t *testing.T) {
	memory := &quota.Quota{Bytes: 1 << 20}
	listener := listen(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for range 50 {
					unwanted, _ := frame.Frame{Type: frame.SubReply, Correlation: 99, Body: make([]byte, 100<<10)}.Append(nil)
					conn.Write(unwanted)
				}
				frame.Read(conn)
				conn.Write(largeFrame(frame.SubReply))
				conn.Write(make([]byte, frame.MaxBodyBytes))
			}()
		}
	}()
	client := &link.Client{Address: listener.Addr().String(), Memory: memory}
	defer client.Close()
	_, err := client.Call(context.Background(), frame.SubRequest, []byte("x"))
	qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, verdict.MayHaveRun)
	qt.Assert(t, verdict.FailureOf(err).Code, qt.Equals, verdict.ConnectionLost)
	qt.Assert(t, memory.Used(), qt.Equals, int64(0))
}

// A peer that sends more requests than one host has in flight is cut off.
func TestTooManyRequestsOnOneConnection(t *testing.T) {
	failed := make(chan error, 1)
	listener := listen(t)
	server := &link.Server{
		Handle:     func(ctx context.Context, _ frame.Frame, _ link.Reply) { <-ctx.Done() },
		ConnFailed: func(_ string, err error) { failed <- err },
	}
	go server.Run(listener)
	conn, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	var requests []byte
	for correlation := range uint64(2000) {
		requests, _ = frame.Frame{Type: frame.SubRequest, Correlation: correlation}.Append(requests)
	}
	conn.Write(requests)
	// The server answers nothing, so the read ends with the connection.
	conn.SetReadDeadline(time.Now().Add(time.Minute))
	_, err = io.ReadAll(conn)
	if timeout, ok := err.(net.Error); ok {
		qt.Assert(t, timeout.Timeout(), qt.IsFalse)
	}
}

// Connections beyond the maximum are closed, and the open ones keep working.
func TestTooManyConnections(t *testing.T) {
	failed := make(chan error, 10)
	listener := listen(t)
	server := &link.Server{
		MaxConns:   1,
		Handle:     func(_ context.Context, request frame.Frame, reply link.Reply) { reply(frame.SubReply, request.Body) },
		ConnFailed: func(_ string, err error) { failed <- err },
	}
	go server.Run(listener)
	client := &link.Client{Address: listener.Addr().String()}
	defer client.Close()
	_, err := client.Call(context.Background(), frame.SubRequest, []byte("x"))
	qt.Assert(t, err, qt.IsNil)
	second, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer second.Close()
	qt.Assert(t, <-failed, qt.ErrorMatches, "too many connections from peers")
	_, err = client.Call(context.Background(), frame.SubRequest, []byte("x"))
	qt.Assert(t, err, qt.IsNil)
}
