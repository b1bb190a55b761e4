package peer_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/dispatch"
	"fescuehall/exchange"
	"fescuehall/link"
	"fescuehall/logbook"
	"fescuehall/message"
	"fescuehall/peer"
	"fescuehall/replica"
	"fescuehall/roster"
	"fescuehall/route"
	"fescuehall/shard"
	"fescuehall/suspect"
	"fescuehall/verdict"
)

// replicas places the replicas of shard number n of a service in the domains
// d(n) and d(n+1), of four.
func replicas(service string) []roster.Replica {
	var number int
	fmt.Sscanf(service, "s%d", &number)
	var list []roster.Replica
	for place := range 2 {
		list = append(list, roster.Replica{ID: fmt.Sprint(service, place), Service: service, FailureDomain: fmt.Sprint("d", (number+place)%4)})
	}
	return list
}

func shards(count int) []string {
	var names []string
	for number := range count {
		names = append(names, fmt.Sprint("s", number))
	}
	return names
}

func peers(perDomain int) []shard.Host {
	var hosts []shard.Host
	for domain := range 4 {
		for number := range perDomain {
			hosts = append(hosts, shard.Host{Name: fmt.Sprint("h", domain, "-", number), FailureDomain: fmt.Sprint("d", domain)})
		}
	}
	return hosts
}

func newDelegator(hosts []shard.Host) *peer.Delegator {
	return &peer.Delegator{
		Name:     "h0-0",
		Domain:   "d0",
		Peers:    func() []shard.Host { return hosts },
		Replicas: replicas,
		Ejected:  func(string) bool { return false },
		Picker:   replica.New(),
		Suspects: &suspect.Ledger{Now: time.Now},
		Event:    func(string, logbook.Fields) {},
	}
}

func TestPlan(t *testing.T) {
	tests := []struct {
		name    string
		shards  int
		peers   []shard.Host
		ejected func(id string) bool
		// bundled is the number of shards that peers gather, in bundles.
		bundled, bundles int
	}{
		{name: "half of the shards are far", shards: 20, peers: peers(2), bundled: 10, bundles: 1},
		{name: "no peers", shards: 20, peers: peers(1)[:1]},
		{name: "few far shards are not worth it", shards: 4, peers: peers(2)},
		{name: "too many for one host", shards: 90, peers: peers(3), bundled: 67, bundles: 3},
		{name: "too many for one host that is alone in its domain", shards: 90, peers: peers(1), bundled: 45, bundles: 2},
		{name: "near replicas are ejected", shards: 20, peers: peers(2), ejected: func(id string) bool {
			return slices.Contains([]string{"s00", "s40", "s80"}, id)
		}, bundled: 13, bundles: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			delegator := newDelegator(test.peers)
			if test.ejected != nil {
				delegator.Ejected = test.ejected
			}
			seen := make(map[string]bool)
			bundles := delegator.Plan(shards(test.shards))
			for _, bundle := range bundles {
				qt.Assert(t, len(bundle.Shards) <= 24, qt.IsTrue)
				qt.Assert(t, bundle.Peer != "h0-0", qt.IsTrue)
				for _, shard := range bundle.Shards {
					qt.Assert(t, seen[shard], qt.IsFalse, qt.Commentf("shard %s is in two bundles", shard))
					seen[shard] = true
					near := slices.ContainsFunc(replicas(shard), func(replica roster.Replica) bool {
						return replica.FailureDomain == "d"+bundle.Peer[1:2]
					})
					qt.Assert(t, near, qt.IsTrue, qt.Commentf("%s has no replica near %s", shard, bundle.Peer))
				}
			}
			qt.Assert(t, len(seen), qt.Equals, test.bundled)
			qt.Assert(t, len(bundles), qt.Equals, test.bundles)
		})
	}
}

func request() *dispatch.Request {
	now := time.Now()
	return &dispatch.Request{
		ID:       "r",
		Route:    &route.Route{Name: "gather", Shards: shards(20), LeastShare: 0.89, Target: 100 * time.Millisecond, MaxTries: 2, TopK: 10},
		Received: now,
		Deadline: now.Add(time.Second),
		Content:  &exchange.Request{Method: "GET", Target: "/x", Header: map[string][]string{"A": {"1", "2"}}},
	}
}

// A peer that fails is passed over for a while, also when it is silent past the
// target.
func TestAsk(t *testing.T) {
	tests := []struct {
		name    string
		call    func(ctx context.Context, take func(*message.GatherReply) bool) error
		told    int
		verdict verdict.Verdict
		ejected bool
	}{
		{name: "answers", call: func(_ context.Context, take func(*message.GatherReply) bool) error {
			take(&message.GatherReply{RequestID: "r", Receipts: []string{"x"}})
			return nil
		}},
		{name: "answers in parts", call: func(_ context.Context, take func(*message.GatherReply) bool) error {
			for _, receipt := range []string{"a", "b"} {
				take(&message.GatherReply{RequestID: "r", Receipts: []string{receipt}, More: true})
			}
			take(&message.GatherReply{RequestID: "r", Receipts: []string{"x"}})
			return nil
		}, told: 2},
		{name: "is down", call: func(context.Context, func(*message.GatherReply) bool) error {
			return verdict.New(verdict.NotRun, verdict.Unreachable, "test")
		}, verdict: verdict.NotRun, ejected: true},
		{name: "is silent", call: func(ctx context.Context, _ func(*message.GatherReply) bool) error {
			<-ctx.Done()
			return verdict.New(verdict.MayHaveRun, verdict.Cancelled, "test")
		}, verdict: verdict.MayHaveRun, ejected: true},
		{name: "answers another request", call: func(_ context.Context, take func(*message.GatherReply) bool) error {
			take(&message.GatherReply{RequestID: "other", Receipts: []string{"x"}})
			return nil
		}, verdict: verdict.MayHaveRun, ejected: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				delegator := newDelegator(peers(2))
				delegator.Call = func(ctx context.Context, _ shard.Host, asked *message.GatherRequest, take func(*message.GatherReply) bool) error {
					qt.Check(t, asked.Shards, qt.HasLen, 7)
					return test.call(ctx, take)
				}
				started := time.Now()
				told := 0
				gathered := delegator.Ask(t.Context(), request(), dispatch.Bundle{Peer: "h2-0", Shards: shards(7)}, func(*dispatch.Gathered) { told++ })
				qt.Assert(t, told, qt.Equals, test.told)
				qt.Assert(t, time.Since(started) <= 450*time.Millisecond, qt.IsTrue)
				qt.Assert(t, gathered.Failure != nil, qt.Equals, test.verdict != 0)
				if gathered.Failure != nil {
					qt.Assert(t, gathered.Failure.Verdict, qt.Equals, test.verdict)
				}
				qt.Assert(t, delegator.Picker.Status("h2-0").Ejected, qt.Equals, test.ejected)
			})
		})
	}
}

// What a peer is asked reaches its replicas as the caller sent it.
func TestAnswerPassesTheRequestOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		delegator := newDelegator(nil)
		delegator.Dispatcher = &dispatch.Dispatcher{
			Send: func(_ context.Context, try *dispatch.Try) *dispatch.Reply {
				qt.Check(t, try.Request.ID, qt.Equals, "r")
				qt.Check(t, try.Request.Content.Target, qt.Equals, "/x")
				qt.Check(t, try.Request.Content.Header["A"], qt.DeepEquals, []string{"1", "2"})
				qt.Check(t, time.Until(try.Request.Deadline), qt.Equals, time.Second)
				return &dispatch.Reply{Answer: &exchange.Answer{Body: make([]byte, 16)}, Receipt: try.Replica.Service}
			},
			Replicas: replicas,
			Hosts:    func() int { return 1 },
			Picker:   replica.New(),
			Suspects: &suspect.Ledger{Now: time.Now},
			Random:   func() float64 { return 0 },
			Event:    func(string, logbook.Fields) {},
		}
		delegator.Dispatcher.SetExtra(0.2, 10)
		var asked *message.GatherRequest
		delegator.Call = func(_ context.Context, _ shard.Host, request *message.GatherRequest, take func(*message.GatherReply) bool) error {
			asked = request
			delegator.Answer(t.Context(), request, func(reply *message.GatherReply) { take(reply) })
			return nil
		}
		delegator.Peers = func() []shard.Host { return peers(1) }
		gathered := delegator.Ask(t.Context(), request(), dispatch.Bundle{Peer: "h1-0", Shards: shards(3)}, func(*dispatch.Gathered) {})
		qt.Assert(t, gathered.Failure == nil, qt.IsTrue)
		qt.Assert(t, gathered.Receipts, qt.DeepEquals, shards(3))
		qt.Assert(t, asked.LeftMicros, qt.Equals, int64(1_000_000))
	})
}

// A host counts for a minute after it was last on the list, so that hosts that
// are cut off keep their parts of a budget.
func TestCount(t *testing.T) {
	now := time.Unix(1000, 0)
	list := &peer.List{Now: func() time.Time { return now }}
	qt.Assert(t, list.Count(), qt.Equals, 12)
	list.Update(peers(2))
	qt.Assert(t, list.Count(), qt.Equals, 12)
	now = now.Add(11 * time.Second)
	list.Confirm()
	qt.Assert(t, list.Count(), qt.Equals, 8)
	list.Update(peers(1))
	qt.Assert(t, list.Count(), qt.Equals, 8)
	qt.Assert(t, list.All(), qt.HasLen, 4)
	now = now.Add(61 * time.Second)
	list.Update(peers(1))
	qt.Assert(t, list.Count(), qt.Equals, 4)
}

// Messages between two hosts come through as they were sent; a host that is
// down has not run anything.
func TestWire(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	answering := &peer.Wire{
		Gather: func(_ context.Context, asked *message.GatherRequest, answer func(*message.GatherReply)) {
			answer(&message.GatherReply{RequestID: asked.RequestID, More: true})
			answer(&message.GatherReply{RequestID: asked.RequestID, Receipts: asked.Shards})
		},
		News: func(asked *message.FeedFetch) *message.FeedNews {
			return &message.FeedNews{Version: asked.Version + 1}
		},
	}
	server := &link.Server{Handle: answering.Handle}
	ended := make(chan error)
	go func() { ended <- server.Run(listener) }()
	asking := &peer.Wire{}
	to := shard.Host{Name: "h1", Address: listener.Addr().String()}
	var replies []*message.GatherReply
	take := func(reply *message.GatherReply) bool {
		replies = append(replies, reply)
		return reply.More
	}
	qt.Assert(t, asking.AskGather(t.Context(), to, &message.GatherRequest{RequestID: "r", Shards: []string{"s1"}}, take), qt.IsNil)
	qt.Assert(t, replies, qt.HasLen, 2)
	qt.Assert(t, replies[1].Receipts, qt.DeepEquals, []string{"s1"})
	news, err := asking.AskNews(t.Context(), to, &message.FeedFetch{Version: 7})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, news.Version, qt.Equals, uint64(8))
	qt.Assert(t, asking.Probe(t.Context(), to), qt.IsNil)
	listener.Close()
	<-ended
	other := &peer.Wire{}
	err = other.AskGather(t.Context(), to, &message.GatherRequest{}, take)
	qt.Assert(t, verdict.Of(err).Verdict, qt.Equals, verdict.NotRun)
}
