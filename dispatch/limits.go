package dispatch

import (
	"context"

	"fescuehall/allowance"
	"fescuehall/roster"
	"fescuehall/verdict"
)

// ColdLimits are the limits on requests to cold replicas, which all hosts share. Set
// the fields before use.
type ColdLimits struct {
	// Limited reports whether a replica is cold and its service limits what it gets.
	Limited func(replica roster.Replica) bool
	// PeekNow returns the decision of TakeNow without a change of state. It may be nil
	// unless Explain is called.
	PeekNow func(replica roster.Replica) allowance.Decision
	// TakeNow takes a token for a request to a cold replica if this host has one. Await
	// waits for one until ctx ends. Return gives back one that was not used.
	TakeNow func(replica roster.Replica) allowance.Ticket
	Await   func(ctx context.Context, replica roster.Replica) allowance.Ticket
	Return  func(replica roster.Replica, ticket allowance.Ticket)
}

// choice is the replicas among which an attempt's is chosen.
type choice struct {
	replicas []roster.Replica
	// tickets holds the tokens of those that are cold, by index; nil if none is.
	tickets []allowance.Ticket
	// waits is set if none of the replicas may get the attempt before it has a token.
	waits bool
}

// choice returns the replicas that may get an attempt now: those that are not cold, and
// cold ones for which this host has a token. If there are none, an attempt has to wait
// for a token. takeNow takes a token as TakeNow does.
func (run *run) choice(candidates []roster.Replica, takeNow func(limits *ColdLimits, replica roster.Replica) allowance.Ticket) choice {
	limits := run.dispatcher.Cold
	if limits == nil || !anyLimited(limits, candidates) {
		return choice{replicas: candidates}
	}
	var admitted choice
	for _, candidate := range candidates {
		var ticket allowance.Ticket
		if limits.Limited(candidate) {
			ticket = takeNow(limits, candidate)
			if ticket.Decision != allowance.Allowed {
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

func takeNow(limits *ColdLimits, replica roster.Replica) allowance.Ticket {
	return limits.TakeNow(replica)
}

func peekNow(limits *ColdLimits, replica roster.Replica) allowance.Ticket {
	return allowance.Ticket{Decision: limits.PeekNow(replica)}
}

func anyLimited(limits *ColdLimits, candidates []roster.Replica) bool {
	for _, candidate := range candidates {
		if limits.Limited(candidate) {
			return true
		}
	}
	return false
}

// take returns the token for the chosen replica and gives back the others.
func (choice choice) take(limits *ColdLimits, chosen int) allowance.Ticket {
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

// send sends an attempt, after it has got a token if its replica is cold.
func (run *run) send(sentAttempt *sentAttempt) *Reply {
	limits := run.dispatcher.Cold
	if sentAttempt.waits {
		// Ends early enough for the answer to say that the attempt has not run.
		ctx, cancel := context.WithDeadline(sentAttempt.ctx, run.request.Deadline.Add(-2*deadlineMargin))
		defer cancel()
		sentAttempt.ticket = limits.Await(ctx, sentAttempt.replica)
		if sentAttempt.ticket.Decision != allowance.Allowed {
			return &Reply{Failure: verdict.New(verdict.NotRun, verdict.Cancelled, "replica %s is cold and may get no more requests", sentAttempt.replica.ID)}
		}
	}
	reply := run.dispatcher.Send(sentAttempt.ctx, &Attempt{Request: run.request, Replica: sentAttempt.replica, Template: run.template, Extra: sentAttempt.extra})
	if sentAttempt.ticket.Decision == allowance.Allowed && reply.Failure != nil && reply.Failure.Code == verdict.Unreachable && reply.Failure.Verdict == verdict.NotRun {
		limits.Return(sentAttempt.replica, sentAttempt.ticket)
	}
	return reply
}
