package allowance

import (
	"cmp"
	"slices"
	"strings"
)

// Counts are the figures of one limit at this host.
type Counts struct {
	// Name is the name of the limit.
	Name string
	// Allowed, UsedUp and Unknown count the requests by the decision on them.
	Allowed int64
	UsedUp  int64
	Unknown int64
	// Returned counts the tokens that were given back, Void those that expired.
	Returned int64
	Void     int64
	// Asks counts the asks that were sent.
	Asks int64
}

func (counts *Counts) add(decision Decision) {
	switch decision {
	case Allowed:
		counts.Allowed++
	case UsedUp:
		counts.UsedUp++
	default:
		counts.Unknown++
	}
}

// maxCounts is the number of limits of which Counts returns the figures.
const maxCounts = 100

// Counts returns the figures of the limits that were used lately, those with the most
// refused requests first, then those with the most allowed.
func (tokens *Tokens) Counts() []Counts {
	tokens.mu.Lock()
	defer tokens.mu.Unlock()
	list := make([]Counts, 0, len(tokens.accounts))
	for name, account := range tokens.accounts {
		account.mu.Lock()
		counts := account.counts
		account.mu.Unlock()
		counts.Name = name
		list = append(list, counts)
	}
	slices.SortFunc(list, func(a, b Counts) int {
		return cmp.Or(cmp.Compare(b.UsedUp+b.Unknown, a.UsedUp+a.Unknown), cmp.Compare(b.Allowed, a.Allowed), strings.Compare(a.Name, b.Name))
	})
	return list[:min(len(list), maxCounts)]
}
