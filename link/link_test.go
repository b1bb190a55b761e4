package link_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/frame"
	"fescuehall/link"
	"fescuehall/verdict"
)

func listen(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { listener.Close() })
	return listener
}

// serve runs a server that echoes requests. A request with the body "block" is
// not answered, and is sent to the channel cancelled when it is cancelled.
// Errors of connections are sent to the channel failed.
func serve(t *testing.T) (address string, cancelled, failed chan string) {
	listener := listen(t)
	cancelled, failed = make(chan string, 10), make(chan string, 10)
	server := &link.Server{
		Handle: func(ctx context.Context, request frame.Frame, reply link.Reply) {
			if string(request.Body) == "block" {
				<-ctx.Done()
				cancelled <- string(request.Body)
				return
			}
			reply(frame.SubReply, request.Body)
		},
		ConnFailed: func(_ string, err error) { failed <- err.Error() },
	}
	go server.Run(listener)
	return listener.Addr().String(), cancelled, failed
}

func TestCallsShareAConnection(t *testing.T) {
	address, _, _ := serve(t)
	client := &link.Client{Address: address}
	defer client.Close()
	done := make(chan string, 50)
	for i := range 50 {
		body := string(rune('a' + i%26))
		go func() {
			reply, err := client.Call(context.Background(), frame.SubRequest, []byte(body))
			if err != nil || string(reply.Body) != body {
				done <- "wrong reply"
				return
			}
			done <- ""
		}()
	}
	for range 50 {
		qt.Assert(t, <-done, qt.Equals, "")
	}
}

func TestVerdictOfFailedCall(t *testing.T) {
	tests := []struct {
		name    string
		peer    func(net.Conn)
		verdict verdict.Verdict
		code    verdict.Code
	}{
		{name: "closed after the request was read", peer: func(conn net.Conn) { frame.Read(conn); conn.Close() }, verdict: verdict.MayHaveRun, code: verdict.ConnectionLost},
		{name: "reply is not a frame", peer: func(conn net.Conn) { frame.Read(conn); io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n") }, verdict: verdict.MayHaveRun, code: verdict.ConnectionLost},
		{name: "closed within the reply", peer: func(conn net.Conn) { frame.Read(conn); conn.Write([]byte{0, 0, 0, 9, 1}); conn.Close() }, verdict: verdict.MayHaveRun, code: verdict.ConnectionLost},
		{name: "replies only to another request", peer: func(conn net.Conn) {
			other, _ := frame.Frame{Type: frame.SubReply, Correlation: 99}.Append(nil)
			conn.Write(other)
		}, verdict: verdict.MayHaveRun, code: verdict.Cancelled},
		{name: "neither reads nor replies", peer: func(net.Conn) {}, verdict: verdict.MayHaveRun, code: verdict.Cancelled},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			listener := listen(t)
			go func() {
				conn, err := listener.Accept()
				if err == nil {
					test.peer(conn)
				}
			}()
			client := &link.Client{Address: listener.Addr().String()}
			defer client.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			_, err := client.Call(ctx, frame.SubRequest, []byte("x"))
			qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, test.verdict, qt.Commentf("%v", err))
			qt.Assert(t, verdict.FailureOf(err).Code, qt.Equals, test.code, qt.Commentf("%v", err))
		})
	}
}

func TestUnreachablePeerHasNotRunTheRequest(t *testing.T) {
	listener := listen(t)
	listener.Close()
	_, err := (&link.Client{Address: listener.Addr().String()}).Call(context.Background(), frame.SubRequest, nil)
	qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, verdict.NotRun)
}

// A call returns at its deadline even if the dial hangs.
func TestHangingDial(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	client := &link.Client{Address: "x", Dial: func(string, string, time.Duration) (net.Conn, error) {
		<-release
		return nil, io.EOF
	}}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := client.Call(ctx, frame.SubRequest, nil)
	qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, verdict.NotRun)
}

func TestCancelledCallIsCancelledAtPeer(t *testing.T) {
	address, cancelled, _ := serve(t)
	client := &link.Client{Address: address}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Call(ctx, frame.SubRequest, []byte("block"))
	qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, verdict.MayHaveRun)
	qt.Assert(t, <-cancelled, qt.Equals, "block")
}

func TestInvalidFrameClosesOnlyItsConnection(t *testing.T) {
	address, _, failed := serve(t)
	client := &link.Client{Address: address}
	defer client.Close()
	_, err := client.Call(context.Background(), frame.SubRequest, []byte("x"))
	qt.Assert(t, err, qt.IsNil)
	conn, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	io.WriteString(conn, "GET / HTTP/1.1\r\n\r\n")
	qt.Assert(t, <-failed, qt.Matches, `frame field "Version" has value .*`)
	_, err = conn.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNotNil)
	_, err = client.Call(context.Background(), frame.SubRequest, []byte("x"))
	qt.Assert(t, err, qt.IsNil)
}

// Shutdown waits for the requests in flight, and their replies reach the peer
// before its connection is closed.
func TestShutdownCompletesRequestsInFlight(t *testing.T) {
	listener := listen(t)
	started, release := make(chan bool, 10), make(chan bool)
	server := &link.Server{Handle: func(_ context.Context, request frame.Frame, reply link.Reply) {
		started <- true
		<-release
		reply(frame.SubReply, request.Body)
	}}
	go server.Run(listener)
	client := &link.Client{Address: listener.Addr().String()}
	defer client.Close()
	const requests = 10
	results := make(chan error, requests)
	for range requests {
		go func() {
			_, err := client.Call(context.Background(), frame.SubRequest, make([]byte, 64<<10))
			results <- err
		}()
	}
	for range requests {
		<-started
	}
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	close(release)
	for range requests {
		qt.Assert(t, <-results, qt.IsNil)
	}
	qt.Assert(t, <-stopped, qt.IsNil)
}

// Shutdown ends with its context even when a request never ends. The request may
// have run.
func TestShutdownEndsWithItsContext(t *testing.T) {
	listener := listen(t)
	started := make(chan bool, 1)
	server := &link.Server{Handle: func(ctx context.Context, _ frame.Frame, _ link.Reply) {
		started <- true
		<-ctx.Done()
	}}
	go server.Run(listener)
	client := &link.Client{Address: listener.Addr().String()}
	defer client.Close()
	failed := make(chan error, 1)
	go func() {
		_, err := client.Call(context.Background(), frame.SubRequest, []byte("block"))
		failed <- err
	}()
	<-started
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	qt.Assert(t, server.Shutdown(ctx), qt.ErrorIs, context.Canceled)
	qt.Assert(t, verdict.FailureOf(<-failed).Code, qt.Equals, verdict.ConnectionLost)
}

// silenceable is a connection on which nothing is sent or received any more, and
// that stays open, once it is silent.
type silenceable struct {
	net.Conn
	silent chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (conn *silenceable) isSilent() bool {
	select {
	case <-conn.silent:
		return true
	default:
		return false
	}
}

// Read implements net.Conn.
func (conn *silenceable) Read(buf []byte) (int, error) {
	n, err := conn.Conn.Read(buf)
	if conn.isSilent() {
		<-conn.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (conn *silenceable) Write(buf []byte) (int, error) {
	if conn.isSilent() {
		return len(buf), nil
	}
	return conn.Conn.Write(buf)
}

// Close implements net.Conn.
func (conn *silenceable) Close() error {
	conn.once.Do(func() { close(conn.closed) })
	return conn.Conn.Close()
}

// pipeServer serves connections that are opened with dial.
type pipeServer struct {
	connections chan net.Conn
	dialled     []*silenceable
}

// Accept implements net.Listener.
func (server *pipeServer) Accept() (net.Conn, error) {
	conn, ok := <-server.connections
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Close implements net.Listener.
func (server *pipeServer) Close() error { return nil }

// Addr implements net.Listener.
func (server *pipeServer) Addr() net.Addr { return &net.TCPAddr{} }

func (server *pipeServer) dial(string, string, time.Duration) (net.Conn, error) {
	near, far := net.Pipe()
	server.connections <- far
	conn := &silenceable{Conn: near, silent: make(chan struct{}), closed: make(chan struct{})}
	server.dialled = append(server.dialled, conn)
	return conn, nil
}

// Guards against requests to a peer that time out one after the other, because they
// all use a connection that went silent without being closed.
func TestSilentConnectionIsReplaced(t *testing.T) {
	tests := []struct {
		name string
		// timeout is that of each request.
		timeout time.Duration
	}{
		{name: "long requests", timeout: 3 * time.Second},
		{name: "requests shorter than the detection", timeout: 90 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, pipes := startPipes(t)
				call := func() error {
					ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
					defer cancel()
					_, err := client.Call(ctx, frame.SubRequest, []byte("echo"))
					return err
				}
				qt.Assert(t, call(), qt.IsNil)
				close(pipes.dialled[0].silent)
				silentAt := time.Now()
				for call() != nil {
					qt.Assert(t, time.Since(silentAt) < time.Second, qt.IsTrue)
					time.Sleep(10 * time.Millisecond)
				}
				qt.Assert(t, pipes.dialled, qt.HasLen, 2)
			})
		})
	}
}

// A peer that takes long for a request keeps its connection.
func TestSlowPeerKeepsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, pipes := startPipes(t)
		for range 2 {
			_, err := client.Call(t.Context(), frame.SubRequest, []byte("slow"))
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Assert(t, pipes.dialled, qt.HasLen, 1)
	})
}

// startPipes starts a server whose replies to "slow" take 5 s, and returns a client
// for it.
func startPipes(t *testing.T) (*link.Client, *pipeServer) {
	pipes := &pipeServer{connections: make(chan net.Conn)}
	server := &link.Server{Handle: func(_ context.Context, request frame.Frame, reply link.Reply) {
		if string(request.Body) == "slow" {
			time.Sleep(5 * time.Second)
		}
		reply(frame.SubReply, request.Body)
	}}
	go server.Run(pipes)
	client := &link.Client{Address: "pipe", Dial: pipes.dial}
	t.Cleanup(func() {
		client.Close()
		close(pipes.connections)
		synctest.Wait()
	})
	return client, pipes
}

// A peer that sends one byte a second counts as silent: its connection is replaced
// long before a reply is complete.
func TestTricklingPeerLosesItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		var group sync.WaitGroup
		defer group.Wait()
		group.Go(func() { io.Copy(io.Discard, far) })
		group.Go(func() {
			reply, _ := frame.Frame{Type: frame.SubReply, Correlation: 1, Body: []byte("a reply that takes long")}.Append(nil)
			for _, char := range reply {
				time.Sleep(time.Second)
				if _, err := far.Write([]byte{char}); err != nil {
					return
				}
			}
		})
		client := &link.Client{Address: "pipe", Dial: func(string, string, time.Duration) (net.Conn, error) { return near, nil }}
		defer client.Close()
		start := time.Now()
		_, err := client.Call(t.Context(), frame.SubRequest, []byte("request"))
		qt.Assert(t, verdict.FailureOf(err).Code, qt.Equals, verdict.ConnectionLost)
		qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, verdict.MayHaveRun)
		qt.Assert(t, time.Since(start) < 2*time.Second, qt.IsTrue)
	})
}

// Guards against a long reply that never arrives over a slow link, because the
// connection counts as silent until the whole of it has arrived.
func TestLongReplyKeepsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		var group sync.WaitGroup
		defer group.Wait()
		group.Go(func() { io.Copy(io.Discard, far) })
		body := bytes.Repeat([]byte("x"), 1_000_000)
		group.Go(func() {
			reply, _ := frame.Frame{Type: frame.SubReply, Correlation: 1, Body: body}.Append(nil)
			// 4 Mbit/s.
			for block := range slices.Chunk(reply, 10_000) {
				time.Sleep(20 * time.Millisecond)
				if _, err := far.Write(block); err != nil {
					return
				}
			}
		})
		client := &link.Client{Address: "pipe", Dial: func(string, string, time.Duration) (net.Conn, error) { return near, nil }}
		defer client.Close()
		reply, err := client.Call(t.Context(), frame.SubRequest, []byte("request"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, reply.Body, qt.HasLen, len(body))
	})
}
