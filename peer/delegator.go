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
	"fescuehall/replica"
	"fescuehall/roster"
	"fescuehall/route"
	"fescuehall/shard"
	"fescuehall/suspect"
)

const (
	// leastBundle is the least number of shards worth a message to a peer: the
	// message costs about as many bytes as two shards' own.
	leastBundle = 3
	// mostGathered is the most shards that one host gathers: more take a small
	// host's processor longer than another hop.
	mostGathered = 24
	// silenceTargets of an answer's target, and silenceTime more, pass before a
	// peer counts as silent. One that works answers at the target with what it has,
	// and later only if that is too little; late answers are of use as well.
	silenceTargets = 3
	silenceTime    = 150 * time.Millisecond
)

// Delegator hands shards that have no replica near this host to peers that are
// near one. Set the fields before use.
type Delegator struct {
	// Domain is this host's failure domain.
	Domain string
	// Name is this host's name.
	Name string
	// Dispatcher answers peers' bundles.
	Dispatcher *dispatch.Dispatcher
	// Peers returns the hosts known.
	Peers func() []shard.Host
	// Replicas returns the replicas of a service that take work.
	Replicas func(service string) []roster.Replica
	// Ejected reports whether a replica is out of use for now.
	Ejected func(id string) bool
	// Call sends a request to a peer and hands on its answers until take returns
	// false. Errors are *verdict.Failure.
	Call func(ctx context.Context, peer shard.Host, request *message.GatherRequest, take func(*message.GatherReply) (more bool)) error
	// Picker chooses among peers, by their names.
	Picker *replica.Picker
	// Suspects records which peers are silent.
	Suspects *suspect.Ledger
	// Event is told of each decision.
	Event func(event string, fields logbook.Fields)
}

// Plan returns the bundles that peers are to gather: for each shard without a
// replica in this host's failure domain, a domain that has one, with as few
// domains as a greedy choice gives; and of the others those that are too many
// for one host.
func (delegator *Delegator) Plan(shards []string) []dispatch.Bundle {
	far := delegator.far(shards)
	if len(far) < leastBundle && len(shards) <= mostGathered {
		return nil
	}
	peers := delegator.usable()
	near := slices.DeleteFunc(slices.Clone(shards), func(shard string) bool { return far[shard] != nil })
	bundles := delegator.spread(near, peers[delegator.Domain])
	delete(peers, delegator.Domain)
	for len(peers) > 0 {
		domain, covered := widest(far, peers)
		if len(covered) < leastBundle {
			break
		}
		for _, shard := range covered {
			delete(far, shard)
		}
		for group := range slices.Chunk(covered, mostGathered) {
			bundle := delegator.bundle(peers[domain], group)
			bundle.Far = true
			bundles = append(bundles, bundle)
		}
		delete(peers, domain)
	}
	return bundles
}

// spread returns bundles of what is too much of the near shards for this host.
func (delegator *Delegator) spread(near []string, peers []string) []dispatch.Bundle {
	if len(near) <= mostGathered || len(peers) == 0 {
		return nil
	}
	groups := min((len(near)+mostGathered-1)/mostGathered, len(peers)+1)
	size := (len(near) + groups - 1) / groups
	var bundles []dispatch.Bundle
	for group := range slices.Chunk(near[size:], size) {
		bundles = append(bundles, delegator.bundle(peers, group))
	}
	return bundles
}

// bundle gives shards to one of several peers and counts them as its own.
func (delegator *Delegator) bundle(names, shards []string) dispatch.Bundle {
	return dispatch.Bundle{Peer: names[delegator.Picker.Pick(names)], Shards: shards}
}

// far returns the shards without a replica in this host's failure domain, with
// the domains that have one.
func (delegator *Delegator) far(shards []string) map[string][]string {
	far := make(map[string][]string)
	for _, shard := range shards {
		near := false
		var domains []string
		for _, replica := range delegator.Replicas(shard) {
			if delegator.Ejected(replica.ID) {
				continue
			}
			near = near || replica.FailureDomain == delegator.Domain
			domains = append(domains, replica.FailureDomain)
		}
		if !near && len(domains) > 0 {
			far[shard] = domains
		}
	}
	return far
}

// usable returns the names of peers that answer, by failure domain.
func (delegator *Delegator) usable() map[string][]string {
	usable := make(map[string][]string)
	for _, peer := range delegator.Peers() {
		if peer.Name != delegator.Name && !delegator.Picker.Status(peer.Name).Ejected {
			usable[peer.FailureDomain] = append(usable[peer.FailureDomain], peer.Name)
		}
	}
	return usable
}

// widest returns the failure domain that covers most shards, one at random of
// those that cover as many.
func widest(far map[string][]string, peers map[string][]string) (string, []string) {
	var best string
	var covered []string
	// Maps are walked in random order.
	for domain := range peers {
		var shards []string
		for shard, domains := range far {
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

// overdue is when a peer that works has answered.
func overdue(request *dispatch.Request) time.Time {
	late := request.Received.Add(silenceTargets*request.Route.Target + silenceTime)
	if request.Route.Target > 0 && late.Before(request.Deadline) {
		return late
	}
	return request.Deadline
}

func encode(request *dispatch.Request, bundle dispatch.Bundle, now time.Time) *message.GatherRequest {
	asked := request.Route
	made := &message.GatherRequest{
		RequestID:     request.ID,
		Route:         asked.Name,
		Rank:          asked.Rank,
		Shards:        bundle.Shards,
		TopK:          asked.TopK,
		MaxTries:      asked.MaxTries,
		TargetMicros:  request.AnswerIn().Microseconds(),
		Method:        request.Content.Method,
		Host:          request.Content.Host,
		Target:        request.Content.Target,
		Body:          request.Content.Body,
		ElapsedMicros: now.Sub(request.Received).Microseconds(),
		LeftMicros:    request.Deadline.Sub(now).Microseconds(),
	}
	for name, values := range request.Content.Header {
		for _, value := range values {
			made.Header = append(made.Header, message.HeaderField{Name: name, Value: value})
		}
	}
	return made
}

// Answer gathers a bundle for a peer. It answers with what is in when the target
// is near, and afterwards with each part that comes, until the peer withdraws
// the bundle.
func (delegator *Delegator) Answer(ctx context.Context, asked *message.GatherRequest, reply func(*message.GatherReply)) {
	now := time.Now()
	header := make(http.Header, len(asked.Header))
	for _, field := range asked.Header {
		header[field.Name] = append(header[field.Name], field.Value)
	}
	last := delegator.Dispatcher.Serve(ctx, &dispatch.Request{
		ID: asked.RequestID,
		Route: &route.Route{
			Name:       asked.Route,
			Idempotent: true,
			Target:     time.Duration(asked.TargetMicros) * time.Microsecond,
			MaxTries:   asked.MaxTries,
			Rank:       asked.Rank,
			Shards:     asked.Shards,
			TopK:       asked.TopK,
		},
		Received: now.Add(-time.Duration(asked.ElapsedMicros) * time.Microsecond),
		Deadline: now.Add(time.Duration(asked.LeftMicros) * time.Microsecond),
		Tell: func(answer *dispatch.Answer) {
			reply(&message.GatherReply{RequestID: asked.RequestID, Receipts: answer.Receipts, Records: answer.Records, More: true})
		},
		Content: &exchange.Request{Method: asked.Method, Host: asked.Host, Target: asked.Target, Header: header, Body: asked.Body},
	})
	if ctx.Err() != nil {
		return
	}
	final := &message.GatherReply{RequestID: asked.RequestID, Receipts: last.Receipts, Records: last.Records}
	if last.Failure != nil {
		final.Verdict = int(last.Failure.Verdict)
		final.Code = string(last.Failure.Code)
		final.Detail = last.Failure.Detail
	}
	reply(final)
}
