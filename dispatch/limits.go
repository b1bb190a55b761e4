package dispatch

import (
	"context"
	"time"

	"fescuehall/allowance"
	"fescuehall/roster"
	"fescuehall/verdict"
)

// askWait is how long an attempt waits for a keeper's reply while other replicas could
// get it: many times the usual round trip between failure domains.
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

// choice is the replicas among which an attempt's is chosen.
type choice struct {
	replicas []roster.Replica
	// tickets holds the tickets of those that are limited, by index; nil if none is.
	tickets []allowance.Ticket
	// waits is set if none of the replicas may get the attempt before it has a token.
	waits bool
}

// choice returns the replicas that may get an attempt now: those that are not limited,
// limited ones for which this host has a token, and those for which it soon may have
// one. If there are none, an attempt has to wait for a token. takeNow takes a token as
// TakeNow does.
func (run *run) choice(candidates []roster.Replica, takeNow func(limits *ReplicaLimits, replica roster.Replica) allowance.Ticket) choice {
	limits := run.dispatcher.Limits
	if limits == nil || !anyLimited(limits, candidates) {
		return choice{replicas: candidates}
	}
	var admitted choice
	for _, candidate := range candidates {
		var ticket allowance.Ticket
		if limits.Limited(candidate) != "" {
			ticket = takeNow(limits, candidate)
			if ticket.Decision != allowance.Allowed && !ticket.Asking {
				continue
			}
		}
		admitted.replicas, admitted.tickets = append(admitted.replicas, candidate), append(admitted.tickets, ticket)
	}
	if len(admitted.replicas) == 0 {
		return choice{replicas: candidates, waits: true}
	}
	return admitted
}

func takeNow(limits *ReplicaLimits, replica roster.Replica) allowance.Ticket {
	return limits.TakeNow(replica)
}

// takeNowForHedge is takeNow for a hedge, which waits for nothing.
func takeNowForHedge(limits *ReplicaLimits, replica roster.Replica) allowance.Ticket {
	ticket := limits.TakeNow(replica)
	ticket.Asking = false
	return ticket
}

func peekNow(limits *ReplicaLimits, replica roster.Replica) allowance.Ticket {
	return limits.PeekNow(replica)
}

func anyLimited(limits *ReplicaLimits, candidates []roster.Replica) bool {
	for _, candidate := range candidates {
		if limits.Limited(candidate) != "" {
			return true
		}
	}
	return false
}

// asks reports whether the attempt has to wait for the keepers' reply on a replica.
func (choice choice) asks(index int) bool {
	return choice.tickets != nil && choice.tickets[index].Asking
}

// take returns the ticket for the chosen replica and gives back the others.
func (choice choice) take(limits *ReplicaLimits, chosen int) allowance.Ticket {
	var taken allowance.Ticket
	for index, ticket := range choice.tickets {
		switch {
		case index == chosen:
			taken = ticket
		case ticket.Decision == allowance.Allowed:
			limits.Return(choice.replicas[index], ticket)
		}
	}
	return taken
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
		until = earlier(until, time.Now().Add(askWait))
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
