package member

import (
	"slices"
	"time"

	"fescuehall/message"
)

// joinReplySize is how many updates or marks one datagram of the answer to a
// Join carries.
const joinReplySize = 16

// Receive handles a received datagram and returns the datagrams to be sent.
func (detector *Detector) Receive(now time.Time, gossip *message.Gossip) (out []Datagram) {
	detector.withLock(func() {
		detector.handleSender(gossip.From, now)
		for _, update := range gossip.Updates {
			detector.handleUpdate(update, now)
		}
		out = append(detector.respond(now, gossip), detector.urgentNotices()...)
	})
	return out
}

// handleSender applies the sender's own state and marks it as reachable.
func (detector *Detector) handleSender(from message.MemberUpdate, now time.Time) {
	detector.handleUpdate(from, now)
	memberEntry := detector.members[from.Name]
	if memberEntry != nil && memberEntry.unreachable {
		memberEntry.unreachable = false
		detector.version++
	}
}

func (detector *Detector) respond(now time.Time, gossip *message.Gossip) []Datagram {
	switch gossip.Type {
	case Ping:
		return []Datagram{detector.acknowledge(gossip)}
	case Ack:
		return detector.handleAck(gossip.Sequence)
	case IndirectPing:
		return detector.pingForRequester(gossip, now)
	case IndirectAck:
		delete(detector.probes, gossip.Sequence)
	case Join:
		return detector.joinReply(gossip.From.Address)
	}
	return nil
}

// acknowledge answers a ping. If the sender is not alive in the member list,
// the ack includes its state, so that the sender can refute it.
func (detector *Detector) acknowledge(gossip *message.Gossip) Datagram {
	ack := detector.datagram(Ack, gossip.From.Address, gossip.Sequence)
	memberEntry := detector.members[gossip.From.Name]
	if memberEntry != nil && memberEntry.update.State != Alive {
		ack.Gossip.Updates = append(ack.Gossip.Updates, memberEntry.update)
	}
	return ack
}

// handleAck completes a probe, and reports to the requester if the ping was
// sent for another member.
func (detector *Detector) handleAck(sequence uint64) []Datagram {
	probe := detector.probes[sequence]
	delete(detector.probes, sequence)
	if probe == nil || probe.requester == "" {
		return nil
	}
	return []Datagram{detector.datagram(IndirectAck, probe.requester, probe.requesterSequence)}
}

// pingForRequester pings the target of an IndirectPing.
func (detector *Detector) pingForRequester(gossip *message.Gossip, now time.Time) []Datagram {
	detector.sequence++
	detector.probes[detector.sequence] = &probe{sentAt: now, requester: gossip.From.Address, requesterSequence: gossip.Sequence}
	return []Datagram{detector.datagram(Ping, gossip.Target, detector.sequence)}
}

// joinReply returns the datagrams that send all present members and marks to a
// host that has just started.
func (detector *Detector) joinReply(to string) (out []Datagram) {
	var updates []message.MemberUpdate
	for _, memberEntry := range detector.members {
		if memberEntry.present() {
			updates = append(updates, memberEntry.update)
		}
	}
	updates = append(updates, detector.Self)
	for chunk := range slices.Chunk(updates, joinReplySize) {
		datagram := detector.datagram(Notice, to, 0)
		datagram.Gossip.Updates = chunk
		out = append(out, datagram)
	}
	return append(out, detector.joinReplyMarks(to)...)
}

func (detector *Detector) joinReplyMarks(to string) (out []Datagram) {
	if detector.Marks == nil {
		return nil
	}
	for chunk := range slices.Chunk(detector.Marks(), joinReplySize) {
		datagram := detector.datagram(Notice, to, 0)
		datagram.Gossip.Marks = chunk
		out = append(out, datagram)
	}
	return out
}

// Join returns the datagrams that ask the hosts at the given addresses for
// their members and marks.
func (detector *Detector) Join(addresses []string) (out []Datagram) {
	detector.withLock(func() {
		for _, address := range addresses {
			out = append(out, detector.datagram(Join, address, 0))
		}
	})
	return out
}
