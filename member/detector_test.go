package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/fleet"
	"fescuehall/member"
	"fescuehall/message"
)

// A killed host is dead at the members of its failure domain within 2 s, and at
// all members 3 s later.
func TestKilledHostIsDeclaredDead(t *testing.T) {
	for _, size := range []struct{ hosts, domains int }{{6, 3}, {8, 4}, {16, 4}, {40, 4}} {
		t.Run(fmt.Sprint(size.hosts, " hosts"), func(t *testing.T) {
			network := fleet.NewDetectors(size.hosts, size.domains, false)
			network.Run(10 * time.Second)
			network.Nodes[0].Stopped = true
			network.Run(2 * time.Second)
			for _, node := range network.Nodes[1:] {
				if node.Domain() != network.Nodes[0].Domain() {
					continue
				}
				got, _ := node.State("host-0")
				qt.Assert(t, got, qt.Equals, member.Dead, qt.Commentf("at %s", node.Detector.Self.Name))
			}
			network.Run(3 * time.Second)
			for _, node := range network.Nodes[1:] {
				got, _ := node.State("host-0")
				qt.Assert(t, got, qt.Equals, member.Dead, qt.Commentf("at %s", node.Detector.Self.Name))
			}
		})
	}
}

// A datagram loss of 1% and pauses of 500 ms lead to no false death in 10
// minutes.
func TestNoFalseDeathUnderLossAndPauses(t *testing.T) {
	network := fleet.NewDetectors(8, 4, false)
	network.Lost = func(*fleet.Node, *fleet.Node) bool { return network.Random.Float64() < 0.01 }
	for end := network.Now.Add(10 * time.Minute); network.Now.Before(end); {
		network.Run(5 * time.Second)
		paused := network.Nodes[network.Random.IntN(len(network.Nodes))]
		paused.Stopped = true
		network.Run(500 * time.Millisecond)
		paused.Stopped = false
	}
	qt.Assert(t, network.Deaths(), qt.Equals, 0)
}

// A network partition between failure domains makes members unreachable but not
// dead, and they are reachable again after it. The baseline that trusts all
// timeouts declares members of both sides dead.
func TestPartitionBetweenDomains(t *testing.T) {
	tests := []struct {
		name             string
		trustAllTimeouts bool
		oneWay           bool
		dead             bool
	}{
		{name: "domain rule, both ways"},
		{name: "domain rule, one way", oneWay: true},
		{name: "all timeouts trusted, both ways", trustAllTimeouts: true, dead: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			network := fleet.NewDetectors(8, 4, test.trustAllTimeouts)
			network.Run(10 * time.Second)
			network.Lost = func(from, to *fleet.Node) bool {
				if test.oneWay {
					return from.Domain() == "domain-0" && to.Domain() != "domain-0"
				}
				return (from.Domain() == "domain-0") != (to.Domain() == "domain-0")
			}
			network.Run(time.Minute)
			qt.Assert(t, network.Deaths() > 0, qt.Equals, test.dead, qt.Commentf("%d deaths", network.Deaths()))
			if !test.dead {
				_, unreachable := network.Nodes[1].State("host-0")
				qt.Assert(t, unreachable, qt.IsTrue)
			}
			network.Lost = func(*fleet.Node, *fleet.Node) bool { return false }
			network.Run(30 * time.Second)
			for _, node := range network.Nodes {
				for _, other := range network.Nodes {
					got, unreachable := node.State(other.Detector.Self.Name)
					qt.Assert(t, got, qt.Equals, member.Alive, qt.Commentf("%s at %s", other.Detector.Self.Name, node.Detector.Self.Name))
					qt.Assert(t, unreachable, qt.IsFalse)
				}
			}
		})
	}
}

// A host whose process was paused does not declare others dead for acks that it
// missed meanwhile.
func TestPausedHostDeclaresNoneDead(t *testing.T) {
	network := fleet.NewDetectors(6, 2, false)
	network.Run(10 * time.Second)
	paused := network.Nodes[0]
	paused.Stopped = true
	network.Run(30 * time.Second)
	paused.Stopped = false
	network.Run(10 * time.Second)
	qt.Assert(t, paused.Deaths, qt.DeepEquals, map[string]int{})
	for _, node := range network.Nodes[1:] {
		got, _ := node.State("host-0")
		qt.Assert(t, got, qt.Equals, member.Alive)
	}
}

func TestLeavingHostIsMarkedAsLeft(t *testing.T) {
	network := fleet.NewDetectors(6, 2, false)
	network.Run(5 * time.Second)
	network.Deliver(network.Nodes[0], network.Nodes[0].Detector.Leave())
	network.Nodes[0].Stopped = true
	for _, node := range network.Nodes[1:] {
		got, _ := node.State("host-0")
		qt.Assert(t, got, qt.Equals, member.Left)
	}
	network.Run(5 * time.Second)
	qt.Assert(t, network.Deaths(), qt.Equals, 0)
}

func TestRestartedHostIsAlive(t *testing.T) {
	network := fleet.NewDetectors(6, 2, false)
	network.Run(5 * time.Second)
	network.Nodes[0].Stopped = true
	network.Run(5 * time.Second)
	restarted := network.Nodes[0]
	self := restarted.Detector.Self
	self.Incarnation = 2
	restarted.Detector = &member.Detector{Self: self, Random: rand.New(rand.NewPCG(9, 9))}
	restarted.Stopped = false
	network.Deliver(restarted, restarted.Detector.Join([]string{"address-1"}))
	network.Run(5 * time.Second)
	for _, node := range network.Nodes {
		got, _ := node.State("host-0")
		qt.Assert(t, got, qt.Equals, member.Alive, qt.Commentf("at %s", node.Detector.Self.Name))
	}
	hosts, _ := restarted.Detector.Hosts()
	qt.Assert(t, len(hosts), qt.Equals, 6)
}

// The number of datagrams that a node sends does not grow with the number of
// hosts.
func TestDatagramsPerNodeAreConstant(t *testing.T) {
	datagramRate := func(hosts int) float64 {
		network := fleet.NewDetectors(hosts, 4, false)
		network.Run(10 * time.Second)
		network.Sent = 0
		network.Run(20 * time.Second)
		return float64(network.Sent) / float64(hosts) / 20
	}
	smallRate, largeRate := datagramRate(8), datagramRate(64)
	qt.Assert(t, largeRate <= 1.1*smallRate, qt.IsTrue, qt.Commentf("%.1f datagrams a second with 8 hosts, %.1f with 64", smallRate, largeRate))
}

// A host that joins receives the active marks, also long after they were
// gossiped.
func TestJoiningHostReceivesMarks(t *testing.T) {
	network := fleet.NewDetectors(6, 2, false)
	responder := network.Nodes[1].Detector
	responder.Marks = func() []message.Mark { return []message.Mark{{Replica: "server", Sequence: 1}} }
	network.Run(time.Minute)
	marks := 0
	for _, datagram := range responder.Receive(network.Now, &message.Gossip{Type: member.Join, From: network.Nodes[0].Detector.Self}) {
		marks += len(datagram.Gossip.Marks)
	}
	qt.Assert(t, marks, qt.Equals, 1)
}

// A queued mark is sent with the next probes.
func TestMarkIsGossiped(t *testing.T) {
	network := fleet.NewDetectors(16, 4, false)
	network.Run(time.Second)
	network.Nodes[0].Detector.GossipMark(message.Mark{Replica: "server", Sequence: 1})
	sent := false
	network.Lost = func(_, _ *fleet.Node) bool { return false }
	for range 20 {
		network.Now = network.Now.Add(member.TickInterval)
		for _, datagram := range network.Nodes[0].Detector.Tick(network.Now) {
			sent = sent || len(datagram.Gossip.Marks) == 1
		}
	}
	qt.Assert(t, sent, qt.IsTrue)
}
