package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"fescuehall/member"
	"fescuehall/message"
)

// Detectors runs the membership detectors of many hosts in fake time, without a
// network.
type Detectors struct {
	Now       time.Time
	Random    *rand.Rand
	Nodes     []*Node
	byAddress map[string]*Node
	// Lost decides whether a datagram between two nodes is lost.
	Lost func(from, to *Node) bool
	// Sent counts the datagrams that were sent; Bytes is their total encoded size.
	Sent  int
	Bytes int
}

// Node is one host of a Detectors.
type Node struct {
	Detector *member.Detector
	Stopped  bool
	// Deaths counts, by member, how often this node declared the member dead.
	Deaths map[string]int
	// Version is the active configuration version of the node.
	Version uint64
}

// Domain returns the node's failure domain.
func (node *Node) Domain() string { return node.Detector.Self.FailureDomain }

// NewDetectors returns the given number of hosts, which are distributed over
// the domains in turn and know each other as live. trustAllTimeouts is the
// field TrustAllTimeouts of all detectors.
func NewDetectors(hosts, domains int, trustAllTimeouts bool) *Detectors {
	detectors := &Detectors{Now: time.Unix(1000, 0), Random: rand.New(rand.NewPCG(3, 4)), byAddress: make(map[string]*Node)}
	detectors.Lost = func(*Node, *Node) bool { return false }
	var updates []message.MemberUpdate
	for index := range hosts {
		updates = append(updates, message.MemberUpdate{Name: fmt.Sprint("host-", index), Address: fmt.Sprint("address-", index), FailureDomain: fmt.Sprint("domain-", index%domains), Incarnation: 1})
	}
	for index, self := range updates {
		node := &Node{Deaths: make(map[string]int)}
		node.Detector = &member.Detector{Self: self, Random: rand.New(rand.NewPCG(5, uint64(index))), TrustAllTimeouts: trustAllTimeouts, Changed: func(update message.MemberUpdate) {
			if update.State == member.Dead {
				node.Deaths[update.Name]++
			}
		}}
		node.Detector.ConfigVersion = func() uint64 { return node.Version }
		node.Detector.AddMembers(detectors.Now, updates)
		detectors.Nodes = append(detectors.Nodes, node)
		detectors.byAddress[self.Address] = node
	}
	return detectors
}

// Run advances the fake time by a duration, with a tick of each running node
// every member.TickInterval.
func (detectors *Detectors) Run(duration time.Duration) {
	for end := detectors.Now.Add(duration); detectors.Now.Before(end); {
		detectors.Now = detectors.Now.Add(member.TickInterval)
		for _, node := range detectors.Nodes {
			if !node.Stopped {
				detectors.Deliver(node, node.Detector.Tick(detectors.Now))
			}
		}
	}
}

// Deliver passes datagrams to their receivers, then the datagrams that these
// send in response.
func (detectors *Detectors) Deliver(from *Node, datagrams []member.Datagram) {
	for _, datagram := range datagrams {
		detectors.Sent++
		encoded, err := datagram.Gossip.MarshalMsg(nil)
		if err != nil {
			panic(err)
		}
		detectors.Bytes += len(encoded)
		to := detectors.byAddress[datagram.To]
		if to.Stopped || detectors.Lost(from, to) {
			continue
		}
		detectors.receive(to, encoded)
	}
}

func (detectors *Detectors) receive(to *Node, encoded []byte) {
	gossip := &message.Gossip{}
	if _, err := gossip.UnmarshalMsg(encoded); err != nil {
		panic(err)
	}
	detectors.Deliver(to, to.Detector.Receive(detectors.Now, gossip))
	if gossip.Version > to.Version {
		detectors.SetVersion(to, gossip.Version)
	}
}

// SetVersion makes a configuration version active at a node, which notifies
// others.
func (detectors *Detectors) SetVersion(node *Node, version uint64) {
	node.Version = version
	detectors.Deliver(node, node.Detector.Notify())
}

// Deaths counts how often nodes declared a member dead.
func (detectors *Detectors) Deaths() int {
	count := 0
	for _, node := range detectors.Nodes {
		for _, deaths := range node.Deaths {
			count += deaths
		}
	}
	return count
}

// State returns the state of a member as the node knows it, -1 for an unknown
// one, and whether the member can't be reached from this node only.
func (node *Node) State(name string) (state int, unreachable bool) {
	hosts, _ := node.Detector.Hosts()
	for _, host := range hosts {
		if host.Name == name {
			return host.State, host.Unreachable
		}
	}
	return -1, false
}
