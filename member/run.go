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
	// Heard is told of each datagram after the detector took it.
	Heard func(gossip *message.Gossip)
}

// Run probes and answers until ctx ends.
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
		if runner.Heard != nil {
			runner.Heard(gossip)
		}
	}
}

// Send writes datagrams. One that is lost is made good by the protocol.
func (runner *Runner) Send(datagrams []Datagram) {
	for place := range datagrams {
		body, err := datagrams[place].Gossip.MarshalMsg(nil)
		if err != nil {
			continue
		}
		address, err := net.ResolveUDPAddr("udp", datagrams[place].To)
		if err != nil {
			continue
		}
		runner.Socket.WriteTo(body, address)
	}
}
