package allowance

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"fescuehall/message"
	"fescuehall/shard"
)

const (
	// askTimeout bounds an ask of one keeper: many times the usual round trip
	// between failure domains. takeTimeout bounds the wait of a request.
	askTimeout  = 60 * time.Millisecond
	takeTimeout = 150 * time.Millisecond
	// silentTime is how long a keeper that did not reply is not asked.
	silentTime = 500 * time.Millisecond
	// unknownRetryAfter is the delay after which a request may be sent again that
	// no keeper could decide on.
	unknownRetryAfter = 250 * time.Millisecond
	// maxEmptyTime and minEmptyTime bound how long a keeper without tokens is not
	// asked again.
	minEmptyTime = 20 * time.Millisecond
	maxEmptyTime = 400 * time.Millisecond
	// maxRetryAfter bounds the delay after which a request beyond the allowance may
	// be sent again.
	maxRetryAfter = 5 * time.Second
	// demandTime is the time over which a host averages its demand.
	demandTime = time.Second
	// batchShare is the share of a token's lifetime for whose demand a host asks
	// ahead.
	batchShare = 0.5
	// idleTime is how long a limit that was not used is remembered.
	idleTime = 30 * time.Second
)

// Decision is the decision on one request.
type Decision int

// Decisions.
const (
	// Unknown means that no keeper could be asked whether the limit allows the
	// request.
	Unknown Decision = iota
	// Allowed means that the request has a token.
	Allowed
	// UsedUp means that all keepers say that they have no token.
	UsedUp
)

// Ticket is the result of Take.
type Ticket struct {
	Decision Decision
	// RetryAfter is the delay after which a request that is not allowed may be sent
	// again.
	RetryAfter time.Duration
	// Asking is set by TakeNow if the decision awaits an ask in flight.
	Asking bool
	// expires is when the token is void.
	expires time.Time
	// held is the first of the tokens that TakeAll took.
	held *heldToken
}

// Valid reports whether the ticket allows a request at a time.
func (ticket Ticket) Valid(now time.Time) bool {
	return ticket.Decision == Allowed && now.Before(ticket.expires)
}

// Tokens holds the tokens that this host has for the requests that it receives. Set
// the exported fields before use.
type Tokens struct {
	// Domain is this host's failure domain, Domains those of the deployment.
	Domain  string
	Domains []string
	// Now is a clock that also runs while the machine is suspended.
	Now func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64
	// Version returns the version of the active configuration.
	Version func() uint64
	// Keeper returns the host of a failure domain that keeps a limit.
	Keeper func(limit, domain string) (shard.Host, bool)
	// Share returns this host's share of the reserves; nil if it has none.
	Share func() float64
	// Ask asks a keeper, which may be this host.
	Ask func(ctx context.Context, keeper shard.Host, ask *message.AllowanceAsk) (*message.AllowanceGrant, error)

	mu       sync.Mutex
	accounts map[string]*account
	sweptAt  time.Time
	// silent maps keepers that did not reply to the time until which they are not
	// asked.
	silent map[string]time.Time
}

// account holds this host's tokens of one limit.
type account struct {
	name  string
	mu    sync.Mutex
	limit Limit
	lots  []lot
	// asking is closed when the ask in flight ends, nil when there is none.
	asking chan struct{}
	// waiting is the number of requests that wait for it.
	waiting int
	// domains are the failure domains that share the limit. emptyUntil and nextAt
	// are, by their index, when each is asked again and when it has a token again.
	domains    []string
	emptyUntil []time.Time
	nextAt     []time.Time
	// refused is set while no domain is to be asked: refusedUntil has not come.
	// reason is the decision until then, line the number of requests refused.
	refusedUntil time.Time
	reason       Decision
	line         int
	// turnAt is this host's next turn of the reserve, the zero time before it was
	// needed.
	turnAt time.Time
	// demand is the average number of requests a second, at demandAt.
	demand   float64
	demandAt time.Time
	counts   Counts
}

// lot is a number of tokens with the same expiry.
type lot struct {
	count   int
	expires time.Time
}

// Take takes a token of a limit for one request. It waits for a keeper's reply when
// this host has none.
func (tokens *Tokens) Take(ctx context.Context, name string, limit Limit) Ticket {
	account := tokens.account(name)
	account.mu.Lock()
	tokens.prepare(account, limit)
	ticket, decided := tokens.decide(account)
	if !decided {
		ticket = tokens.await(ctx, account)
	}
	account.counts.add(ticket.Decision)
	account.mu.Unlock()
	return ticket
}

// TakeNow takes a token of a limit if this host has one. Otherwise it asks for some in
// the background.
func (tokens *Tokens) TakeNow(name string, limit Limit) Ticket {
	account := tokens.account(name)
	account.mu.Lock()
	defer account.mu.Unlock()
	tokens.prepare(account, limit)
	ticket, decided := tokens.decide(account)
	if !decided {
		tokens.startAsk(account)
		ticket = Ticket{Decision: Unknown, RetryAfter: unknownRetryAfter, Asking: true}
	}
	account.counts.add(ticket.Decision)
	return ticket
}

// Return gives back the token of a request that is not sent.
func (tokens *Tokens) Return(name string, ticket Ticket) {
	if ticket.Decision != Allowed {
		return
	}
	tokens.mu.Lock()
	account := tokens.accounts[name]
	tokens.mu.Unlock()
	if account == nil {
		return
	}
	account.mu.Lock()
	defer account.mu.Unlock()
	account.counts.Returned++
	account.add(1, ticket.expires)
}

// account returns the account of a limit.
func (tokens *Tokens) account(name string) *account {
	tokens.mu.Lock()
	defer tokens.mu.Unlock()
	found := tokens.accounts[name]
	if found == nil {
		tokens.sweep()
		found = &account{name: name}
		tokens.accounts[name] = found
	}
	return found
}

// prepare counts a request and applies the limit as it is now. The caller holds the
// account's lock.
func (tokens *Tokens) prepare(account *account, limit Limit) {
	account.recordDemand(tokens.Now())
	tokens.apply(account, limit)
}

// apply applies the limit as it is now. The caller holds the account's lock.
func (tokens *Tokens) apply(account *account, limit Limit) {
	if account.limit == limit {
		return
	}
	account.limit = limit
	domains := slices.Clone(limit.sharingDomains(account.name, tokens.Domains))
	for i := range domains {
		j := i + int(tokens.Random()*float64(len(domains)-i))
		domains[i], domains[j] = domains[j], domains[i]
	}
	// This host's failure domain is asked first.
	if index := slices.Index(domains, tokens.Domain); index > 0 {
		domains[0], domains[index] = domains[index], domains[0]
	}
	account.domains, account.refusedUntil = domains, time.Time{}
	account.emptyUntil, account.nextAt = make([]time.Time, len(domains)), make([]time.Time, len(domains))
}

// sweep removes accounts that are not in use. The caller holds the lock.
func (tokens *Tokens) sweep() {
	now := tokens.Now()
	if tokens.accounts == nil {
		tokens.accounts, tokens.silent = make(map[string]*account), make(map[string]time.Time)
	}
	if now.Sub(tokens.sweptAt) < idleTime/2 {
		return
	}
	tokens.sweptAt = now
	for name, account := range tokens.accounts {
		account.mu.Lock()
		if account.asking == nil && now.Sub(account.demandAt) > idleTime {
			delete(tokens.accounts, name)
		}
		account.mu.Unlock()
	}
	for name, until := range tokens.silent {
		if !now.Before(until) {
			delete(tokens.silent, name)
		}
	}
}

// decide decides on a request without asking, if that is possible. The caller holds
// the account's lock.
func (tokens *Tokens) decide(account *account) (Ticket, bool) {
	now := tokens.Now()
	if expires, ok := account.take(now); ok {
		if batch := account.batch(); batch >= 2 && account.left() < batch/2 && !now.Before(account.refusedUntil) {
			tokens.startAsk(account)
		}
		return Ticket{Decision: Allowed, expires: expires}, true
	}
	if decision, decided := account.judge(now); decided {
		if decision == Unknown {
			if ticket, ok := tokens.takeReserve(account, now); ok {
				return ticket, true
			}
		}
		account.line++
		return Ticket{Decision: decision, RetryAfter: tokens.retryAfter(account, now)}, true
	}
	return Ticket{}, false
}

// judge returns the decision on a request, and whether this host can take it without
// asking. The caller holds the account's lock.
func (account *account) judge(now time.Time) (decision Decision, decided bool) {
	switch {
	case account.valid(now) > 0:
		return Allowed, true
	case now.Before(account.refusedUntil) && account.asking == nil:
		return account.reason, true
	}
	return Unknown, false
}

// valid returns the number of tokens that are not void. The caller holds the account's
// lock.
func (account *account) valid(now time.Time) int {
	count := 0
	for _, lot := range account.lots {
		if now.Before(lot.expires) {
			count += lot.count
		}
	}
	return count
}

// await waits until a request can be decided on. The caller holds the account's lock,
// which is released while waiting.
func (tokens *Tokens) await(ctx context.Context, account *account) Ticket {
	timeout := time.NewTimer(takeTimeout)
	defer timeout.Stop()
	for {
		tokens.startAsk(account)
		asking := account.asking
		account.waiting++
		account.mu.Unlock()
		ended := false
		select {
		case <-asking:
		case <-timeout.C:
			ended = true
		case <-ctx.Done():
			ended = true
		}
		account.mu.Lock()
		account.waiting--
		if ticket, decided := tokens.decide(account); decided {
			return ticket
		}
		if ended {
			if ticket, ok := tokens.takeReserve(account, tokens.Now()); ok {
				return ticket
			}
			return Ticket{Decision: Unknown, RetryAfter: unknownRetryAfter}
		}
	}
}

// retryAfter returns when a request that was refused may be sent again. Requests
// that were refused one after the other get different delays. The caller holds the
// account's lock.
func (tokens *Tokens) retryAfter(account *account, now time.Time) time.Duration {
	const minRetryAfter = 50 * time.Millisecond
	if account.reason == Unknown {
		return unknownRetryAfter + time.Duration(tokens.Random()*float64(unknownRetryAfter))
	}
	next := account.nextAt[0]
	for _, at := range account.nextAt[1:] {
		if at.Before(next) {
			next = at
		}
	}
	delay := next.Sub(now)
	if account.limit.Rate > 0 {
		delay += time.Duration((float64(account.line) + tokens.Random()) / account.limit.Rate * float64(time.Second))
	}
	return min(max(delay, minRetryAfter), maxRetryAfter)
}

// startAsk asks for tokens in the background unless an ask is in flight. The caller
// holds the account's lock.
func (tokens *Tokens) startAsk(account *account) {
	if account.asking != nil {
		return
	}
	account.asking = make(chan struct{})
	go tokens.ask(account)
}

// ask asks keepers in turn until one grants a token.
func (tokens *Tokens) ask(account *account) {
	ctx, cancel := context.WithTimeout(context.Background(), takeTimeout)
	defer cancel()
	account.mu.Lock()
	defer account.mu.Unlock()
	granted := false
	for index := 0; index < len(account.domains) && !granted; index++ {
		if tokens.Now().Before(account.emptyUntil[index]) {
			continue
		}
		wanted := max(1, float64(account.waiting), account.batch())
		domain, rate, sentAt := account.domains[index], account.limit.Rate, tokens.Now()
		account.mu.Unlock()
		grant := tokens.askKeeper(ctx, account.name, domain, wanted, rate)
		account.mu.Lock()
		if index < len(account.domains) && account.domains[index] == domain {
			granted = account.receive(index, grant, sentAt, tokens.Now())
		}
	}
	if granted {
		account.refusedUntil, account.line = time.Time{}, 0
	} else {
		account.refuse(tokens.Now())
	}
	close(account.asking)
	account.asking = nil
}

// receive records a reply of the keeper of one failure domain, nil if there is none,
// and reports whether it granted tokens. The caller holds the account's lock.
func (account *account) receive(index int, grant *message.AllowanceGrant, sentAt, now time.Time) bool {
	account.counts.Asks++
	if grant == nil || grant.Refused {
		account.emptyUntil[index], account.nextAt[index] = now.Add(unknownRetryAfter), time.Time{}
		return false
	}
	if grant.NextMicros > 0 {
		next := time.Duration(grant.NextMicros) * time.Microsecond
		account.nextAt[index] = now.Add(next)
		account.emptyUntil[index] = now.Add(min(max(next, minEmptyTime), maxEmptyTime))
	}
	if grant.Tokens < 1 {
		return false
	}
	lifetime := min(time.Duration(grant.ExpiryMicros)*time.Microsecond, maxLifetime)
	account.add(int(grant.Tokens), sentAt.Add(lifetime))
	return true
}

// askKeeper returns the reply of a failure domain's keeper, nil if there is none.
func (tokens *Tokens) askKeeper(ctx context.Context, name, domain string, wanted, rate float64) *message.AllowanceGrant {
	keeper, ok := tokens.Keeper(name, domain)
	if !ok || ctx.Err() != nil {
		return nil
	}
	tokens.mu.Lock()
	silent := tokens.Now().Before(tokens.silent[keeper.Name])
	tokens.mu.Unlock()
	if silent {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	grant, err := tokens.Ask(ctx, keeper, &message.AllowanceAsk{Limit: name, Tokens: wanted, FailureDomain: tokens.Domain, Version: tokens.Version(), Rate: rate})
	if err != nil {
		tokens.mu.Lock()
		defer tokens.mu.Unlock()
		tokens.silent[keeper.Name] = tokens.Now().Add(silentTime)
		return nil
	}
	return grant
}

// refuse records that no keeper granted a token. Requests are refused until one may be
// asked again.
func (account *account) refuse(now time.Time) {
	account.reason = UsedUp
	if len(account.domains) == 0 {
		account.reason, account.refusedUntil = Unknown, now.Add(unknownRetryAfter)
		return
	}
	account.refusedUntil = account.emptyUntil[0]
	for index, until := range account.emptyUntil {
		if until.Before(account.refusedUntil) {
			account.refusedUntil = until
		}
		if account.nextAt[index].IsZero() {
			account.reason = Unknown
		}
	}
	// At least the requests that waited for this ask are refused.
	if least := now.Add(minEmptyTime); account.refusedUntil.Before(least) {
		account.refusedUntil = least
	}
}

// recordDemand counts a request. The caller holds the account's lock.
func (account *account) recordDemand(now time.Time) {
	elapsed := now.Sub(account.demandAt).Seconds() / demandTime.Seconds()
	account.demand = account.demand*math.Exp(-max(0, elapsed)) + 1/demandTime.Seconds()
	account.demandAt = now
}

// batch returns the number of tokens to ask for at a time.
func (account *account) batch() float64 {
	return math.Ceil(account.demand * batchShare * account.limit.lifetime().Seconds())
}

// take takes a token that is not void. The caller holds the account's lock.
func (account *account) take(now time.Time) (time.Time, bool) {
	for len(account.lots) > 0 {
		first := &account.lots[0]
		if now.Before(first.expires) && first.count > 0 {
			first.count--
			return first.expires, true
		}
		account.counts.Void += int64(first.count)
		account.lots = slices.Delete(account.lots, 0, 1)
	}
	return time.Time{}, false
}

// left returns the number of tokens. The caller holds the account's lock.
func (account *account) left() float64 {
	count := 0
	for _, lot := range account.lots {
		count += lot.count
	}
	return float64(count)
}

// add adds tokens in order of their expiry. The caller holds the account's lock.
func (account *account) add(count int, expires time.Time) {
	index, found := slices.BinarySearchFunc(account.lots, expires, func(lot lot, expires time.Time) int { return lot.expires.Compare(expires) })
	if found {
		account.lots[index].count += count
		return
	}
	account.lots = slices.Insert(account.lots, index, lot{count: count, expires: expires})
}
