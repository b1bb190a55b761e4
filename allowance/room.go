package allowance

import (
	"slices"
	"time"
)

// Room is what Take would find of a limit now.
type Room struct {
	// Decided is set if this host can decide without asking a keeper; Decision is that
	// on the next request.
	Decided  bool
	Decision Decision
	// RetryAfter is the delay after which a request that is not allowed may be sent
	// again.
	RetryAfter time.Duration
	// Tokens is the number of tokens that this host has.
	Tokens int
	// Keepers are the hosts that would be asked, in this order, if this host can't
	// decide. An ask in flight is awaited first if Asking is set.
	Keepers []string
	Asking  bool
}

// Room returns what Take would find of a limit now. It changes no state, takes no token
// and asks no keeper.
func (tokens *Tokens) Room(name string, limit Limit) Room {
	now := tokens.Now()
	copied := &account{name: name}
	tokens.mu.Lock()
	found := tokens.accounts[name]
	tokens.mu.Unlock()
	if found != nil {
		copied = found.copy()
	}
	tokens.apply(copied, limit)
	room := Room{Tokens: copied.valid(now), Asking: copied.asking != nil}
	room.Decision, room.Decided = copied.judge(now)
	if !room.Decided && !room.Asking {
		if room.Keepers = tokens.nextKeepers(copied, now); len(room.Keepers) == 0 {
			copied.refuse(now)
			room.Decision, room.Decided = copied.judge(now)
		}
	}
	if room.Decided && room.Decision != Allowed {
		copied.line++
		room.RetryAfter = tokens.retryAfter(copied, now)
	}
	return room
}

// nextKeepers returns the names of the keepers that ask would ask in turn. It records
// in the account, a copy, that the others don't reply.
func (tokens *Tokens) nextKeepers(account *account, now time.Time) []string {
	tokens.mu.Lock()
	defer tokens.mu.Unlock()
	var names []string
	for index, domain := range account.domains {
		if now.Before(account.emptyUntil[index]) {
			continue
		}
		if keeper, ok := tokens.Keeper(account.name, domain); ok && !now.Before(tokens.silent[keeper.Name]) {
			names = append(names, keeper.Name)
		} else {
			account.receive(index, nil, now, now)
		}
	}
	return names
}

// copy returns a copy of what a decision depends on.
func (original *account) copy() *account {
	original.mu.Lock()
	defer original.mu.Unlock()
	return &account{
		name:         original.name,
		limit:        original.limit,
		lots:         slices.Clone(original.lots),
		asking:       original.asking,
		domains:      slices.Clone(original.domains),
		emptyUntil:   slices.Clone(original.emptyUntil),
		nextAt:       slices.Clone(original.nextAt),
		refusedUntil: original.refusedUntil,
		reason:       original.reason,
		line:         original.line,
	}
}
