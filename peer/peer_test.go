package peer_test

import (
	"context"
	"fmt"
	"math"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

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

// replicas returns the two replicas of a service. Those of service "sN" are in
// the failure domains "dN" and "dN+1", modulo 4.
func replicas(service string) []roster.Replica {
	var number int
	fmt.Sscanf(service, "s%d", &number)
	var list []roster.Replica
	for i := range 2 {
		list = append(list, roster.Replica{ID: fmt.Sprint(service, i), Service: service, FailureDomain: fmt.Sprint("d", (number+i)%4)})
	}
	return list
}

func shards(count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprint("s", i))
	}
	return names
}

func peers(perDomain int) []shard.Host {
	var hosts []shard.Host
	for domain := range 4 {
		for i := range perDomain {
			hosts = append(hosts, shard.Host{Name: fmt.Sprint("h", domain, "-", i), FailureDomain: fmt.Sprint("d", domain)})
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
		Suspects: &suspect.Tracker{Now: time.Now},
		Pauses:   func() uint64 { return 0 },
		Refuses:  func() *verdict.Failure { return nil },
		Event:    func(string, logbook.Fields) {},
	}
}

func TestPlan(t *testing.T) {
	tests := []struct {
		name    string
		shards  int
		peers   []shard.Host
		ejected func(id string) bool
		// bundles is the number of bundles, with bundledShards shards
		// altogether.
		bundledShards, bundles int
	}{
		{name: "half of the shards have remote replicas only", shards: 20, peers: peers(2), bundledShards: 10, bundles: 1},
		{name: "no peers", shards: 20, peers: peers(1)[:1]},
		{name: "too few remote shards for a bundle", shards: 4, peers: peers(2)},
		{name: "more shards than one host gathers", shards: 90, peers: peers(3), bundledShards: 67, bundles: 3},
		{name: "more shards than one host gathers, no other host in its domain", shards: 90, peers: peers(1), bundledShards: 45, bundles: 2},
		{name: "local replicas are ejected", shards: 20, peers: peers(2), ejected: func(id string) bool {
			return slices.Contains([]string{"s00", "s40", "s80"}, id)
		}, bundledShards: 13, bundles: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			delegator := newDelegator(test.peers)
			if test.ejected != nil {
				delegator.Ejected = test.ejected
			}
			seen := make(map[string]bool)
			bundles := delegator.Plan(&dispatch.Request{Route: &route.Route{Shards: shards(test.shards)}}, nil)
			for _, bundle := range bundles {
				qt.Assert(t, len(bundle.Shards) <= 24, qt.IsTrue)
				qt.Assert(t, bundle.Peer != "h0-0", qt.IsTrue)
				for _, shard := range bundle.Shards {
					qt.Assert(t, seen[shard], qt.IsFalse, qt.Commentf("shard %s is in two bundles", shard))
					seen[shard] = true
					hasReplica := slices.ContainsFunc(replicas(shard), func(replica roster.Replica) bool {
						return replica.FailureDomain == "d"+bundle.Peer[1:2]
					})
					qt.Assert(t, hasReplica, qt.IsTrue, qt.Commentf("shard %s has no replica in the failure domain of %s", shard, bundle.Peer))
				}
			}
			qt.Assert(t, len(seen), qt.Equals, test.bundledShards)
			qt.Assert(t, len(bundles), qt.Equals, test.bundles)
		})
	}
}

func newRequest() *dispatch.Request {
	now := time.Now()
	return &dispatch.Request{
		ID:       "r",
		Route:    &route.Route{Name: "gather", Shards: shards(20), MinShardShare: 0.89, LatencyTarget: 100 * time.Millisecond, MaxAttempts: 2, TopK: 10},
		Received: now,
		Deadline: now.Add(time.Second),
		Content:  &exchange.Request{Method: "GET", Target: "/x", Header: map[string][]string{"A": {"1", "2"}}},
	}
}

// A peer that fails is ejected, also if it has sent no reply for a long time
// after the target.
func TestDelegateEjectsFailingPeer(t *testing.T) {
	tests := []struct {
		name    string
		call    func(ctx context.Context, handle func(*message.GatherReply) bool) error
		reports int
		verdict verdict.Verdict
		ejected bool
	}{
		{name: "sends one reply", call: func(_ context.Context, handle func(*message.GatherReply) bool) error {
			handle(&message.GatherReply{RequestID: "r", Receipts: []string{"x"}})
			return nil
		}},
		{name: "sends several replies", call: func(_ context.Context, handle func(*message.GatherReply) bool) error {
			for _, receipt := range []string{"a", "b"} {
				handle(&message.GatherReply{RequestID: "r", Receipts: []string{receipt}, More: true})
			}
			handle(&message.GatherReply{RequestID: "r", Receipts: []string{"x"}})
			return nil
		}, reports: 2},
		{name: "is down", call: func(context.Context, func(*message.GatherReply) bool) error {
			return verdict.New(verdict.NotRun, verdict.Unreachable, "test")
		}, verdict: verdict.NotRun, ejected: true},
		{name: "sends no reply", call: func(ctx context.Context, _ func(*message.GatherReply) bool) error {
			<-ctx.Done()
			return verdict.New(verdict.MayHaveRun, verdict.Cancelled, "test")
		}, verdict: verdict.MayHaveRun, ejected: true},
		{name: "replies to another request", call: func(_ context.Context, handle func(*message.GatherReply) bool) error {
			handle(&message.GatherReply{RequestID: "other", Receipts: []string{"x"}})
			return nil
		}, verdict: verdict.MayHaveRun, ejected: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				delegator := newDelegator(peers(2))
				delegator.Call = func(ctx context.Context, _ shard.Host, request *message.GatherRequest, handle func(*message.GatherReply) bool) error {
					qt.Check(t, request.Shards, qt.HasLen, 7)
					return test.call(ctx, handle)
				}
				startedAt := time.Now()
				reports := 0
				bundleReply := delegator.Delegate(t.Context(), newRequest(), dispatch.Bundle{Peer: "h2-0", Shards: shards(7)}, func(*dispatch.BundleReply) { reports++ })
				qt.Assert(t, reports, qt.Equals, test.reports)
				qt.Assert(t, time.Since(startedAt) <= 450*time.Millisecond, qt.IsTrue)
				qt.Assert(t, bundleReply.Failure != nil, qt.Equals, test.verdict != 0)
				if bundleReply.Failure != nil {
					qt.Assert(t, bundleReply.Failure.Verdict, qt.Equals, test.verdict)
				}
				qt.Assert(t, delegator.Picker.Status("h2-0").Ejected, qt.Equals, test.ejected)
			})
		})
	}
}

// A request that is delegated to a peer reaches the peer's replicas as the
// caller sent it, for its workspace and with its rank.
func TestDelegatedRequestReachesReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		delegator := newDelegator(nil)
		delegator.Dispatcher = &dispatch.Dispatcher{
			Send: func(_ context.Context, attempt *dispatch.Attempt) *dispatch.Reply {
				qt.Check(t, attempt.Request.ID, qt.Equals, "r")
				qt.Check(t, attempt.Request.Content.Target, qt.Equals, "/x")
				qt.Check(t, attempt.Request.Workspace, qt.DeepEquals, &route.Workspace{Name: "w"})
				qt.Check(t, attempt.Request.Rank(), qt.Equals, 4)
				qt.Check(t, attempt.Request.Content.Header["A"], qt.DeepEquals, []string{"1", "2"})
				qt.Check(t, time.Until(attempt.Request.Deadline), qt.Equals, time.Second)
				return &dispatch.Reply{Response: &exchange.Response{Body: make([]byte, 16)}, Receipt: attempt.Replica.Service}
			},
			Replicas: replicas,
			Hosts:    func() int { return 1 },
			Picker:   replica.New(),
			Suspects: &suspect.Tracker{Now: time.Now},
			Random:   func() float64 { return 0 },
			Event:    func(string, logbook.Fields) {},
		}
		delegator.Dispatcher.SetRetryBudget(0.2, 10)
		var sent *message.GatherRequest
		delegator.Call = func(_ context.Context, _ shard.Host, request *message.GatherRequest, handle func(*message.GatherReply) bool) error {
			sent = request
			delegator.Serve(t.Context(), request, func(reply *message.GatherReply) { handle(reply) })
			return nil
		}
		delegator.Peers = func() []shard.Host { return peers(1) }
		request := newRequest()
		request.Workspace = &route.Workspace{Name: "w", Ranked: true, Rank: 4}
		bundleReply := delegator.Delegate(t.Context(), request, dispatch.Bundle{Peer: "h1-0", Shards: shards(3)}, func(*dispatch.BundleReply) {})
		qt.Assert(t, bundleReply.Failure == nil, qt.IsTrue)
		qt.Assert(t, bundleReply.Receipts, qt.DeepEquals, shards(3))
		qt.Assert(t, sent.LeftMicros, qt.Equals, int64(1_000_000))
	})
}

// A host is counted for a minute after it was last on the list, so that hosts
// that are isolated from the store keep their shares of a limit.
func TestShareCountsHosts(t *testing.T) {
	now := time.Unix(1000, 0)
	list := &peer.List{Now: func() time.Time { return now }}
	qt.Assert(t, list.Share(0), qt.Equals, 1.0/12)
	list.Update(peers(2))
	qt.Assert(t, list.Share(0), qt.Equals, 1.0/12)
	now = now.Add(11 * time.Second)
	list.Confirm()
	qt.Assert(t, list.Share(0), qt.Equals, 1.0/8)
	list.Update(peers(1))
	qt.Assert(t, list.Share(0), qt.Equals, 1.0/8)
	qt.Assert(t, list.All(), qt.HasLen, 4)
	now = now.Add(61 * time.Second)
	list.Update(peers(1))
	qt.Assert(t, list.Share(0), qt.Equals, 1.0/4)
}

// The shares of all hosts add up to one, whatever their processors, so that no common
// limit is exceeded.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		list := &peer.List{Now: func() time.Time { return now }}
		hosts := peers(rapid.IntRange(1, 40).Draw(t, "hosts per domain"))
		for i := range hosts {
			hosts[i].Cores = rapid.SampledFrom([]float64{0, 0.1, 0.134, 0.2, 0.4, 0.8, 2}).Draw(t, "cores")
		}
		list.Update(hosts)
		now = now.Add(11 * time.Second)
		list.Confirm()
		sum := 0.0
		for _, host := range hosts {
			sum += list.Share(host.Cores)
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Fatalf("shares add up to %v", sum)
		}
	})
}

// Callers' queries arrive at small hosts while larger ones of their domain idle.
func TestPlanPrefersLargerHosts(t *testing.T) {
	const small, large = 0.134, 0.8
	tests := []struct {
		name string
		// self and peers are the cores of this host and of the first two hosts of each
		// domain; all others have small ones.
		self, peers float64
		target      time.Duration
		shards      int
		// local and remote are the numbers of bundles by domain, own the shards that
		// stay here.
		local, remote, own int
	}{
		{name: "small host, larger peers", self: small, peers: large, target: 300 * time.Millisecond, shards: 90, local: 2, remote: 2},
		{name: "small host, few shards", self: small, peers: large, target: 300 * time.Millisecond, shards: 20, remote: 1, own: 10},
		{name: "large host", self: large, peers: large, target: 300 * time.Millisecond, shards: 90, remote: 2, own: 45},
		{name: "small hosts only", self: small, peers: small, target: 300 * time.Millisecond, shards: 90, local: 1, remote: 2, own: 23},
		{name: "sizes unknown", target: 300 * time.Millisecond, shards: 90, local: 1, remote: 2, own: 23},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			hosts := peers(6)
			for i := range hosts {
				if hosts[i].Cores = min(small, test.self); i%6 == 1 || i%6 == 2 {
					hosts[i].Cores = test.peers
				}
			}
			delegator := newDelegator(hosts)
			delegator.Cores = test.self
			own, local, remote := test.shards, 0, 0
			for _, bundle := range delegator.Plan(&dispatch.Request{Route: &route.Route{Shards: shards(test.shards), LatencyTarget: test.target}}, nil) {
				own -= len(bundle.Shards)
				if bundle.Remote {
					remote++
				} else {
					local++
				}
				if test.peers == large {
					qt.Check(t, bundle.Peer[3:] == "1" || bundle.Peer[3:] == "2", qt.IsTrue, qt.Commentf("%s", bundle.Peer))
				}
			}
			qt.Check(t, []int{local, remote, own}, qt.DeepEquals, []int{test.local, test.remote, test.own})
		})
	}
}

// A replica that is suspected for a moment is left to the hosts that gather, which may
// choose another; its shard doesn't go to another domain for that.
func TestPlanKeepsSuspectedShardsWithGatherers(t *testing.T) {
	hosts := peers(3)
	for i := range hosts {
		hosts[i].Cores = []float64{0.1, 0.8, 0.8}[i%3]
	}
	delegator := newDelegator(hosts)
	delegator.Cores = 0.1
	local := make(map[string]bool)
	for _, shard := range shards(90) {
		for _, replica := range replicas(shard) {
			local[replica.ID] = replica.FailureDomain == "d0"
		}
	}
	delegator.Ejected = func(id string) bool { return local[id] }
	own, remote := 0, 0
	for _, bundle := range delegator.Plan(&dispatch.Request{Route: &route.Route{Shards: shards(90), LatencyTarget: 100 * time.Millisecond}}, nil) {
		if bundle.Remote {
			remote += len(bundle.Shards)
		} else {
			own += len(bundle.Shards)
		}
	}
	// Half of the shards have no replica in this domain.
	qt.Check(t, []int{own, remote}, qt.DeepEquals, []int{45, 45})
}

// A host that stops, or was paused, refuses bundles as not run, so that their
// shards are requested from the replicas.
func TestRefusedBundle(t *testing.T) {
	delegator := newDelegator(nil)
	delegator.Refuses = func() *verdict.Failure { return verdict.New(verdict.NotRun, verdict.Stopping, "host h0-0 stops") }
	var replies []*message.GatherReply
	delegator.Serve(t.Context(), &message.GatherRequest{RequestID: "r", Shards: []string{"s1"}}, func(reply *message.GatherReply) { replies = append(replies, reply) })
	qt.Assert(t, replies, qt.HasLen, 1)
	qt.Assert(t, *replies[0], qt.DeepEquals, message.GatherReply{RequestID: "r", Verdict: int(verdict.NotRun), Code: string(verdict.Stopping), Detail: "host h0-0 stops"})
}

// Messages between two hosts arrive as they were sent. A request to a host that
// is down fails with a verdict that it has not run.
func TestWire(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	serverWire := &peer.Wire{
		HandleGather: func(_ context.Context, request *message.GatherRequest, reply func(*message.GatherReply)) {
			reply(&message.GatherReply{RequestID: request.RequestID, More: true})
			reply(&message.GatherReply{RequestID: request.RequestID, Receipts: request.Shards})
		},
		HandleFeedFetch: func(fetch *message.FeedFetch) *message.FeedNews {
			return &message.FeedNews{Version: fetch.Version + 1}
		},
		HandleAllowanceAsk: func(_ context.Context, ask *message.AllowanceAsk) *message.AllowanceGrant {
			return &message.AllowanceGrant{Tokens: ask.Tokens, NextMicros: int64(len(ask.Limit))}
		},
	}
	server := &link.Server{Handle: serverWire.Handle}
	stopped := make(chan error)
	go func() { stopped <- server.Run(listener) }()
	clientWire := &peer.Wire{}
	to := shard.Host{Name: "h1", Address: listener.Addr().String()}
	var replies []*message.GatherReply
	handle := func(reply *message.GatherReply) bool {
		replies = append(replies, reply)
		return reply.More
	}
	qt.Assert(t, clientWire.RequestGather(t.Context(), to, &message.GatherRequest{RequestID: "r", Shards: []string{"s1"}}, handle), qt.IsNil)
	qt.Assert(t, replies, qt.HasLen, 2)
	qt.Assert(t, replies[1].Receipts, qt.DeepEquals, []string{"s1"})
	feedReply, err := clientWire.FetchFeed(t.Context(), to, &message.FeedFetch{Version: 7})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, feedReply.Version, qt.Equals, uint64(8))
	grant, err := clientWire.AskAllowance(t.Context(), to, &message.AllowanceAsk{Limit: "w", Tokens: 2})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, *grant, qt.Equals, message.AllowanceGrant{Tokens: 2, NextMicros: 1})
	qt.Assert(t, clientWire.Probe(t.Context(), to), qt.IsNil)
	qt.Assert(t, clientWire.Ended(to), qt.IsFalse)
	listener.Close()
	<-stopped
	unconnectedWire := &peer.Wire{}
	err = unconnectedWire.RequestGather(t.Context(), to, &message.GatherRequest{}, handle)
	qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, verdict.NotRun)
	qt.Assert(t, unconnectedWire.Ended(to), qt.IsTrue)
}

// A preview has the bundles that the plan then has, each for the same peer, and counts
// nothing at the peers.
func TestPreviewIsThePlan(t *testing.T) {
	for _, test := range []struct {
		name   string
		cores  float64
		shards int
		want   int
	}{{"larger hosts gather", 0.2, 90, 2}, {"equal hosts share", 0, 90, 3}, {"this host gathers", 0, 3, 0}} {
		t.Run(test.name, func(t *testing.T) {
			hosts := peers(4)
			for i := range hosts {
				if hosts[i].Cores = test.cores; i%4 >= 2 {
					hosts[i].Cores *= 4
				}
			}
			delegator := newDelegator(hosts)
			delegator.Cores = test.cores
			// Every shard has a replica here, so that no domain is drawn.
			delegator.Replicas = func(service string) []roster.Replica {
				return []roster.Replica{{ID: service, Service: service, FailureDomain: "d0"}}
			}
			delegator.Picker.Random = func(int) int { return 0 }
			delegator.Picker.Distance = func(string) time.Duration { return 0 }
			var names []string
			for _, host := range hosts {
				names = append(names, host.Name)
			}
			now := time.Now()
			delegator.Picker.Now = func() time.Time { return now }
			request := &dispatch.Request{Route: &route.Route{Shards: shards(test.shards), LatencyTarget: 80 * time.Millisecond}}
			before := delegator.Picker.Explain(names)
			previewed := delegator.Preview(request, nil)
			qt.Assert(t, delegator.Preview(request, nil), qt.DeepEquals, previewed)
			qt.Assert(t, delegator.Picker.Explain(names), qt.DeepEquals, before)
			qt.Assert(t, delegator.Plan(request, nil), qt.DeepEquals, previewed)
			distinct := make(map[string]bool)
			for _, bundle := range previewed {
				distinct[bundle.Peer] = true
			}
			qt.Assert(t, distinct, qt.HasLen, test.want)
		})
	}
}
