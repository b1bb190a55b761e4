package caller_test

import (
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/caller"
)

// The network delay of a connection's first request includes the round trip
// that opened the connection.
func TestNetworkDelay(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer client.Close()
	accepted, err := listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	defer accepted.Close()
	ctx := caller.Attach(t.Context(), accepted)
	first := caller.NetworkDelay(ctx)
	qt.Assert(t, first > 0, qt.IsTrue)
	qt.Assert(t, caller.NetworkDelay(ctx), qt.Equals, first/2)
	qt.Assert(t, caller.NetworkDelay(ctx), qt.Equals, first/2)
}

// The network delay is unknown for a connection that can't be measured.
func TestUnknownNetworkDelay(t *testing.T) {
	server, client := net.Pipe()
	defer server.Close()
	defer client.Close()
	qt.Assert(t, caller.NetworkDelay(caller.Attach(t.Context(), server)), qt.Equals, caller.NetworkDelay(context.Background()))
}
