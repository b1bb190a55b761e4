package link

import (
	"errors"
	"time"

	"fescuehall/frame"
	"fescuehall/pace"
)

const (
	// silenceTimeout is the time without any frame from a peer that owes a reply
	// after which the connection is probed: longer than most requests take.
	silenceTimeout = 200 * time.Millisecond
	// probeTimeout is how long the peer then has to send any frame. A peer answers
	// probes at once, whatever its requests wait for.
	probeTimeout = 400 * time.Millisecond
	// minProgress is the number of bytes that have to arrive during a probe for the
	// connection not to be silent, at the minimum rate of a transfer.
	minProgress = int64(pace.MinRate * probeTimeout / time.Second)
)

// errSilent closes a connection on which a probe got no reply. A firewall may have
// dropped its state, which neither end notices while it waits.
var errSilent = errors.New("no reply to a probe")

// expectReply records that a reply is due.
func (conn *Conn) expectReply() {
	conn.unansweredSince.CompareAndSwap(0, time.Now().UnixNano())
}

// recordReceived records that a frame arrived.
func (conn *Conn) recordReceived() {
	conn.unansweredSince.Store(0)
}

// checkSilence probes the connection if a reply has been due for silenceTimeout and
// nothing has arrived since, and closes it if the probe gets no reply either. A long
// frame that arrives keeps it open.
func (conn *Conn) checkSilence() {
	since := conn.unansweredSince.Load()
	if since == 0 || time.Since(time.Unix(0, since)) < silenceTimeout || !conn.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer conn.probing.Store(false)
		for conn.unansweredSince.Load() == since {
			if !conn.probe() && conn.unansweredSince.Load() == since {
				conn.close(errSilent)
				return
			}
		}
	}()
}

// probe sends a probe and reports whether enough bytes arrive within probeTimeout to be
// part of a long frame.
func (conn *Conn) probe() bool {
	select {
	case conn.sendQueue <- outgoing{frame: frame.Frame{Type: frame.Probe}}:
	default:
		// The frames before it get no reply either.
	}
	before := conn.receivedBytes.Load()
	timeout := time.NewTimer(probeTimeout)
	defer timeout.Stop()
	select {
	case <-timeout.C:
		return conn.receivedBytes.Load()-before >= minProgress
	case <-conn.done:
		return false
	}
}

// countingReader counts the bytes that are read from a connection.
type countingReader struct {
	conn *Conn
}

// Read implements io.Reader.
func (countingReader countingReader) Read(buf []byte) (int, error) {
	count, err := countingReader.conn.net.Read(buf)
	countingReader.conn.receivedBytes.Add(int64(count))
	return count, err
}
