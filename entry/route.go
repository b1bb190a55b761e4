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

// watchersPerDomain is how many hosts of a failure domain watch the store.
const watchersPerDomain = 2

// placement is who fronts what, for one version of the member list.
type placement struct {
	version uint64
	// confirmed leaves out hosts that their own failure domain declared dead.
	confirmed *shard.Placement
	// reachable leaves out those too that this host can't reach.
	reachable *shard.Placement
}

func (host *Host) placement() *placement {
	if known := host.placed.Load(); known != nil && known.version == host.detector.Version() {
		return known
	}
	members, version := host.detector.Hosts()
	var confirmed, reachable []shard.Host
	for _, known := range members {
		if known.State != member.Alive && known.State != member.Suspect {
			continue
		}
		confirmed = append(confirmed, known.Host)
		if !known.Unreachable {
			reachable = append(reachable, known.Host)
		}
	}
	made := &placement{version: version, confirmed: shard.New(confirmed), reachable: shard.New(reachable)}
	host.placed.Store(made)
	return made
}

// chosen reports whether this host is to watch the store.
func (host *Host) chosen() bool {
	for _, watcher := range host.placement().confirmed.Chosen("Watch", host.Settings.FailureDomain, watchersPerDomain) {
		if watcher.Name == host.Settings.Name {
			return true
		}
	}
	return false
}

// owner returns the host that fronts a replica as far as is confirmed.
func (host *Host) owner(replica, failureDomain string) (shard.Host, bool) {
	owners := host.placement().confirmed.Fronts(replica, failureDomain, 1)
	if len(owners) == 0 {
		return shard.Host{}, false
	}
	return owners[0], true
}

// fronted returns the backend servers that this host fronts.
func (host *Host) fronted() []string {
	var addresses []string
	for address, limits := range host.current.View().Addresses() {
		owner, ok := host.owner(address, limits.FailureDomain)
		if ok && owner.Name == host.Settings.Name {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// send runs a sub-request at the host that fronts its replica, or at the next
// one if the first can't be reached.
func (host *Host) send(ctx context.Context, request *message.SubRequest) *message.SubReply {
	if host.Policy.Direct {
		request.Relayed = true
		return host.serve(ctx, request)
	}
	limits, _ := host.current.View().Limits(request.Replica)
	const fronts = 2
	failure := verdict.New(verdict.NotRun, verdict.NoReplica, "no host fronts %s", request.Replica)
	sent := time.Now()
	for _, front := range host.placement().reachable.Fronts(request.Replica, limits.FailureDomain, fronts) {
		if front.Name == host.Settings.Name {
			return host.serve(ctx, request)
		}
		request.BudgetMicros -= time.Since(sent).Microseconds()
		sent = time.Now()
		reply, err := host.call(ctx, front.Address, request)
		if err == nil {
			return reply
		}
		failure = verdict.Of(err)
		if failure.Verdict != verdict.NotRun || ctx.Err() != nil {
			break
		}
		host.log("Request %s shard %d goes past host %s: %v.", request.RequestID, request.Shard, front.Name, failure)
	}
	return front.Refuse(request, failure)
}

// call sends a sub-request to a peer.
func (host *Host) call(ctx context.Context, address string, request *message.SubRequest) (*message.SubReply, error) {
	body, err := request.MarshalMsg(nil)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "request %s: %v", request.RequestID, err)
	}
	received, err := host.peer(address).Call(ctx, frame.SubRequest, body)
	if err != nil {
		return nil, err
	}
	reply := &message.SubReply{}
	if _, err := reply.UnmarshalMsg(received.Body); err != nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReplyMismatch, "host %s: %v", address, err)
	}
	return reply, nil
}

func (host *Host) peer(address string) *link.Client {
	if known, ok := host.peers.Load(address); ok {
		return known.(*link.Client)
	}
	known, _ := host.peers.LoadOrStore(address, &link.Client{Address: address, Dial: host.Dial})
	return known.(*link.Client)
}

// serve runs a sub-request here, or passes it on once to the host that fronts
// the replica, so that two hosts do not both spend its slots.
func (host *Host) serve(ctx context.Context, request *message.SubRequest) *message.SubReply {
	limits, _ := host.current.View().Limits(request.Replica)
	owner, ok := host.owner(request.Replica, limits.FailureDomain)
	if ok && owner.Name != host.Settings.Name && !request.Relayed {
		passed := *request
		passed.Relayed = true
		reply, err := host.call(ctx, owner.Address, &passed)
		if err == nil {
			return reply
		}
		failure := verdict.Of(err)
		if failure.Code != verdict.Unreachable {
			return front.Refuse(request, failure)
		}
		host.log("Request %s shard %d runs here, %s can't be reached.", request.RequestID, request.Shard, owner.Name)
	}
	reply := host.front.Run(ctx, request)
	reply.Host = host.Settings.Name
	return reply
}

// handle answers a peer's frame.
func (host *Host) handle(ctx context.Context, request frame.Frame, reply link.Reply) {
	switch request.Type {
	case frame.SubRequest:
		host.handleSubRequest(ctx, request, reply)
	case frame.ConfigFetch:
		fetch := &message.ConfigFetch{}
		if _, err := fetch.UnmarshalMsg(request.Body); err != nil {
			host.log("Drop configuration request: %v.", err)
			return
		}
		if body, err := relay.Delta(host.current.View(), fetch.Have).MarshalMsg(nil); err == nil {
			reply(frame.ConfigDelta, body)
		}
	}
}

func (host *Host) handleSubRequest(ctx context.Context, request frame.Frame, reply link.Reply) {
	host.handling.Add(1)
	defer host.handling.Add(-1)
	sub := &message.SubRequest{}
	var out *message.SubReply
	if _, err := sub.UnmarshalMsg(request.Body); err != nil {
		out = front.Refuse(sub, verdict.New(verdict.NotRun, verdict.BadRequest, "sub-request: %v", err))
	} else {
		out = host.serve(ctx, sub)
	}
	if body, err := out.MarshalMsg(nil); err == nil {
		reply(frame.SubReply, body)
	}
}
