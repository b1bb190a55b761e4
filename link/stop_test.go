package link_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/frame"
	"fescuehall/link"
	"fescuehall/verdict"
)

// latency is how long bytes are on the way between two hosts.
const latency = 5 * time.Millisecond

// distantConn is one end of a connection whose other end is latency away. As in a
// socket, what has not been read when it is closed is lost.
type distantConn struct {
	net.Conn
	closed atomic.Bool
}

// Read implements net.Conn.
func (conn *distantConn) Read(buf []byte) (int, error) {
	count, err := conn.Conn.Read(buf)
	time.Sleep(latency)
	if conn.closed.Load() {
		return 0, net.ErrClosed
	}
	return count, err
}

// Close implements net.Conn.
func (conn *distantConn) Close() error {
	conn.closed.Store(true)
	return conn.Conn.Close()
}

// distantHost accepts connections until it is closed.
type distantHost struct {
	connections chan net.Conn
	ended       chan struct{}
	once        sync.Once
}

func newDistantHost() *distantHost {
	return &distantHost{connections: make(chan net.Conn), ended: make(chan struct{})}
}

// Accept implements net.Listener.
func (host *distantHost) Accept() (net.Conn, error) {
	select {
	case conn := <-host.connections:
		return conn, nil
	case <-host.ended:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (host *distantHost) Close() error {
	host.once.Do(func() { close(host.ended) })
	return nil
}

// Addr implements net.Listener.
func (host *distantHost) Addr() net.Addr { return &net.TCPAddr{} }

func (host *distantHost) dial(string, string, time.Duration) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case host.connections <- &distantConn{Conn: far}:
		return &distantConn{Conn: near}, nil
	case <-host.ended:
		return nil, errors.New("connection refused")
	}
}

// crossingCase is a request that a host sends to a peer around the peer's stop.
type crossingCase struct {
	// sentAt is when the request is sent, and Shutdown called.
	sentAt, stoppedAt time.Duration
	// handling is how long the peer takes for a request before its stop.
	handling time.Duration
	// otherHandling is that of another host's request, which the stop has to wait for.
	otherHandling time.Duration
	// connected is set if the host has a connection to the peer.
	connected bool
	// kind is the type of the request.
	kind frame.Type
}

// run returns what became of the request and whether the peer handled it.
func (test crossingCase) run(t *testing.T) (handled bool, failure error) {
	var stopping, wasHandled atomic.Bool
	server := &link.Server{Handle: func(_ context.Context, request frame.Frame, reply link.Reply) {
		switch string(request.Body) {
		case "other":
			time.Sleep(test.otherHandling)
		case "crossing":
			wasHandled.Store(true)
			if !stopping.Load() {
				time.Sleep(test.handling)
			}
		}
		reply(frame.SubReply, request.Body)
	}}
	host := newDistantHost()
	go server.Run(host)
	other := &link.Client{Address: "peer", Dial: host.dial}
	otherErr := make(chan error, 1)
	go func() {
		_, err := other.Call(t.Context(), frame.SubRequest, []byte("other"))
		otherErr <- err
	}()
	client := &link.Client{Address: "peer", Dial: host.dial}
	if test.connected {
		_, err := client.Call(t.Context(), frame.SubRequest, []byte("first"))
		qt.Assert(t, err, qt.IsNil)
	}
	time.Sleep(100 * time.Millisecond)
	stopped := make(chan struct{})
	go func() {
		time.Sleep(test.stoppedAt)
		stopping.Store(true)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		qt.Check(t, server.Shutdown(ctx), qt.IsNil)
		host.Close()
		close(stopped)
	}()
	time.Sleep(test.sentAt)
	_, failure = client.Call(t.Context(), test.kind, []byte("crossing"))
	qt.Check(t, <-otherErr, qt.IsNil)
	<-stopped
	client.Close()
	other.Close()
	time.Sleep(time.Second)
	return wasHandled.Load(), failure
}

// Guards against a stop that closes a connection whose requests were just sent or read,
// or whose replies wait to be written: each gets its reply, or is certain not to have run.
func TestRequestThatCrossesAStopIsAnswered(t *testing.T) {
	const stoppedAt = 20 * time.Millisecond
	for _, test := range []crossingCase{
		{connected: true},
		{connected: true, handling: 7 * time.Millisecond},
		{connected: true, otherHandling: 130 * time.Millisecond},
		{connected: true, handling: 7 * time.Millisecond, otherHandling: 130 * time.Millisecond},
		{},
		{handling: 7 * time.Millisecond},
		{otherHandling: 130 * time.Millisecond},
		{handling: 7 * time.Millisecond, otherHandling: 130 * time.Millisecond},
		{connected: true, kind: frame.Probe},
		{connected: true, kind: frame.Probe, otherHandling: 130 * time.Millisecond},
		{kind: frame.Probe},
		{connected: true, kind: frame.FeedFetch, otherHandling: 130 * time.Millisecond},
	} {
		for sentAt := time.Duration(0); sentAt <= 300*time.Millisecond; sentAt += time.Millisecond {
			test.sentAt, test.stoppedAt, test.kind = sentAt, stoppedAt, cmp.Or(test.kind, frame.SubRequest)
			t.Run(fmt.Sprintf("type %d, connected %v, handled in %v, other in %v, sent at %v", test.kind, test.connected, test.handling, test.otherHandling, sentAt), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					handled, err := test.run(t)
					if err != nil {
						qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, verdict.NotRun, qt.Commentf("%v", err))
						qt.Assert(t, handled, qt.IsFalse)
					}
				})
			})
		}
	}
}

// Guards against the same over real connections, where a close with unread requests
// also discards replies that were written before.
func TestRequestsOverTCPThatCrossAStopAreAnswered(t *testing.T) {
	const rounds, callers = 20, 8
	for round := 0; round < rounds && !t.Failed(); round++ {
		var stopping atomic.Bool
		server := &link.Server{LeaveTime: 10 * time.Second, Handle: func(_ context.Context, request frame.Frame, reply link.Reply) {
			reply(frame.SubReply, request.Body)
		}}
		listener := listen(t)
		go server.Run(listener)
		client := &link.Client{Address: listener.Addr().String()}
		_, err := client.Call(t.Context(), frame.SubRequest, nil)
		qt.Assert(t, err, qt.IsNil)
		var group sync.WaitGroup
		for range callers {
			group.Go(func() {
				for {
					if _, err := client.Call(context.Background(), frame.SubRequest, make([]byte, 4<<10)); err != nil {
						qt.Check(t, stopping.Load(), qt.IsTrue)
						qt.Check(t, verdict.FailureOf(err).Verdict, qt.Equals, verdict.NotRun, qt.Commentf("%v", err))
						return
					}
				}
			})
		}
		time.Sleep(time.Millisecond)
		stopping.Store(true)
		qt.Check(t, server.Shutdown(context.Background()), qt.IsNil)
		listener.Close()
		group.Wait()
	}
}

// A stop does not wait until its end for the connection of an idle client, or of one
// that doesn't know that it is to leave or is gone.
func TestStopDoesNotWaitForIdleConnections(t *testing.T) {
	const slow = 30 * time.Millisecond
	for _, test := range []struct {
		name string
		// connect opens a connection and returns once it is idle.
		connect func(t *testing.T, host *distantHost) (leave func())
		longest time.Duration
	}{
		{name: "none", connect: func(*testing.T, *distantHost) func() { return func() {} }},
		{name: "of a client that was idle", connect: func(t *testing.T, host *distantHost) func() {
			client := &link.Client{Address: "peer", Dial: host.dial}
			_, err := client.Call(t.Context(), frame.SubRequest, nil)
			qt.Check(t, err, qt.IsNil)
			return client.Close
		}, longest: 4 * latency},
		{name: "of a client whose last request ends during the stop", connect: func(t *testing.T, host *distantHost) func() {
			client := &link.Client{Address: "peer", Dial: host.dial}
			go func() {
				_, err := client.Call(t.Context(), frame.SubRequest, []byte("slow"))
				qt.Check(t, err, qt.IsNil)
			}()
			time.Sleep(2 * latency)
			return client.Close
		}, longest: slow + 4*latency},
		{name: "of a client that stays", connect: func(_ *testing.T, host *distantHost) func() {
			conn, _ := host.dial("", "", 0)
			go io.Copy(io.Discard, conn)
			return func() { conn.Close() }
		}, longest: 300 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := &link.Server{Handle: func(_ context.Context, request frame.Frame, reply link.Reply) {
					if string(request.Body) == "slow" {
						time.Sleep(slow)
					}
					reply(frame.SubReply, nil)
				}}
				host := newDistantHost()
				go server.Run(host)
				leave := test.connect(t, host)
				defer time.Sleep(time.Second)
				defer leave()
				synctest.Wait()
				began := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				qt.Assert(t, server.Shutdown(ctx), qt.IsNil)
				qt.Assert(t, time.Since(began) <= test.longest, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
			})
		})
	}
}

// Guards against a reply that is dropped because the client has opened a connection to
// the next process at the address meanwhile.
func TestReplyArrivesAfterTheNextConnection(t *testing.T) {
	for _, test := range []struct {
		name string
		// replies is the number of replies to the request, which come one after the
		// other.
		replies int64
	}{
		{name: "one reply", replies: 1},
		{name: "several replies", replies: 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				handle := func(_ context.Context, request frame.Frame, reply link.Reply) {
					if string(request.Body) != "slow" {
						reply(frame.SubReply, request.Body)
						return
					}
					for range test.replies {
						time.Sleep(50 * time.Millisecond)
						reply(frame.SubReply, request.Body)
					}
				}
				server, next := &link.Server{Handle: handle}, &link.Server{Handle: handle}
				host, nextHost := newDistantHost(), newDistantHost()
				go server.Run(host)
				go next.Run(nextHost)
				client := &link.Client{Address: "peer", Dial: func(network, address string, timeout time.Duration) (net.Conn, error) {
					if conn, err := host.dial(network, address, timeout); err == nil {
						return conn, nil
					}
					return nextHost.dial(network, address, timeout)
				}}
				var received atomic.Int64
				slow := make(chan error, 1)
				go func() {
					slow <- client.Stream(t.Context(), frame.SubRequest, []byte("slow"), func(frame.Frame) bool {
						return received.Add(1) < test.replies
					})
				}()
				time.Sleep(2 * latency)
				stopped := make(chan error, 1)
				go func() { stopped <- server.Shutdown(t.Context()) }()
				time.Sleep(4 * latency)
				_, err := client.Call(t.Context(), frame.SubRequest, []byte("next"))
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, received.Load(), qt.Equals, int64(0))
				qt.Check(t, <-slow, qt.IsNil)
				qt.Check(t, received.Load(), qt.Equals, test.replies)
				qt.Check(t, <-stopped, qt.IsNil)
				qt.Check(t, next.Shutdown(t.Context()), qt.IsNil)
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against a call that waits until its deadline because its peer asked the client
// to leave, and then vanished without closing the connection.
func TestPeerThatVanishesDuringItsStopIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer far.Close()
		go io.Copy(io.Discard, far)
		client := &link.Client{Address: "pipe", Dial: func(string, string, time.Duration) (net.Conn, error) { return near, nil }}
		time.AfterFunc(50*time.Millisecond, func() {
			question, _ := frame.Frame{Type: frame.Cancel}.Append(nil)
			far.Write(question)
		})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err := client.Call(ctx, frame.SubRequest, []byte("request"))
		qt.Assert(t, verdict.FailureOf(err).Code, qt.Equals, verdict.ConnectionLost)
		qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, verdict.MayHaveRun)
		time.Sleep(time.Second)
	})
}

// Guards against a stop that reports requests in flight although there are none, since
// its time was over when it came to the peers.
func TestShutdownAfterItsTimeReportsNoFalseRequests(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 50 {
		qt.Assert(t, (&link.Server{}).Shutdown(ctx), qt.IsNil)
	}
}
