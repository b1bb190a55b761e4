package link_test

import (
	"context"
	"net"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/frame"
	"fescuehall/link"
)

// failingListener fails as if the process had no file descriptor left.
type failingListener struct {
	net.Listener
	failures chan error
}

// Accept implements net.Listener.
func (listener *failingListener) Accept() (net.Conn, error) {
	select {
	case err := <-listener.failures:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: err}
	default:
		return listener.Listener.Accept()
	}
}

// Guards against a shortage of file descriptors that ends the server, and so the process.
func TestServerOutlivesShortageOfFiles(t *testing.T) {
	listener := &failingListener{Listener: listen(t), failures: make(chan error, 2)}
	listener.failures <- syscall.EMFILE
	listener.failures <- syscall.ENFILE
	server := &link.Server{Handle: func(_ context.Context, request frame.Frame, reply link.Reply) {
		reply(frame.SubReply, request.Body)
	}}
	go server.Run(listener)
	client := &link.Client{Address: listener.Addr().String()}
	defer client.Close()
	_, err := client.Call(t.Context(), frame.SubRequest, []byte("x"))
	qt.Assert(t, err, qt.IsNil)
}
