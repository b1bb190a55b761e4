package member

import (
	"context"
	"net"
	"time"

	"fescuehall/message"
)

const maxDatagramBytes = 8 << 10

// Runner connects a detector to a UDP socket and the clock. Set the fields
// before Run.
type Runner struct {
	Detector *Detector
	Socket   net.PacketConn
	// Received is called with each datagram after the detector has handled it;
	// it may be nil.
	Received func(gossip *message.Gossip)
}

// Run calls Tick at its interval until ctx ends, and handles received datagrams
// until the socket is closed.
func (runner *Runner) Run(ctx context.Context) {
	go runner.read()
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			runner.Send(runner.Detector.Tick(now))
		case <-ctx.Done():
			return
		}
	}
}

func (runner *Runner) read() {
	buf := make([]byte, maxDatagramBytes)
	for {
		count, _, err := runner.Socket.ReadFrom(buf)
		if err != nil {
			return
		}
		gossip := &message.Gossip{}
		if _, err := gossip.UnmarshalMsg(buf[:count]); err != nil {
			continue
		}
		runner.Send(runner.Detector.Receive(time.Now(), gossip))
		if runner.Received != nil {
			runner.Received(gossip)
		}
	}
}

// Send sends datagrams. Errors are ignored, since the protocol tolerates the
// loss of datagrams.
func (runner *Runner) Send(datagrams []Datagram) {
	for i := range datagrams {
		body, err := datagrams[i].Gossip.MarshalMsg(nil)
		if err != nil {
			continue
		}
		address, err := net.ResolveUDPAddr("udp", datagrams[i].To)
		if err != nil {
			continue
		}
		runner.Socket.WriteTo(body, address)
	}
}
