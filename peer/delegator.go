package peer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"fescuehall/dispatch"
	"fescuehall/exchange"
	"fescuehall/logbook"
	"fescuehall/message"
	"fescuehall/quota"
	"fescuehall/replica"
	"fescuehall/roster"
	"fescuehall/route"
	"fescuehall/shard"
	"fescuehall/suspect"
	"fescuehall/verdict"
)

const (
	// minRemoteShards is the minimum number of remote shards worth a message to
	// a peer: the message takes about as many bytes as two requests to single
	// shards.
	minRemoteShards = 3
	// maxShardsPerHost is the maximum number of shards that one host gathers.
	// More of them would take the processor of a small host longer than
	// delegating them to a peer takes.
	maxShardsPerHost = 24
	// A peer that has not replied within silenceTargetFactor times the
	// request's latency target, plus silenceMargin, counts as failed. A working
	// peer sends a partial answer at the target, and a later one only if too
	// few shards have answered by then. A late answer is still of use, hence
	// the factor.
	silenceTargetFactor = 3
	silenceMargin       = 150 * time.Millisecond
)

// Delegator has peers gather shards of a request: shards without a replica in
// this host's failure domain, by peers in a domain that has one, and shards
// that are too many for one host. Set the fields before use.
type Delegator struct {
	// Domain is this host's failure domain.
	Domain string
	// Name is this host's name.
	Name string
	// Dispatcher gathers the bundles that peers send.
	Dispatcher *dispatch.Dispatcher
	// Peers returns the hosts on the host list.
	Peers func() []shard.Host
	// Replicas returns the replicas of a service that accept requests.
	Replicas func(service string) []roster.Replica
	// Ejected reports whether a replica is temporarily not used.
	Ejected func(id string) bool
	// Call sends a request to a peer and calls handle with each reply until it
	// returns false. Errors are *verdict.Failure.
	Call func(ctx context.Context, peer shard.Host, request *message.GatherRequest, handle func(*message.GatherReply) (more bool)) error
	// Picker chooses among peers, by their names.
	Picker *replica.Picker
	// Suspects records which peers reply late or not at all.
	Suspects *suspect.Tracker
	// Pauses returns the number of pauses of this process so far.
	Pauses func() uint64
	// Refuses returns why this host gathers no bundles, nil when it does.
	Refuses func() *verdict.Failure
	// Memory limits the responses that replicas send for peers' bundles.
	Memory *quota.Quota
	// Event logs an event.
	Event func(event string, fields logbook.Fields)
}

// Plan returns the bundles that peers are to gather. Each remote shard, which
// has no replica in this host's failure domain, goes to a domain that has one;
// a greedy choice keeps the number of domains small. Local shards are bundled
// when there are too many of them for one host. Peers and replicas of failure domains
// that are not allowed get none; a nil function allows all.
func (delegator *Delegator) Plan(shards []string, allows func(domain string) bool) []dispatch.Bundle {
	if allows == nil {
		allows = func(string) bool { return true }
	}
	remote := delegator.remoteShards(shards, allows)
	if len(remote) < minRemoteShards && len(shards) <= maxShardsPerHost {
		return nil
	}
	peers := delegator.availablePeers(allows)
	local := slices.DeleteFunc(slices.Clone(shards), func(shard string) bool { return remote[shard] != nil })
	bundles := delegator.splitLocal(local, peers[delegator.Domain])
	delete(peers, delegator.Domain)
	for len(peers) > 0 {
		domain, covered := bestDomain(remote, peers)
		if len(covered) < minRemoteShards {
			break
		}
		for _, shard := range covered {
			delete(remote, shard)
		}
		for group := range slices.Chunk(covered, maxShardsPerHost) {
			bundle := delegator.newBundle(peers[domain], group)
			bundle.Domain, bundle.Remote = domain, true
			bundles = append(bundles, bundle)
		}
		delete(peers, domain)
	}
	return bundles
}

// splitLocal returns bundles for peers of this host's failure domain with the
// local shards that exceed this host's part.
func (delegator *Delegator) splitLocal(local []string, peers []string) []dispatch.Bundle {
	if len(local) <= maxShardsPerHost || len(peers) == 0 {
		return nil
	}
	groups := min((len(local)+maxShardsPerHost-1)/maxShardsPerHost, len(peers)+1)
	size := (len(local) + groups - 1) / groups
	var bundles []dispatch.Bundle
	for group := range slices.Chunk(local[size:], size) {
		bundle := delegator.newBundle(peers, group)
		bundle.Domain = delegator.Domain
		bundles = append(bundles, bundle)
	}
	return bundles
}

// newBundle assigns shards to one of several peers. The picker counts the
// bundle as outstanding at that peer.
func (delegator *Delegator) newBundle(peers, shards []string) dispatch.Bundle {
	return dispatch.Bundle{Peer: peers[delegator.Picker.Pick(peers)], Shards: shards}
}

// remoteShards returns the shards without a replica in this host's failure
// domain, with the domains of their replicas.
func (delegator *Delegator) remoteShards(shards []string, allows func(domain string) bool) map[string][]string {
	remote := make(map[string][]string)
	for _, shard := range shards {
		local := false
		var domains []string
		for _, replica := range delegator.Replicas(shard) {
			if delegator.Ejected(replica.ID) || !allows(replica.FailureDomain) {
				continue
			}
			local = local || replica.FailureDomain == delegator.Domain
			domains = append(domains, replica.FailureDomain)
		}
		if !local && len(domains) > 0 {
			remote[shard] = domains
		}
	}
	return remote
}

// availablePeers returns the names of the peers of allowed failure domains that are
// not ejected, by failure domain.
func (delegator *Delegator) availablePeers(allows func(domain string) bool) map[string][]string {
	available := make(map[string][]string)
	for _, peer := range delegator.Peers() {
		if peer.Name != delegator.Name && allows(peer.FailureDomain) && !delegator.Picker.Status(peer.Name).Ejected {
			available[peer.FailureDomain] = append(available[peer.FailureDomain], peer.Name)
		}
	}
	return available
}

// bestDomain returns the failure domain that has replicas of the most remote
// shards, and these shards. It chooses at random among equal ones.
func bestDomain(remote map[string][]string, peers map[string][]string) (string, []string) {
	var best string
	var covered []string
	// Maps are iterated in random order.
	for domain := range peers {
		var shards []string
		for shard, domains := range remote {
			if slices.Contains(domains, domain) {
				shards = append(shards, shard)
			}
		}
		if len(shards) > len(covered) || len(shards) == len(covered) && rand.IntN(2) == 0 {
			best, covered = domain, shards
		}
	}
	return best, covered
}

// firstReplyDeadline returns the time by which a working peer has sent its
// first reply.
func firstReplyDeadline(request *dispatch.Request) time.Time {
	deadline := request.Received.Add(silenceTargetFactor*request.Route.LatencyTarget + silenceMargin)
	if request.Route.LatencyTarget > 0 && deadline.Before(request.Deadline) {
		return deadline
	}
	return request.Deadline
}

func encodeRequest(request *dispatch.Request, bundle dispatch.Bundle, now time.Time) *message.GatherRequest {
	route := request.Route
	encoded := &message.GatherRequest{
		RequestID:     request.ID,
		Route:         route.Name,
		Rank:          request.Rank(),
		Shards:        bundle.Shards,
		TopK:          route.TopK,
		MaxTries:      route.MaxAttempts,
		TargetMicros:  request.AnswerWithin().Microseconds(),
		Method:        request.Content.Method,
		Host:          request.Content.Host,
		Target:        request.Content.Target,
		Body:          request.Content.Body,
		ElapsedMicros: now.Sub(request.Received).Microseconds(),
		LeftMicros:    request.Deadline.Sub(now).Microseconds(),
		Homes:         request.Homes(),
	}
	for name, values := range request.Content.Header {
		for _, value := range values {
			encoded.Header = append(encoded.Header, message.HeaderField{Name: name, Value: value})
		}
	}
	return encoded
}

// Serve gathers a bundle for a peer. Shortly before the latency target it
// replies with the answers of the shards so far, and then with each further
// answer, until the peer cancels the bundle.
func (delegator *Delegator) Serve(ctx context.Context, request *message.GatherRequest, reply func(*message.GatherReply)) {
	if failure := delegator.Refuses(); failure != nil {
		reply(&message.GatherReply{RequestID: request.RequestID, Verdict: int(failure.Verdict), Code: string(failure.Code), Detail: failure.Detail})
		return
	}
	now := time.Now()
	memory := delegator.Memory.NewReservation()
	defer memory.Release()
	header := make(http.Header, len(request.Header))
	for _, field := range request.Header {
		header[field.Name] = append(header[field.Name], field.Value)
	}
	bundleRoute := &route.Route{
		Name:          request.Route,
		Idempotent:    true,
		LatencyTarget: time.Duration(request.TargetMicros) * time.Microsecond,
		MaxAttempts:   request.MaxTries,
		Rank:          request.Rank,
		Shards:        request.Shards,
		TopK:          request.TopK,
		Homes:         request.Homes,
	}
	answer := delegator.Dispatcher.Serve(ctx, &dispatch.Request{
		ID:       request.RequestID,
		Route:    bundleRoute,
		Pauses:   delegator.Pauses(),
		Received: now.Add(-time.Duration(request.ElapsedMicros) * time.Microsecond),
		Deadline: now.Add(time.Duration(request.LeftMicros) * time.Microsecond),
		Report: func(partial *dispatch.Answer) {
			reply(&message.GatherReply{RequestID: request.RequestID, Receipts: partial.Receipts, Records: partial.Records, More: true})
		},
		Content: &exchange.Request{Method: request.Method, Host: request.Host, Target: request.Target, Header: header, Body: request.Body, MaxBodyBytes: bundleRoute.MaxPartBytes(), Memory: memory},
	})
	if ctx.Err() != nil {
		return
	}
	lastReply := &message.GatherReply{RequestID: request.RequestID, Receipts: answer.Receipts, Records: answer.Records}
	if answer.Failure != nil {
		lastReply.Verdict = int(answer.Failure.Verdict)
		lastReply.Code = string(answer.Failure.Code)
		lastReply.Detail = answer.Failure.Detail
	}
	reply(lastReply)
}
