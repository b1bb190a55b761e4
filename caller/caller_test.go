package caller_test

import (
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/caller"
)

// The first request of a connection has waited for a round trip more.
func TestWays(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer listener.Close()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer dialled.Close()
	accepted, err := listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	defer accepted.Close()
	ctx := caller.Attach(t.Context(), accepted)
	first := caller.Ways(ctx)
	qt.Assert(t, first > 0, qt.IsTrue)
	qt.Assert(t, caller.Ways(ctx), qt.Equals, first/2)
	qt.Assert(t, caller.Ways(ctx), qt.Equals, first/2)
}

// Without a connection that can be measured nothing is known.
func TestUnknownWays(t *testing.T) {
	one, other := net.Pipe()
	defer one.Close()
	defer other.Close()
	qt.Assert(t, caller.Ways(caller.Attach(t.Context(), one)), qt.Equals, caller.Ways(context.Background()))
}
