package entry

import (
	"context"
	"time"

	"fescuehall/frame"
	"fescuehall/front"
	"fescuehall/link"
	"fescuehall/member"
	"fescuehall/message"
	"fescuehall/relay"
	"fescuehall/shard"
	"fescuehall/verdict"
)

// watchersPerDomain is how many hosts of each failure domain watch the store
// and poll the host list for the others.
const watchersPerDomain = 2

// placement caches which host fronts which replica, for one version of the
// member list.
type placement struct {
	version uint64
	// confirmed contains all hosts but those that left or that their own failure
	// domain declared dead.
	confirmed *shard.Placement
	// reachable contains the hosts of confirmed that this host can reach.
	reachable *shard.Placement
}

// placement returns the placement for the current member list.
func (host *Host) placement() *placement {
	if cached := host.cachedPlacement.Load(); cached != nil && cached.version == host.detector.Version() {
		return cached
	}
	members, version := host.detector.Hosts()
	var confirmed, reachable []shard.Host
	for _, candidate := range members {
		if candidate.State != member.Alive && candidate.State != member.Suspect {
			continue
		}
		confirmed = append(confirmed, candidate.Host)
		if !candidate.Unreachable {
			reachable = append(reachable, candidate.Host)
		}
	}
	placement := &placement{version: version, confirmed: shard.New(confirmed), reachable: shard.New(reachable)}
	host.cachedPlacement.Store(placement)
	return placement
}

// isWatcher reports whether this host is one of the watchers of its failure
// domain.
func (host *Host) isWatcher() bool {
	for _, watcher := range host.placement().confirmed.HostsForRole("Watch", host.Settings.FailureDomain, watchersPerDomain) {
		if watcher.Name == host.Settings.Name {
			return true
		}
	}
	return false
}

// owner returns the host that fronts a replica, or false if there is none. An
// owner that this host can't reach is returned as well, until its failure
// domain declares it dead.
func (host *Host) owner(replica, failureDomain string) (shard.Host, bool) {
	owners := host.placement().confirmed.FrontingHosts(replica, failureDomain, 1)
	if len(owners) == 0 {
		return shard.Host{}, false
	}
	return owners[0], true
}

// fronted returns the addresses of the backend servers that this host fronts.
func (host *Host) fronted() []string {
	var addresses []string
	for address, limits := range host.current.View().LimitsByAddress() {
		owner, ok := host.owner(address, limits.FailureDomain)
		if ok && owner.Name == host.Settings.Name {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// send runs a sub-request through the host that fronts its replica, or through
// the next one in the placement if the sub-request has not run there.
func (host *Host) send(ctx context.Context, request *message.SubRequest) *message.SubReply {
	if host.Policy.CallBackendsDirectly {
		request.Relayed = true
		return host.serve(ctx, request)
	}
	limits, _ := host.current.View().Limits(request.Replica)
	const maxCandidates = 2
	failure := verdict.New(verdict.NotRun, verdict.NoReplica, "no host fronts %s", request.Replica)
	sentAt := time.Now()
	for _, candidate := range host.placement().reachable.FrontingHosts(request.Replica, limits.FailureDomain, maxCandidates) {
		if candidate.Name == host.Settings.Name {
			return host.serve(ctx, request)
		}
		request.BudgetMicros -= time.Since(sentAt).Microseconds()
		sentAt = time.Now()
		reply, err := host.callPeer(ctx, candidate.Address, request)
		if err == nil {
			return reply
		}
		failure = verdict.FailureOf(err)
		if failure.Verdict != verdict.NotRun || ctx.Err() != nil {
			break
		}
		host.log("Request %s shard %d skips host %s: %v.", request.RequestID, request.Shard, candidate.Name, failure)
	}
	return front.FailureReply(request, failure)
}

// callPeer sends a sub-request to a peer and waits for the reply.
func (host *Host) callPeer(ctx context.Context, address string, request *message.SubRequest) (*message.SubReply, error) {
	body, err := request.MarshalMsg(nil)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "request %s: %v", request.RequestID, err)
	}
	received, err := host.peerClient(address).Call(ctx, frame.SubRequest, body)
	if err != nil {
		return nil, err
	}
	reply := &message.SubReply{}
	if _, err := reply.UnmarshalMsg(received.Body); err != nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReplyMismatch, "host %s: %v", address, err)
	}
	return reply, nil
}

func (host *Host) peerClient(address string) *link.Client {
	if client, ok := host.peerClients.Load(address); ok {
		return client.(*link.Client)
	}
	client, _ := host.peerClients.LoadOrStore(address, &link.Client{Address: address, Dial: host.Dial})
	return client.(*link.Client)
}

// serve runs a sub-request on this host if it fronts the replica, and otherwise
// relays it to the host that does, so that two hosts do not both use the slots
// of the replica. A sub-request that was relayed before, or whose fronting host
// is unreachable, runs on this host.
func (host *Host) serve(ctx context.Context, request *message.SubRequest) *message.SubReply {
	limits, _ := host.current.View().Limits(request.Replica)
	owner, ok := host.owner(request.Replica, limits.FailureDomain)
	if ok && owner.Name != host.Settings.Name && !request.Relayed {
		relayed := *request
		relayed.Relayed = true
		reply, err := host.callPeer(ctx, owner.Address, &relayed)
		if err == nil {
			return reply
		}
		failure := verdict.FailureOf(err)
		if failure.Code != verdict.Unreachable {
			return front.FailureReply(request, failure)
		}
		host.log("Request %s shard %d runs on this host, host %s is unreachable.", request.RequestID, request.Shard, owner.Name)
	}
	reply := host.front.Run(ctx, request)
	reply.Host = host.Settings.Name
	return reply
}

// handlePeerFrame serves a request frame from a peer.
func (host *Host) handlePeerFrame(ctx context.Context, request frame.Frame, reply link.Reply) {
	switch request.Type {
	case frame.SubRequest:
		host.handleSubRequest(ctx, request, reply)
	case frame.ConfigFetch:
		fetch := &message.ConfigFetch{}
		if _, err := fetch.UnmarshalMsg(request.Body); err != nil {
			host.log("Dropped a malformed configuration request: %v.", err)
			return
		}
		if body, err := relay.Delta(host.current.View(), fetch.Have).MarshalMsg(nil); err == nil {
			reply(frame.ConfigDelta, body)
		}
	}
}

func (host *Host) handleSubRequest(ctx context.Context, request frame.Frame, reply link.Reply) {
	host.peerRequests.Add(1)
	defer host.peerRequests.Add(-1)
	subRequest := &message.SubRequest{}
	var subReply *message.SubReply
	if _, err := subRequest.UnmarshalMsg(request.Body); err != nil {
		subReply = front.FailureReply(subRequest, verdict.New(verdict.NotRun, verdict.BadRequest, "sub-request: %v", err))
	} else {
		subReply = host.serve(ctx, subRequest)
	}
	if body, err := subReply.MarshalMsg(nil); err == nil {
		reply(frame.SubReply, body)
	}
}
