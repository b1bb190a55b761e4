package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"fescuehall/member"
	"fescuehall/message"
)

// Detectors is the membership of many hosts in fake time, without a network.
type Detectors struct {
	Now       time.Time
	Random    *rand.Rand
	Nodes     []*Node
	byAddress map[string]*Node
	// Lost reports whether a datagram between two nodes is lost.
	Lost func(from, to *Node) bool
	// Sent and Bytes count datagrams and their encoded sizes.
	Sent  int
	Bytes int
}

// Node is one host of Detectors.
type Node struct {
	Detector *member.Detector
	Stopped  bool
	// Deaths counts members that this node came to think dead.
	Deaths map[string]int
	// Version is the configuration version in force at the node.
	Version uint64
}

// Domain returns the node's failure domain.
func (node *Node) Domain() string { return node.Detector.Self.FailureDomain }

// NewDetectors returns the given number of hosts, dealt out over domains, that
// know each other. TrustAll is the detector's field.
func NewDetectors(hosts, domains int, trustAll bool) *Detectors {
	detectors := &Detectors{Now: time.Unix(1000, 0), Random: rand.New(rand.NewPCG(3, 4)), byAddress: make(map[string]*Node)}
	detectors.Lost = func(*Node, *Node) bool { return false }
	var all []message.MemberUpdate
	for place := range hosts {
		all = append(all, message.MemberUpdate{Name: fmt.Sprint("host-", place), Address: fmt.Sprint("address-", place), FailureDomain: fmt.Sprint("domain-", place%domains), Incarnation: 1})
	}
	for place, self := range all {
		added := &Node{Deaths: make(map[string]int)}
		added.Detector = &member.Detector{Self: self, Random: rand.New(rand.NewPCG(5, uint64(place))), TrustAll: trustAll, Changed: func(update message.MemberUpdate) {
			if update.State == member.Dead {
				added.Deaths[update.Name]++
			}
		}}
		added.Detector.ConfigVersion = func() uint64 { return added.Version }
		added.Detector.Learn(detectors.Now, all)
		detectors.Nodes = append(detectors.Nodes, added)
		detectors.byAddress[self.Address] = added
	}
	return detectors
}

// Run lets fake time pass.
func (detectors *Detectors) Run(length time.Duration) {
	for end := detectors.Now.Add(length); detectors.Now.Before(end); {
		detectors.Now = detectors.Now.Add(member.TickInterval)
		for _, node := range detectors.Nodes {
			if !node.Stopped {
				detectors.Deliver(node, node.Detector.Tick(detectors.Now))
			}
		}
	}
}

// Deliver sends datagrams and what they are answered with.
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
		detectors.Adopt(to, gossip.Version)
	}
}

// Adopt puts a configuration version in force at a node, which tells others.
func (detectors *Detectors) Adopt(node *Node, version uint64) {
	node.Version = version
	detectors.Deliver(node, node.Detector.Notify())
}

// Deaths counts how often any node came to think a member dead.
func (detectors *Detectors) Deaths() int {
	count := 0
	for _, node := range detectors.Nodes {
		for _, times := range node.Deaths {
			count += times
		}
	}
	return count
}

// State returns what the node believes of a member: its state, -1 when
// unknown, and whether this node alone can't reach it.
func (node *Node) State(name string) (state int, unreachable bool) {
	hosts, _ := node.Detector.Hosts()
	for _, host := range hosts {
		if host.Name == name {
			return host.State, host.Unreachable
		}
	}
	return -1, false
}
