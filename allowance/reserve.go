package allowance

import "time"

const (
	// reserveSlot is how long a host may use its turn of a limit's reserve.
	reserveSlot = time.Second
	// maxReserveInterval keeps the time between two turns within a time.Duration.
	maxReserveInterval = 24 * time.Hour
)

// takeReserve takes this host's turn of the limit's reserve, if it has come. Turns are
// lost when they are not used, and begin at a random time, so that hosts which lose
// their keepers at the same time have theirs by turns. The caller holds the account's
// lock.
func (tokens *Tokens) takeReserve(account *account, now time.Time) (Ticket, bool) {
	if account.limit.Reserve <= 0 || tokens.Share == nil {
		return Ticket{}, false
	}
	perSecond := account.limit.Reserve * tokens.Share()
	if perSecond <= 0 {
		return Ticket{}, false
	}
	interval := time.Duration(min(1/perSecond, maxReserveInterval.Seconds()) * float64(time.Second))
	if account.turnAt.IsZero() {
		account.turnAt = now.Add(time.Duration(tokens.Random() * float64(interval)))
	}
	if missed := now.Sub(account.turnAt) - reserveSlot; missed >= 0 {
		account.turnAt = account.turnAt.Add(interval * (1 + missed/interval))
	}
	if now.Before(account.turnAt) {
		return Ticket{}, false
	}
	account.turnAt = account.turnAt.Add(interval)
	return Ticket{Decision: Allowed, expires: now.Add(account.limit.lifetime())}, true
}
