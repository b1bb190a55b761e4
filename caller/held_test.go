package caller_test

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// heldListener accepts connections and holds calls of the first one, which stands for
// a goroutine that does not run because the processor is busy.
type heldListener struct {
	net.Listener
	once sync.Once
	// accepted receives a value when the first connection is accepted.
	accepted chan bool
	// startReads holds reads before they begin, unless it is nil.
	startReads chan bool
	// reads receives a value for each read of some bytes, which then returns only
	// after one is received from letRead.
	reads   chan bool
	letRead chan bool
	// writes and letWrite are the same for writes, before they begin.
	writes   chan bool
	letWrite chan bool
	// ended receives a value when the connection is closed, or when its reads are made
	// to fail.
	ended  chan bool
	closes chan bool
}

// newHeldListener returns a listener that holds reads of some bytes.
func newHeldListener(listener net.Listener) *heldListener {
	return &heldListener{Listener: listener, accepted: make(chan bool, 1), reads: make(chan bool, 1), letRead: make(chan bool), ended: make(chan bool, 100), closes: make(chan bool, 10)}
}

func (listener *heldListener) Accept() (net.Conn, error) {
	accepted, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	listener.once.Do(func() {
		accepted = &heldConn{Conn: accepted, listener: listener}
		listener.accepted <- true
	})
	return accepted, nil
}

// heldConn is the connection of which a heldListener holds calls.
type heldConn struct {
	net.Conn
	listener *heldListener
}

func (conn *heldConn) Read(buf []byte) (int, error) {
	if conn.listener.startReads != nil {
		<-conn.listener.startReads
	}
	count, err := conn.Conn.Read(buf)
	if count == 0 {
		return count, err
	}
	select {
	case conn.listener.reads <- true:
		<-conn.listener.letRead
	default:
	}
	return count, err
}

func (conn *heldConn) Write(buf []byte) (int, error) {
	if conn.listener.writes != nil {
		conn.listener.writes <- true
		<-conn.listener.letWrite
	}
	return conn.Conn.Write(buf)
}

func (conn *heldConn) SetReadDeadline(deadline time.Time) error {
	err := conn.Conn.SetReadDeadline(deadline)
	if !deadline.IsZero() {
		conn.listener.ended <- true
	}
	return err
}

func (conn *heldConn) Close() error {
	conn.listener.closes <- true
	conn.listener.ended <- true
	return conn.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (conn *heldConn) SyscallConn() (syscall.RawConn, error) {
	return conn.Conn.(syscall.Conn).SyscallConn()
}
