package peer_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/dispatch"
	"fescuehall/exchange"
	"fescuehall/logbook"
	"fescuehall/message"
	"fescuehall/replica"
	"fescuehall/route"
	"fescuehall/shard"
)

// regions are those of the failure domains of the fake replicas.
var regions = map[string]string{"d0": "south", "d1": "south", "d2": "north", "d3": "north"}

// serveHomed serves a request with homes on a host in a failure domain. It returns the
// domains of the hosts and of the replicas that got it. Bundles are served by the code
// of the peer that gets them.
func serveHomed(t *testing.T, domain string, shardCount int, homes []string, workspace *route.Workspace) (hosts, used []string, answer *dispatch.Answer) {
	var mu sync.Mutex
	newDispatcher := func(domain string) *dispatch.Dispatcher {
		dispatcher := &dispatch.Dispatcher{
			Domain:   domain,
			Regions:  regions,
			Replicas: replicas,
			Hosts:    func() int { return 1 },
			Picker:   replica.New(),
			Random:   func() float64 { return 0.5 },
			Event:    func(string, logbook.Fields) {},
			Send: func(_ context.Context, attempt *dispatch.Attempt) *dispatch.Reply {
				mu.Lock()
				defer mu.Unlock()
				used = append(used, attempt.Replica.FailureDomain)
				return &dispatch.Reply{Response: &exchange.Response{Status: 200, Body: make([]byte, 16)}, Receipt: attempt.Replica.ID}
			},
		}
		dispatcher.SetRetryBudget(1, 100)
		return dispatcher
	}
	asker := newDelegator(peers(2))
	asker.Domain, asker.Dispatcher = domain, newDispatcher(domain)
	asker.Call = func(ctx context.Context, peer shard.Host, request *message.GatherRequest, handle func(*message.GatherReply) bool) error {
		mu.Lock()
		hosts = append(hosts, peer.FailureDomain)
		mu.Unlock()
		other := newDelegator(peers(2))
		other.Domain, other.Dispatcher = peer.FailureDomain, newDispatcher(peer.FailureDomain)
		other.Serve(ctx, request, func(reply *message.GatherReply) { handle(reply) })
		return nil
	}
	asker.Dispatcher.Plan, asker.Dispatcher.Delegate = asker.Plan, asker.Delegate
	request := newRequest()
	request.Route.Shards, request.Route.MinShardShare, request.Route.Homes, request.Workspace = shards(shardCount), 0.5, homes, workspace
	request.Route.LatencyTarget, request.Deadline = 2*time.Second, time.Now().Add(10*time.Second)
	answer = asker.Dispatcher.Serve(t.Context(), request)
	mu.Lock()
	defer mu.Unlock()
	return distinct(hosts), distinct(used), answer
}

func distinct(names []string) []string {
	sorted := slices.Sorted(slices.Values(names))
	return slices.Compact(sorted)
}

// The body of a request with homes is sent to no host and no replica in another region,
// whether or not the host that received it is at home.
func TestHomesBindBundles(t *testing.T) {
	for _, test := range []struct {
		name        string
		domain      string
		shards      int
		homes       []string
		workspace   *route.Workspace
		hosts, used []string
		answered    int
	}{
		{name: "no homes", domain: "d0", shards: 40, answered: 40},
		{name: "at home", domain: "d0", shards: 40, homes: []string{"south"}, hosts: []string{"d0", "d1"}, used: []string{"d0", "d1"}, answered: 30},
		{name: "away from home", domain: "d3", shards: 40, homes: []string{"south"}, hosts: []string{"d0", "d1"}, used: []string{"d0", "d1"}, answered: 30},
		{name: "away from home, with many shards that have no replica there", domain: "d3", shards: 120, homes: []string{"south"}, hosts: []string{"d0", "d1"}, used: []string{"d0", "d1"}, answered: 90},
		{name: "home of the workspace", domain: "d0", shards: 40, workspace: &route.Workspace{Homes: []string{"north"}}, hosts: []string{"d2", "d3"}, used: []string{"d2", "d3"}, answered: 30},
		{name: "no region in common", domain: "d0", shards: 40, homes: []string{"south"}, workspace: &route.Workspace{Homes: []string{"north"}}},
		{name: "unknown home", domain: "d0", shards: 40, homes: []string{"nowhere"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			hosts, used, answer := serveHomed(t, test.domain, test.shards, test.homes, test.workspace)
			if test.answered == 0 {
				qt.Assert(t, answer.Failure != nil && answer.RetryAfter > 0, qt.IsTrue)
				qt.Assert(t, len(hosts)+len(used), qt.Equals, 0)
				return
			}
			qt.Assert(t, answer.Failure == nil, qt.IsTrue, qt.Commentf("%v", answer.Failure))
			qt.Check(t, answer.Receipts, qt.HasLen, test.answered)
			if test.used == nil {
				// Without homes, the replicas of other domains are used too.
				qt.Check(t, len(hosts) > 0 && len(used) > 2, qt.IsTrue)
				return
			}
			qt.Check(t, hosts, qt.DeepEquals, test.hosts)
			qt.Check(t, used, qt.DeepEquals, test.used)
		})
	}
}
