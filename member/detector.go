// Package member detects by gossip which entry hosts are alive. A host is
// declared dead only by members of its own failure domain, where timeouts are
// short and reliable. A host of another domain that does not answer is only
// marked as unreachable, and avoided. The rule follows Macedo and Gorender,
// "Perfect Failure Detection in the Partitioned Synchronous Distributed System
// Model", task T2.
package member

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"fescuehall/message"
)

// Types of a Gossip datagram.
const (
	// Ping asks for an Ack.
	Ping = iota
	// Ack answers a Ping.
	Ack
	// IndirectPing asks the receiver to ping the target for the sender.
	IndirectPing
	// IndirectAck reports that the target of an IndirectPing has sent an Ack.
	IndirectAck
	// Notice carries updates and marks and is not answered.
	Notice
	// Join asks for all members and marks.
	Join
)

const (
	// ProbePeriod is the interval between probes of members of this host's
	// failure domain.
	ProbePeriod = 400 * time.Millisecond
	// TickInterval is the interval at which Tick is to be called.
	TickInterval = 50 * time.Millisecond
	// directTimeout is the time after which other members are asked to ping the
	// target of a probe, and probeTimeout the time after which the probe fails.
	directTimeout = 150 * time.Millisecond
	probeTimeout  = 350 * time.Millisecond
	// SuspicionTimeout is the time in which a suspect member can refute the
	// suspicion before it is declared dead.
	SuspicionTimeout = 900 * time.Millisecond
	// pauseThreshold or more between two ticks means that this process was
	// paused.
	pauseThreshold = 4 * TickInterval
	// remoteProbePeriods and deadPingPeriods are the numbers of periods between
	// probes of members in other failure domains and between pings of dead
	// members.
	remoteProbePeriods = 2
	deadPingPeriods    = 10
	// departedRetention is how long a member that is dead or has left is kept.
	departedRetention  = 10 * time.Minute
	indirectProbers    = 2
	updatesPerDatagram = 8
	marksPerDatagram   = 4
	noticeFanout       = 3
)

// Datagram is a gossip message and the address that it is to be sent to.
type Datagram struct {
	To     string
	Gossip message.Gossip
}

// probe is a ping whose ack has not been received.
type probe struct {
	target string
	sentAt time.Time
	// indirect is set when other members have been asked to ping the target.
	indirect bool
	// requester is the address of the member for which the ping was sent, and
	// requesterSequence the sequence of its IndirectPing. requester is empty
	// for this host's own probes.
	requester         string
	requesterSequence uint64
}

// Detector is the membership state of one host. It uses no clock and no
// network: Tick and Receive get the time and return the datagrams to be sent.
// Set the exported fields before use.
type Detector struct {
	// Self is this host as other members see it.
	Self message.MemberUpdate
	// Random is the source of all random choices.
	Random *rand.Rand
	// TrustAllTimeouts makes timeouts of members in other failure domains count
	// like those in this host's domain. It is the baseline that the domain rule
	// is measured against.
	TrustAllTimeouts bool
	// Changed is called with each change of a member's state, without a lock
	// held.
	Changed func(update message.MemberUpdate)
	// ConfigVersion returns the active configuration version.
	ConfigVersion func() uint64
	// Marks returns all active marks of leaving backend servers. They are sent
	// to hosts that have just started.
	Marks func() []message.Mark

	mu      sync.Mutex
	members map[string]*memberEntry
	// sortedNames caches the members' names in order. It is nil when it has to
	// be rebuilt.
	sortedNames []string
	// suspects holds the members in state Suspect.
	suspects map[string]*memberEntry
	// probeOrder is the order in which members of this host's failure domain
	// are probed, and probeIndex the next one.
	probeOrder []string
	probeIndex int
	// probes holds the pending probes by the sequence of their pings.
	probes      map[uint64]*probe
	sequence    uint64
	updateQueue gossipQueue[message.MemberUpdate]
	markQueue   gossipQueue[message.Mark]
	// version is incremented at each change of the member list.
	version     uint64
	lastTickAt  time.Time
	nextProbeAt time.Time
	// periods counts the probe periods.
	periods int
	// changes holds the updates that Changed is still to be called with.
	changes []message.MemberUpdate
	// urgent is set when an update to Suspect or Dead is to be sent without
	// waiting for the next probe.
	urgent bool
}

func (detector *Detector) initialize() {
	if detector.members != nil {
		return
	}
	detector.members = make(map[string]*memberEntry)
	detector.probes = make(map[uint64]*probe)
	detector.suspects = make(map[string]*memberEntry)
}

// AddMembers adds members from the host list. They are not gossiped, since the
// other hosts read the list too. Existing members are not changed.
func (detector *Detector) AddMembers(now time.Time, updates []message.MemberUpdate) {
	detector.withLock(func() {
		for _, update := range updates {
			if detector.members[update.Name] != nil || update.Name == detector.Self.Name {
				continue
			}
			detector.setMember(update, now)
			detector.changes = append(detector.changes, update)
		}
	})
}

// GossipMark queues a mark of a leaving backend server to be gossiped.
func (detector *Detector) GossipMark(mark message.Mark) {
	detector.withLock(func() {
		detector.markQueue.add(mark.Replica, mark, sendsPerUpdate(len(detector.members)))
	})
}

// withLock calls fn with the lock held, then calls Changed, without the lock,
// with the changes that fn made.
func (detector *Detector) withLock(fn func()) {
	detector.mu.Lock()
	detector.initialize()
	fn()
	changes := detector.changes
	detector.changes = nil
	detector.mu.Unlock()
	if detector.Changed == nil {
		return
	}
	for _, update := range changes {
		detector.Changed(update)
	}
}

// handleUpdate applies an update of a member's state, and refutes one that says
// this host is not alive.
func (detector *Detector) handleUpdate(update message.MemberUpdate, now time.Time) {
	if update.Name == detector.Self.Name {
		detector.refute(update)
		return
	}
	if detector.mergeUpdate(update, now) {
		detector.changes = append(detector.changes, update)
		detector.urgent = detector.urgent || update.State == Suspect || update.State == Dead
	}
}

// urgentNotices returns notices if an urgent update is to be sent.
func (detector *Detector) urgentNotices() []Datagram {
	if !detector.urgent {
		return nil
	}
	detector.urgent = false
	return detector.notices()
}

// Leave returns the datagrams that notify all present members that this host is
// leaving.
func (detector *Detector) Leave() (out []Datagram) {
	detector.withLock(func() {
		detector.Self.State = Left
		detector.version++
		for _, memberEntry := range detector.members {
			if memberEntry.present() {
				out = append(out, detector.datagram(Notice, memberEntry.update.Address, 0))
			}
		}
	})
	return out
}

// Notify returns datagrams that notify a few members of a new configuration
// version or mark without waiting for the next probe.
func (detector *Detector) Notify() (out []Datagram) {
	detector.withLock(func() { out = detector.notices() })
	return out
}

func (detector *Detector) notices() (out []Datagram) {
	for _, name := range detector.choose(noticeFanout, func(memberEntry *memberEntry) bool { return memberEntry.present() }) {
		out = append(out, detector.datagram(Notice, detector.members[name].update.Address, 0))
	}
	return out
}

// Tick expires probes and suspicions, starts the probes that are due, and
// returns the datagrams to be sent.
func (detector *Detector) Tick(now time.Time) (out []Datagram) {
	detector.withLock(func() {
		detector.adjustForPause(now)
		detector.lastTickAt = now
		out = append(out, detector.expireProbes(now)...)
		detector.expireSuspicions(now)
		out = append(out, detector.urgentNotices()...)
		if now.Before(detector.nextProbeAt) {
			return
		}
		detector.nextProbeAt = now.Add(ProbePeriod)
		detector.periods++
		out = append(out, detector.probeLocal(now)...)
		if detector.periods%remoteProbePeriods == 0 {
			out = append(out, detector.probeRemote(now)...)
		}
		if detector.periods%deadPingPeriods == 0 {
			out = append(out, detector.pingDead()...)
			detector.removeDeparted(now)
		}
	})
	return out
}

// adjustForPause drops probes and extends suspicions if this process was paused
// since the last tick: it could not receive acks or refutations meanwhile.
func (detector *Detector) adjustForPause(now time.Time) {
	gap := now.Sub(detector.lastTickAt)
	if detector.lastTickAt.IsZero() || gap < pauseThreshold {
		return
	}
	clear(detector.probes)
	for _, memberEntry := range detector.suspects {
		memberEntry.suspected = memberEntry.suspected.Add(gap)
	}
}

func (detector *Detector) expireProbes(now time.Time) (out []Datagram) {
	for sequence, probe := range detector.probes {
		waited := now.Sub(probe.sentAt)
		if waited >= probeTimeout {
			delete(detector.probes, sequence)
			detector.handleProbeFailure(probe, now)
			continue
		}
		if waited >= directTimeout && !probe.indirect && probe.requester == "" {
			probe.indirect = true
			out = append(out, detector.pingIndirectly(probe.target, sequence)...)
		}
	}
	return out
}

// handleProbeFailure marks a member that acked neither a direct nor an indirect
// ping as suspect, or only as unreachable if it is in another failure domain.
func (detector *Detector) handleProbeFailure(probe *probe, now time.Time) {
	memberEntry := detector.members[probe.target]
	if memberEntry == nil || probe.requester != "" || memberEntry.update.State != Alive {
		return
	}
	if memberEntry.update.FailureDomain != detector.Self.FailureDomain && !detector.TrustAllTimeouts {
		if !memberEntry.unreachable {
			memberEntry.unreachable = true
			detector.version++
		}
		return
	}
	suspect := memberEntry.update
	suspect.State = Suspect
	detector.handleUpdate(suspect, now)
}

// expireSuspicions declares suspect members of this host's failure domain dead
// after SuspicionTimeout. Unless TrustAllTimeouts is set, members of other
// domains are declared dead by their own domains only.
func (detector *Detector) expireSuspicions(now time.Time) {
	for _, memberEntry := range detector.suspects {
		if now.Sub(memberEntry.suspected) < SuspicionTimeout {
			continue
		}
		if memberEntry.update.FailureDomain != detector.Self.FailureDomain && !detector.TrustAllTimeouts {
			continue
		}
		dead := memberEntry.update
		dead.State = Dead
		detector.handleUpdate(dead, now)
	}
}

// probeLocal pings the next member of this host's failure domain. Each member
// is pinged once before the order is shuffled again.
func (detector *Detector) probeLocal(now time.Time) []Datagram {
	if detector.probeIndex >= len(detector.probeOrder) {
		detector.probeOrder = detector.choose(len(detector.members), detector.isLocal)
		detector.probeIndex = 0
	}
	for detector.probeIndex < len(detector.probeOrder) {
		name := detector.probeOrder[detector.probeIndex]
		detector.probeIndex++
		if memberEntry := detector.members[name]; memberEntry != nil && memberEntry.present() {
			return []Datagram{detector.ping(name, now)}
		}
	}
	return nil
}

// isLocal reports whether a member is present and in this host's failure
// domain. With TrustAllTimeouts all present members count as local.
func (detector *Detector) isLocal(memberEntry *memberEntry) bool {
	return memberEntry.present() && (detector.TrustAllTimeouts || memberEntry.update.FailureDomain == detector.Self.FailureDomain)
}

// probeRemote pings a random member of another failure domain.
func (detector *Detector) probeRemote(now time.Time) (out []Datagram) {
	for _, name := range detector.choose(1, func(memberEntry *memberEntry) bool { return memberEntry.present() && !detector.isLocal(memberEntry) }) {
		out = append(out, detector.ping(name, now))
	}
	return out
}

// pingDead pings a random dead member, in case a network partition has healed.
func (detector *Detector) pingDead() (out []Datagram) {
	for _, name := range detector.choose(1, func(memberEntry *memberEntry) bool { return memberEntry.update.State == Dead }) {
		out = append(out, detector.datagram(Ping, detector.members[name].update.Address, 0))
	}
	return out
}

func (detector *Detector) removeDeparted(now time.Time) {
	for name, memberEntry := range detector.members {
		if !memberEntry.present() && now.Sub(memberEntry.changed) > departedRetention {
			delete(detector.members, name)
			detector.sortedNames = nil
			detector.version++
		}
	}
}

func (detector *Detector) ping(name string, now time.Time) Datagram {
	detector.sequence++
	detector.probes[detector.sequence] = &probe{target: name, sentAt: now}
	return detector.datagram(Ping, detector.members[name].update.Address, detector.sequence)
}

// pingIndirectly asks some members to ping the target.
func (detector *Detector) pingIndirectly(target string, sequence uint64) (out []Datagram) {
	probers := detector.choose(indirectProbers, func(memberEntry *memberEntry) bool {
		return memberEntry.update.State == Alive && memberEntry.update.Name != target
	})
	for _, name := range probers {
		datagram := detector.datagram(IndirectPing, detector.members[name].update.Address, sequence)
		datagram.Gossip.Target = detector.members[target].update.Address
		out = append(out, datagram)
	}
	return out
}

// choose returns up to count names of matching members at random. It first
// draws names at random, and looks at all members, whose number may be large,
// only if too few of those match.
func (detector *Detector) choose(count int, matches func(*memberEntry) bool) []string {
	names := detector.memberNames()
	const draws = 8
	var chosen []string
	for range draws * min(count, draws) {
		if len(names) == 0 || len(chosen) == count {
			break
		}
		name := names[detector.Random.IntN(len(names))]
		if !slices.Contains(chosen, name) && matches(detector.members[name]) {
			chosen = append(chosen, name)
		}
	}
	if len(chosen) == count {
		return chosen
	}
	return detector.chooseFromAll(count, matches)
}

func (detector *Detector) chooseFromAll(count int, matches func(*memberEntry) bool) []string {
	var matching []string
	for _, name := range detector.memberNames() {
		if matches(detector.members[name]) {
			matching = append(matching, name)
		}
	}
	detector.Random.Shuffle(len(matching), func(i, j int) { matching[i], matching[j] = matching[j], matching[i] })
	return matching[:min(count, len(matching))]
}

func (detector *Detector) memberNames() []string {
	if detector.sortedNames == nil {
		detector.sortedNames = slices.Sorted(maps.Keys(detector.members))
	}
	return detector.sortedNames
}

// datagram returns a datagram with queued updates and marks.
func (detector *Detector) datagram(kind int, to string, sequence uint64) Datagram {
	gossip := message.Gossip{Type: kind, Sequence: sequence, From: detector.Self}
	if detector.ConfigVersion != nil {
		gossip.Version = detector.ConfigVersion()
	}
	gossip.Updates = detector.updateQueue.next(updatesPerDatagram)
	gossip.Marks = detector.markQueue.next(marksPerDatagram)
	return Datagram{To: to, Gossip: gossip}
}
