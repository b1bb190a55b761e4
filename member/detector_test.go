package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/member"
	"fescuehall/message"
)

// network delivers datagrams between detectors in fake time.
type network struct {
	now       time.Time
	random    *rand.Rand
	nodes     []*node
	byAddress map[string]*node
	// lost reports whether a datagram between two nodes is lost.
	lost func(from, to *node) bool
	sent int
}

type node struct {
	detector *member.Detector
	stopped  bool
	// deaths counts members that this node came to think dead.
	deaths map[string]int
}

func (node *node) domain() string { return node.detector.Self.FailureDomain }

func newNetwork(hosts, domains int, trustAll bool) *network {
	network := &network{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(3, 4)), byAddress: make(map[string]*node)}
	network.lost = func(*node, *node) bool { return false }
	var all []message.MemberUpdate
	for place := range hosts {
		all = append(all, message.MemberUpdate{Name: fmt.Sprint("host-", place), Address: fmt.Sprint("address-", place), FailureDomain: fmt.Sprint("domain-", place%domains), Incarnation: 1})
	}
	for place, self := range all {
		added := &node{deaths: make(map[string]int)}
		added.detector = &member.Detector{Self: self, Random: rand.New(rand.NewPCG(5, uint64(place))), TrustAll: trustAll, Changed: func(update message.MemberUpdate) {
			if update.State == member.Dead {
				added.deaths[update.Name]++
			}
		}}
		added.detector.Learn(network.now, all)
		network.nodes = append(network.nodes, added)
		network.byAddress[self.Address] = added
	}
	return network
}

// run lets fake time pass.
func (network *network) run(length time.Duration) {
	for end := network.now.Add(length); network.now.Before(end); {
		network.now = network.now.Add(member.TickInterval)
		for _, node := range network.nodes {
			if !node.stopped {
				network.deliver(node, node.detector.Tick(network.now))
			}
		}
	}
}

func (network *network) deliver(from *node, datagrams []member.Datagram) {
	for _, datagram := range datagrams {
		network.sent++
		to := network.byAddress[datagram.To]
		if to.stopped || network.lost(from, to) {
			continue
		}
		network.deliver(to, to.detector.Receive(network.now, &datagram.Gossip))
	}
}

func (network *network) deaths() int {
	count := 0
	for _, node := range network.nodes {
		for _, times := range node.deaths {
			count += times
		}
	}
	return count
}

func state(node *node, name string) (int, bool) {
	hosts, _ := node.detector.Hosts()
	for _, host := range hosts {
		if host.Name == name {
			return host.State, host.Unreachable
		}
	}
	return -1, false
}

func TestKilledHostIsDeadEverywhereWithin2s(t *testing.T) {
	for _, size := range []struct{ hosts, domains int }{{6, 3}, {8, 4}, {16, 4}, {40, 4}} {
		t.Run(fmt.Sprint(size.hosts, " hosts"), func(t *testing.T) {
			network := newNetwork(size.hosts, size.domains, false)
			network.run(10 * time.Second)
			network.nodes[0].stopped = true
			network.run(2 * time.Second)
			for _, node := range network.nodes[1:] {
				if node.domain() != network.nodes[0].domain() {
					continue
				}
				got, _ := state(node, "host-0")
				qt.Assert(t, got, qt.Equals, member.Dead, qt.Commentf("at %s", node.detector.Self.Name))
			}
			network.run(3 * time.Second)
			for _, node := range network.nodes[1:] {
				got, _ := state(node, "host-0")
				qt.Assert(t, got, qt.Equals, member.Dead, qt.Commentf("at %s", node.detector.Self.Name))
			}
		})
	}
}

func TestNoFalseDeathIn10MinutesOfLossAndPauses(t *testing.T) {
	network := newNetwork(8, 4, false)
	network.lost = func(*node, *node) bool { return network.random.Float64() < 0.01 }
	for end := network.now.Add(10 * time.Minute); network.now.Before(end); {
		network.run(5 * time.Second)
		paused := network.nodes[network.random.IntN(len(network.nodes))]
		paused.stopped = true
		network.run(500 * time.Millisecond)
		paused.stopped = false
	}
	qt.Assert(t, network.deaths(), qt.Equals, 0)
}

// A cut between domains makes no member dead, only unreachable, and heals. The
// baseline that trusts all time-outs declares members of both sides dead.
func TestCutBetweenDomains(t *testing.T) {
	tests := []struct {
		name     string
		trustAll bool
		oneWay   bool
		dead     bool
	}{
		{name: "domain rule, both ways"},
		{name: "domain rule, one way", oneWay: true},
		{name: "all time-outs trusted, both ways", trustAll: true, dead: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			network := newNetwork(8, 4, test.trustAll)
			network.run(10 * time.Second)
			network.lost = func(from, to *node) bool {
				if test.oneWay {
					return from.domain() == "domain-0" && to.domain() != "domain-0"
				}
				return (from.domain() == "domain-0") != (to.domain() == "domain-0")
			}
			network.run(time.Minute)
			qt.Assert(t, network.deaths() > 0, qt.Equals, test.dead, qt.Commentf("%d deaths", network.deaths()))
			if !test.dead {
				_, unreachable := state(network.nodes[1], "host-0")
				qt.Assert(t, unreachable, qt.IsTrue)
			}
			network.lost = func(*node, *node) bool { return false }
			network.run(30 * time.Second)
			for _, node := range network.nodes {
				for _, other := range network.nodes {
					got, unreachable := state(node, other.detector.Self.Name)
					qt.Assert(t, got, qt.Equals, member.Alive, qt.Commentf("%s at %s", other.detector.Self.Name, node.detector.Self.Name))
					qt.Assert(t, unreachable, qt.IsFalse)
				}
			}
		})
	}
}

// A frozen host that wakes blames nobody for the time it slept.
func TestWokenHostSuspectsNobody(t *testing.T) {
	network := newNetwork(6, 2, false)
	network.run(10 * time.Second)
	frozen := network.nodes[0]
	frozen.stopped = true
	network.run(30 * time.Second)
	frozen.stopped = false
	network.run(10 * time.Second)
	qt.Assert(t, frozen.deaths, qt.DeepEquals, map[string]int{})
	for _, node := range network.nodes[1:] {
		got, _ := state(node, "host-0")
		qt.Assert(t, got, qt.Equals, member.Alive)
	}
}

func TestLeavingHostIsLeft(t *testing.T) {
	network := newNetwork(6, 2, false)
	network.run(5 * time.Second)
	network.deliver(network.nodes[0], network.nodes[0].detector.Leave())
	network.nodes[0].stopped = true
	for _, node := range network.nodes[1:] {
		got, _ := state(node, "host-0")
		qt.Assert(t, got, qt.Equals, member.Left)
	}
	network.run(5 * time.Second)
	qt.Assert(t, network.deaths(), qt.Equals, 0)
}

func TestRestartedHostIsAlive(t *testing.T) {
	network := newNetwork(6, 2, false)
	network.run(5 * time.Second)
	network.nodes[0].stopped = true
	network.run(5 * time.Second)
	restarted := network.nodes[0]
	self := restarted.detector.Self
	self.Incarnation = 2
	restarted.detector = &member.Detector{Self: self, Random: rand.New(rand.NewPCG(9, 9))}
	restarted.stopped = false
	network.deliver(restarted, restarted.detector.Greet([]string{"address-1"}))
	network.run(5 * time.Second)
	for _, node := range network.nodes {
		got, _ := state(node, "host-0")
		qt.Assert(t, got, qt.Equals, member.Alive, qt.Commentf("at %s", node.detector.Self.Name))
	}
	hosts, _ := restarted.detector.Hosts()
	qt.Assert(t, len(hosts), qt.Equals, 6)
}

// The datagrams of a node do not grow with the fleet.
func TestCostPerNodeIsConstant(t *testing.T) {
	perNode := func(hosts int) float64 {
		network := newNetwork(hosts, 4, false)
		network.run(10 * time.Second)
		network.sent = 0
		network.run(20 * time.Second)
		return float64(network.sent) / float64(hosts) / 20
	}
	small, large := perNode(8), perNode(64)
	qt.Assert(t, large <= 1.1*small, qt.IsTrue, qt.Commentf("%.1f datagrams a second with 8 hosts, %.1f with 64", small, large))
}

func TestMarksSpread(t *testing.T) {
	network := newNetwork(16, 4, false)
	network.run(time.Second)
	network.nodes[0].detector.Mark(message.Mark{Replica: "server", Sequence: 1})
	found := false
	network.lost = func(_, _ *node) bool { return false }
	for range 20 {
		network.now = network.now.Add(member.TickInterval)
		for _, datagram := range network.nodes[0].detector.Tick(network.now) {
			found = found || len(datagram.Gossip.Marks) == 1
		}
	}
	qt.Assert(t, found, qt.IsTrue)
}
