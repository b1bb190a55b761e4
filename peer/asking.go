package peer

import (
	"context"
	"slices"
	"time"

	"fescuehall/dispatch"
	"fescuehall/logbook"
	"fescuehall/message"
	"fescuehall/replica"
	"fescuehall/shard"
	"fescuehall/verdict"
)

// asking is one bundle that a peer gathers.
type asking struct {
	request *dispatch.Request
	bundle  dispatch.Bundle
	tell    func(*dispatch.Gathered)
	started time.Time
	// answered is set by the peer's first answer, after the time heard.
	answered bool
	heard    time.Duration
	// last is the last answer, nil before it.
	last *message.GatherReply
	// foreign is the request that the peer answered instead.
	foreign string
}

// Ask lets a peer gather a bundle. It tells of what the peer answers with before
// its last answer, and returns that. It always returns, soon after ctx has
// ended.
func (delegator *Delegator) Ask(ctx context.Context, request *dispatch.Request, bundle dispatch.Bundle, tell func(*dispatch.Gathered)) *dispatch.Gathered {
	asking := &asking{request: request, bundle: bundle, tell: tell, started: time.Now()}
	last, failure := delegator.exchange(ctx, asking)
	delegator.judge(asking, failure, ctx.Err() != nil)
	if failure != nil {
		return &dispatch.Gathered{Failure: failure}
	}
	return &dispatch.Gathered{Receipts: last.Receipts, Records: last.Records}
}

// exchange sends the bundle and returns the peer's last answer.
func (delegator *Delegator) exchange(ctx context.Context, asking *asking) (*message.GatherReply, *verdict.Failure) {
	peers := delegator.Peers()
	place := slices.IndexFunc(peers, func(peer shard.Host) bool { return peer.Name == asking.bundle.Peer })
	if place < 0 {
		return nil, verdict.New(verdict.NotRun, verdict.Unreachable, "host %s has left", asking.bundle.Peer)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(time.Until(overdue(asking.request)), cancel)
	defer silent.Stop()
	err := delegator.Call(ctx, peers[place], encode(asking.request, asking.bundle, asking.started), func(reply *message.GatherReply) bool {
		silent.Stop()
		return asking.take(reply)
	})
	switch {
	case err != nil:
		return nil, verdict.Of(err)
	case asking.last == nil:
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReplyMismatch, "host %s answered request %q", asking.bundle.Peer, asking.foreign)
	case asking.last.Code != "":
		return nil, verdict.New(verdict.Verdict(asking.last.Verdict), verdict.Code(asking.last.Code), "host %s: %s", asking.bundle.Peer, asking.last.Detail)
	}
	return asking.last, nil
}

// take takes one answer and reports whether another follows.
func (asking *asking) take(reply *message.GatherReply) (more bool) {
	if reply.RequestID != asking.request.ID {
		asking.foreign = reply.RequestID
		return false
	}
	if !asking.answered {
		asking.answered, asking.heard = true, time.Since(asking.started)
	}
	if !reply.More {
		asking.last = reply
		return false
	}
	asking.tell(&dispatch.Gathered{Receipts: reply.Receipts, Records: reply.Records})
	return true
}

// judge records how the peer did: by its first answer, since the others wait for
// its replicas.
func (delegator *Delegator) judge(asking *asking, failure *verdict.Failure, withdrawn bool) {
	peer, took := asking.bundle.Peer, time.Since(asking.started)
	if asking.answered {
		if asking.heard <= asking.request.Route.Target {
			delegator.Suspects.Timely(peer)
		} else {
			delegator.Suspects.Late(peer)
		}
		delegator.Picker.Done(peer, replica.Result{Took: asking.heard, Failed: asking.last == nil && !withdrawn})
	} else {
		if !withdrawn || took >= asking.request.Route.Target {
			delegator.Suspects.Late(peer)
		}
		delegator.Picker.Done(peer, replica.Result{Took: took, Failed: !withdrawn, Lost: !withdrawn, Cancelled: withdrawn})
	}
	if failure != nil && !withdrawn {
		delegator.Event("peer failed", logbook.Fields{"id": asking.request.ID, "peer": peer, "shards": len(asking.bundle.Shards), "took_ms": took.Milliseconds(), "verdict": failure.Verdict.String(), "detail": failure.Detail})
	}
}
