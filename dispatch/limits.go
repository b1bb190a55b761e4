package dispatch

import (
	"context"
	"time"

	"fescuehall/allowance"
	"fescuehall/roster"
	"fescuehall/verdict"
)

// askWait is how long a part waits for replies of keepers while other replicas could get
// its attempt: many times the usual round trip between failure domains.
const askWait = 40 * time.Millisecond

// ReplicaLimits are the limits on requests to single replicas, which all hosts share:
// those of cold replicas, and those that replicas name. Set the fields before use.
type ReplicaLimits struct {
	// Limited returns why a replica may get only a limited number of requests, Cold or
	// Limited, and an empty reason if its number is not limited.
	Limited func(replica roster.Replica) roster.Exclusion
	// PeekNow returns what TakeNow would, without a change of state. It may be nil unless
	// Explain is called.
	PeekNow func(replica roster.Replica) allowance.Ticket
	// TakeNow takes a token for a request to a limited replica if this host has one. With
	// Asking, the decision is worth waiting for. Await waits for a token until ctx ends;
	// it returns earlier if none is expected by then. Return gives back one that was not
	// used.
	TakeNow func(replica roster.Replica) allowance.Ticket
	Await   func(ctx context.Context, replica roster.Replica) allowance.Ticket
	Return  func(replica roster.Replica, ticket allowance.Ticket)
	// Admits reports whether a request may be sent to a replica with a ticket now; nil
	// if it always may.
	Admits func(replica roster.Replica, ticket allowance.Ticket) bool
}

// choice is the choice of the replica that gets an attempt.
type choice struct {
	replica roster.Replica
	// ticket is the ticket for the replica, the zero value if it is not limited.
	ticket allowance.Ticket
	// waits is set if no replica may get the attempt before it has a token.
	waits bool
}

// chooser chooses the replicas of attempts.
type chooser struct {
	limits *ReplicaLimits
	// pick picks a replica by its ID, among those that admits admits unless it is nil.
	pick func(ids []string, admits func(index int) bool) int
	// peek is set if no tokens are to be taken or asked for.
	peek bool
	// mayAsk is set if the attempt may wait for the reply of a keeper, and mayWait if it
	// may wait for a token when no replica may get it without.
	mayAsk, mayWait bool
}

// choose chooses among replicas: those that are not limited, limited ones for which
// there is a token, and those for which there may be one soon. If there are none, the
// attempt has to wait for a token. It returns false without a replica.
func (chooser chooser) choose(candidates []roster.Replica) (choice, bool) {
	ids := make([]string, len(candidates))
	for index, candidate := range candidates {
		ids[index] = candidate.ID
	}
	limited := chooser.limits != nil && anyLimited(chooser.limits, candidates)
	var admits func(index int) bool
	var ticket allowance.Ticket
	if limited {
		admits = func(index int) bool {
			ticket = allowance.Ticket{}
			if chooser.limits.Limited(candidates[index]) == "" {
				return true
			}
			ticket = chooser.takeNow(candidates[index])
			return ticket.Decision == allowance.Allowed || ticket.Asking && chooser.mayAsk
		}
	}
	if chosen := chooser.pick(ids, admits); chosen >= 0 {
		return choice{replica: candidates[chosen], ticket: ticket}, true
	}
	if !limited || !chooser.mayWait {
		return choice{}, false
	}
	return choice{replica: candidates[chooser.pick(ids, nil)], waits: true}, true
}

// takeNow takes a token for a limited replica if there is one.
func (chooser chooser) takeNow(replica roster.Replica) allowance.Ticket {
	if chooser.peek {
		return chooser.limits.PeekNow(replica)
	}
	return chooser.limits.TakeNow(replica)
}

func anyLimited(limits *ReplicaLimits, candidates []roster.Replica) bool {
	for _, candidate := range candidates {
		if limits.Limited(candidate) != "" {
			return true
		}
	}
	return false
}

// send sends an attempt, after it has got a token if its replica is limited.
func (run *run) send(sentAttempt *sentAttempt) *Reply {
	limits := run.dispatcher.Limits
	if refused := run.awaitToken(sentAttempt); refused != nil {
		return refused
	}
	sentAttempt.admittedAt = time.Now()
	attempt := &Attempt{Request: run.request, Replica: sentAttempt.replica, Template: run.template, Extra: sentAttempt.extra}
	if limits != nil && limits.Admits != nil {
		attempt.Admits = func() bool { return limits.Admits(sentAttempt.replica, sentAttempt.ticket) }
	}
	reply := run.dispatcher.Send(sentAttempt.ctx, attempt)
	if sentAttempt.ticket.Decision == allowance.Allowed && reply.Failure != nil && reply.Failure.Verdict == verdict.NotRun && wasNotSent(reply.Failure) {
		limits.Return(sentAttempt.replica, sentAttempt.ticket)
	}
	return reply
}

// awaitToken waits for the token of an attempt that needs one and has none. It returns
// the reply of an attempt that is not sent, nil if it is.
func (run *run) awaitToken(sentAttempt *sentAttempt) *Reply {
	limits, replica := run.dispatcher.Limits, sentAttempt.replica
	if !sentAttempt.waits && !sentAttempt.ticket.Asking {
		return nil
	}
	reason := limits.Limited(replica)
	// Ends early enough for the answer to say that the attempt has not run.
	until := run.request.Deadline.Add(-2 * deadlineMargin)
	switch due := run.request.Due(); {
	case !sentAttempt.waits:
		until = earlier(until, sentAttempt.askUntil)
	case reason == Limited && !due.IsZero():
		until = earlier(until, due)
	}
	ctx, cancel := context.WithDeadline(sentAttempt.ctx, until)
	defer cancel()
	sentAttempt.ticket = limits.Await(ctx, replica)
	switch {
	case sentAttempt.ticket.Decision == allowance.Allowed:
		return nil
	case reason == Cold:
		return &Reply{Failure: verdict.New(verdict.NotRun, verdict.Cancelled, "replica %s is cold and may get no more requests", replica.ID)}
	}
	return &Reply{
		Failure:    verdict.New(verdict.NotRun, verdict.LimitReached, "replica %s names a limit and may get no more requests", replica.ID),
		RetryAfter: sentAttempt.ticket.RetryAfter,
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
