package peer

import (
	"context"
	"net/http"
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
	// Cores is the number of processor cores that this host may use, 0 when unknown.
	Cores float64
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
	// Identify returns the name of the workspace that a peer's bundle belongs to, empty
	// if it has none, or why that can't be told. It replaces in the header what the
	// replicas may not see. It may be nil: then the bundle is taken as it is.
	Identify func(request *message.GatherRequest, header http.Header) (workspace string, failure *verdict.Failure)
	// Memory limits the responses that replicas send for peers' bundles.
	Memory *quota.Quota
	// Event logs an event.
	Event func(event string, fields logbook.Fields)
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
		Workspace:     request.Workspace.NameOrEmpty(),
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

// admit returns the workspace of a peer's bundle, nil if it has none, or why the
// bundle is not gathered here.
func (delegator *Delegator) admit(request *message.GatherRequest, header http.Header) (*route.Workspace, *verdict.Failure) {
	if failure := delegator.Refuses(); failure != nil {
		return nil, failure
	}
	name := request.Workspace
	if delegator.Identify != nil {
		identified, failure := delegator.Identify(request, header)
		if failure != nil {
			return nil, failure
		}
		name = identified
	}
	if name == "" {
		return nil, nil
	}
	return &route.Workspace{Name: name}, nil
}

// Serve gathers a bundle for a peer. Shortly before the latency target it
// replies with the answers of the shards so far, and then with each further
// answer, until the peer cancels the bundle.
func (delegator *Delegator) Serve(ctx context.Context, request *message.GatherRequest, reply func(*message.GatherReply)) {
	header := make(http.Header, len(request.Header))
	for _, field := range request.Header {
		header[field.Name] = append(header[field.Name], field.Value)
	}
	workspace, failure := delegator.admit(request, header)
	if failure != nil {
		reply(&message.GatherReply{RequestID: request.RequestID, Verdict: int(failure.Verdict), Code: string(failure.Code), Detail: failure.Detail})
		return
	}
	now := time.Now()
	memory := delegator.Memory.NewReservation()
	defer memory.Release()
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
		ID:    request.RequestID,
		Route: bundleRoute,
		// Its rank came with the bundle.
		Workspace: workspace,
		Pauses:    delegator.Pauses(),
		Received:  now.Add(-time.Duration(request.ElapsedMicros) * time.Microsecond),
		Deadline:  now.Add(time.Duration(request.LeftMicros) * time.Microsecond),
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
