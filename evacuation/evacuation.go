// Package evacuation holds the failure domains whose replicas get no requests.
package evacuation

import (
	"slices"
	"sync"
	"time"
)

// Set is the set of evacuated failure domains. Set the exported fields before use.
type Set struct {
	// Changed is called with each domain that was evacuated, or whose evacuation has
	// ended, before Confirm returns; it may be nil.
	Changed func(domain string, evacuated bool)

	mu sync.Mutex
	// domains is sorted and never modified.
	domains []string
	// confirmedAt is a time up to which the set holds every change that was
	// acknowledged, zero while the set is unknown.
	confirmedAt time.Time
}

// Confirm replaces the set by one that holds every change acknowledged before a
// time, unless the present set is confirmed for a later time.
func (set *Set) Confirm(domains []string, at time.Time) {
	set.mu.Lock()
	defer set.mu.Unlock()
	if at.Before(set.confirmedAt) {
		return
	}
	set.confirmedAt = at
	if slices.Equal(domains, set.domains) {
		return
	}
	next := slices.Clone(domains)
	slices.Sort(next)
	next = slices.Compact(next)
	previous := set.domains
	set.domains = next
	set.report(next, previous, true)
	set.report(previous, next, false)
}

// report calls Changed with the domains that are not among others.
func (set *Set) report(domains, others []string, evacuated bool) {
	if set.Changed == nil {
		return
	}
	for _, domain := range domains {
		if _, found := slices.BinarySearch(others, domain); !found {
			set.Changed(domain, evacuated)
		}
	}
}

// Domains returns the evacuated domains in order of name, which must not be
// modified, and whether they are known.
func (set *Set) Domains() (domains []string, known bool) {
	set.mu.Lock()
	defer set.mu.Unlock()
	return set.domains, !set.confirmedAt.IsZero()
}
