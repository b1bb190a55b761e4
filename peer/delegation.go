package peer

import (
	"context"
	"errors"
	"slices"
	"time"

	"fescuehall/dispatch"
	"fescuehall/logbook"
	"fescuehall/message"
	"fescuehall/replica"
	"fescuehall/shard"
	"fescuehall/verdict"
)

// delegation is the state of one bundle of shards that a peer is asked to
// gather.
type delegation struct {
	request   *dispatch.Request
	bundle    dispatch.Bundle
	report    func(*dispatch.BundleReply)
	startedAt time.Time
	// replied is set by the peer's first reply, which arrived firstReplyLatency
	// after startedAt.
	replied           bool
	firstReplyLatency time.Duration
	// lastReply is the reply that no other follows, nil until it is received.
	lastReply *message.GatherReply
	// otherRequestID is the ID of the request that the peer replied to instead.
	otherRequestID string
}

// Delegate sends a bundle to the peer that is to gather it. It calls report
// with the content of each reply but the last, and returns that of the last
// reply. It always returns, soon after ctx has ended.
func (delegator *Delegator) Delegate(ctx context.Context, request *dispatch.Request, bundle dispatch.Bundle, report func(*dispatch.BundleReply)) *dispatch.BundleReply {
	delegation := &delegation{request: request, bundle: bundle, report: report, startedAt: time.Now()}
	lastReply, failure := delegator.send(ctx, delegation)
	delegator.recordOutcome(delegation, failure, ctx.Err() != nil && !errors.Is(context.Cause(ctx), dispatch.ErrSilent))
	if failure != nil {
		return &dispatch.BundleReply{Failure: failure}
	}
	return &dispatch.BundleReply{Receipts: lastReply.Receipts, Records: lastReply.Records}
}

// send sends the bundle and returns the peer's last reply.
func (delegator *Delegator) send(ctx context.Context, delegation *delegation) (*message.GatherReply, *verdict.Failure) {
	peers := delegator.Peers()
	index := slices.IndexFunc(peers, func(peer shard.Host) bool { return peer.Name == delegation.bundle.Peer })
	if index < 0 {
		return nil, verdict.New(verdict.NotRun, verdict.Unreachable, "host %s is no longer on the host list", delegation.bundle.Peer)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replyTimer := time.AfterFunc(time.Until(firstReplyDeadline(delegation.request)), cancel)
	defer replyTimer.Stop()
	err := delegator.Call(ctx, peers[index], encodeRequest(delegation.request, delegation.bundle, delegation.startedAt), func(reply *message.GatherReply) bool {
		replyTimer.Stop()
		return delegation.handleReply(reply)
	})
	switch {
	case err != nil:
		return nil, verdict.FailureOf(err)
	case delegation.lastReply == nil:
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReplyMismatch, "host %s replied to another request, %q", delegation.bundle.Peer, delegation.otherRequestID)
	case delegation.lastReply.Code != "":
		return nil, verdict.New(verdict.Verdict(delegation.lastReply.Verdict), verdict.Code(delegation.lastReply.Code), "host %s: %s", delegation.bundle.Peer, delegation.lastReply.Detail)
	}
	return delegation.lastReply, nil
}

// handleReply processes one reply and reports whether another one follows.
func (delegation *delegation) handleReply(reply *message.GatherReply) (more bool) {
	if reply.RequestID != delegation.request.ID {
		delegation.otherRequestID = reply.RequestID
		return false
	}
	if !delegation.replied {
		delegation.replied, delegation.firstReplyLatency = true, time.Since(delegation.startedAt)
	}
	if !reply.More {
		delegation.lastReply = reply
		return false
	}
	delegation.report(&dispatch.BundleReply{Receipts: reply.Receipts, Records: reply.Records})
	return true
}

// recordOutcome reports the peer's latency and success to Suspects and Picker.
// The latency is that of the first reply: later ones wait for the peer's
// replicas.
func (delegator *Delegator) recordOutcome(delegation *delegation, failure *verdict.Failure, cancelled bool) {
	peer, elapsed := delegation.bundle.Peer, time.Since(delegation.startedAt)
	if delegation.replied {
		if delegation.firstReplyLatency <= delegation.request.Route.LatencyTarget {
			delegator.Suspects.RecordTimely(peer)
		} else {
			delegator.Suspects.RecordLate(peer)
		}
		delegator.Picker.Done(peer, replica.Result{Latency: delegation.firstReplyLatency, Failed: delegation.lastReply == nil && !cancelled})
	} else {
		if !cancelled || elapsed >= delegation.request.Route.LatencyTarget {
			delegator.Suspects.RecordLate(peer)
		}
		delegator.Picker.Done(peer, replica.Result{Latency: elapsed, Failed: !cancelled, Unreachable: !cancelled, Cancelled: cancelled})
	}
	if failure != nil && !cancelled {
		delegator.Event("peer failed", logbook.Fields{"id": delegation.request.ID, "peer": peer, "shards": len(delegation.bundle.Shards), "took_ms": elapsed.Milliseconds(), "verdict": failure.Verdict.String(), "detail": failure.Detail})
	}
}
