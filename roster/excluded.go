package roster

import "time"

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
