package roster

import (
	"cmp"
	"slices"
	"time"
)

// Exclusion is why a listed replica accepts no requests, empty if it accepts them.
type Exclusion string

// Reasons for which a listed replica accepts no requests.
const (
	Leaving     Exclusion = "leaving"
	SaidLeaving Exclusion = "said that it leaves"
	Evacuated   Exclusion = "evacuated"
	Misplaced   Exclusion = "misplaced"
)

// Listed is a listed replica, and why it accepts no requests.
type Listed struct {
	Replica
	Excluded Exclusion
}

// Listed returns all listed replicas of services, by service. It changes no state.
func (roster *Roster) Listed(services []string) map[string][]Listed {
	byService := make(map[string][]Listed, len(services))
	for _, service := range services {
		byService[service] = nil
	}
	roster.mu.Lock()
	defer roster.mu.Unlock()
	for id, replica := range roster.replicas {
		if list, wanted := byService[replica.Service]; wanted {
			byService[replica.Service] = append(list, Listed{Replica: replica, Excluded: roster.exclusion(id, replica)})
		}
	}
	for _, list := range byService {
		slices.SortFunc(list, func(a, b Listed) int { return cmp.Compare(a.ID, b.ID) })
	}
	return byService
}

// exclusion returns why a replica accepts no requests.
func (roster *Roster) exclusion(id string, replica Replica) Exclusion {
	_, misplaced := roster.misplacedAt[id]
	switch {
	case replica.Leaving:
		return Leaving
	case misplaced:
		return Misplaced
	case roster.evacuated[replica.FailureDomain]:
		return Evacuated
	case roster.saidLeaving(replica):
		return SaidLeaving
	}
	return ""
}

// leavingReply is the incarnation of a replica that said in a reply that it leaves.
type leavingReply struct {
	incarnation int64
	// listedAt is when the replica was last listed.
	listedAt time.Time
}

// SetEvacuated sets whether a failure domain is evacuated. The replicas of such a
// domain accept no requests.
func (roster *Roster) SetEvacuated(domain string, evacuated bool) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	if roster.evacuated == nil {
		roster.evacuated = make(map[string]bool)
	}
	if evacuated {
		roster.evacuated[domain] = true
	} else {
		delete(roster.evacuated, domain)
	}
	if roster.Loaded() {
		roster.publish(roster.Now())
	}
}

// ReportLeaving records that a replica said in a reply that it leaves. It accepts no
// requests again in the same incarnation, whatever its entry says.
func (roster *Roster) ReportLeaving(replica Replica) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	if roster.saidLeaving(replica) {
		return
	}
	if listed, found := roster.replicas[replica.ID]; found && listed.Incarnation != replica.Incarnation {
		// The replica has restarted since the request was sent.
		return
	}
	if roster.leaving == nil {
		roster.leaving = make(map[string]leavingReply)
	}
	now := roster.Now()
	roster.leaving[replica.ID] = leavingReply{incarnation: replica.Incarnation, listedAt: now}
	if roster.Changed != nil {
		roster.Changed(replica, "said that it leaves")
	}
	roster.publish(now)
}

// saidLeaving reports whether this incarnation of a replica said in a reply that it
// leaves.
func (roster *Roster) saidLeaving(replica Replica) bool {
	reply, found := roster.leaving[replica.ID]
	return found && reply.incarnation == replica.Incarnation
}

// forgetLeaving drops what replicas said that are no longer listed.
func (roster *Roster) forgetLeaving(now time.Time) {
	for id, reply := range roster.leaving {
		if _, listed := roster.replicas[id]; listed {
			reply.listedAt = now
			roster.leaving[id] = reply
		} else if now.Sub(reply.listedAt) > forgetAfter {
			delete(roster.leaving, id)
		}
	}
}
