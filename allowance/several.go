package allowance

import "context"

// Named is a limit with its name.
type Named struct {
	Name  string
	Limit Limit
}

// heldToken is a token of one of several limits.
type heldToken struct {
	name   string
	ticket Ticket
	next   *heldToken
}

// TakeAll takes a token of each limit for one request, or none. It waits for keepers'
// replies as Take does. Without a limit the request is allowed.
func (tokens *Tokens) TakeAll(ctx context.Context, limits []Named) Ticket {
	return tokens.takeAll(limits, func(name string, limit Limit) Ticket { return tokens.Take(ctx, name, limit) })
}

// TakeAllNow takes a token of each limit if this host has one of each, or none.
// Otherwise it asks for some in the background.
func (tokens *Tokens) TakeAllNow(limits []Named) Ticket {
	return tokens.takeAll(limits, tokens.TakeNow)
}

func (tokens *Tokens) takeAll(limits []Named, take func(name string, limit Limit) Ticket) Ticket {
	all := Ticket{Decision: Allowed}
	for _, named := range limits {
		ticket := take(named.Name, named.Limit)
		if ticket.Decision != Allowed {
			tokens.ReturnAll(all)
			return ticket
		}
		if all.expires.IsZero() || ticket.expires.Before(all.expires) {
			all.expires = ticket.expires
		}
		all.held = &heldToken{name: named.Name, ticket: ticket, next: all.held}
	}
	return all
}

// ReturnAll gives back what TakeAll or TakeAllNow took for a request that is not sent.
func (tokens *Tokens) ReturnAll(ticket Ticket) {
	for held := ticket.held; held != nil; held = held.next {
		tokens.Return(held.name, held.ticket)
	}
}
