package dispatch

import (
	"time"

	"fescuehall/allowance"
	"fescuehall/rank"
	"fescuehall/reach"
	"fescuehall/replica"
	"fescuehall/roster"
)

// Reasons, besides those of the roster, for which a replica gets no request.
const (
	OutsideHomes roster.Exclusion = "outside the homes"
	AskedToPause roster.Exclusion = "asked for a pause"
	Ejected      roster.Exclusion = "ejected"
	Cold         roster.Exclusion = "cold, and this host has no token for it"
	Limited      roster.Exclusion = "named a limit, and this host has no token for it"
)

// Explanation is where a request would go now, and why.
type Explanation struct {
	// Refusal is the answer to a request that is refused, nil if it is admitted.
	Refusal *Answer
	// RefusalProbability is the probability with which the request is refused for
	// overload.
	RefusalProbability float64
	// Overload is the answer to a request that is refused with that probability.
	Overload *Answer
	// Bundles are the shards that peers would gather. This host requests the others
	// itself.
	Bundles []Bundle
	// Parts are the services that are requested, in order. PartsLeftOut counts those
	// that are not explained.
	Parts        []ExplainedPart
	PartsLeftOut int
}

// ExplainedPart is a service that would be requested.
type ExplainedPart struct {
	Service string
	// Peer is the host that gathers the shard, empty for this one. A peer chooses the
	// replica by its own measurements.
	Peer string
	// Chosen is the ID of the replica that would get the first attempt, empty if none
	// would now or a peer chooses it.
	Chosen string
	// AwaitsToken is set if the chosen replica is limited and gets the attempt once there
	// is a token for it.
	AwaitsToken bool
	// Wait is how long the first attempt waits for the end of a pause.
	Wait time.Duration
	// Replicas are those listed. ReplicasLeftOut counts those that are not explained.
	Replicas        []ExplainedReplica
	ReplicasLeftOut int
}

// ExplainedReplica is a replica that is considered or excluded.
type ExplainedReplica struct {
	roster.Replica
	// Excluded is why the replica gets no request, empty if it is considered.
	Excluded roster.Exclusion
	// PausedFor is how long the replica wants no requests.
	PausedFor time.Duration
	// Candidate is how this host judges the replica.
	Candidate replica.Candidate
}

const (
	// maxExplainedParts and maxExplainedReplicas bound the time and memory of an
	// explanation.
	maxExplainedParts    = 500
	maxExplainedReplicas = 20
)

// Explain returns where Serve would send a request now, by the code of Serve. It sends
// nothing, and changes no state of the dispatcher or of what it uses.
func (dispatcher *Dispatcher) Explain(request *Request) *Explanation {
	run := newRun(dispatcher, request)
	defer run.cancel()
	defer run.cancelBundles()
	explanation := &Explanation{Overload: overloadAnswer()}
	_, explanation.Refusal = run.refusal((*reach.Monitor).TrialDue)
	if throttle, ok := dispatcher.throttles.Load(run.parts[0].service); ok {
		explanation.RefusalProbability = throttle.(*rank.Throttle).RefusalProbability(request.Rank(), request.Workspace.NameOrEmpty())
	}
	gatherers := make(map[string]string)
	if explanation.Refusal == nil && request.Route.Gathers() && dispatcher.Preview != nil {
		explanation.Bundles = dispatcher.Preview(request, run.allows)
		for _, bundle := range explanation.Bundles {
			for _, shard := range bundle.Shards {
				gatherers[shard] = bundle.Peer
			}
		}
	}
	parts := run.parts[:min(len(run.parts), maxExplainedParts)]
	explanation.PartsLeftOut = len(run.parts) - len(parts)
	services := make([]string, len(parts))
	for i, part := range parts {
		services[i] = part.service
	}
	listed, preview := dispatcher.Listed(services), dispatcher.Picker.Preview()
	for _, part := range parts {
		explained := run.explainPart(part, listed[part.service], preview, gatherers[part.service])
		explanation.Parts = append(explanation.Parts, explained)
	}
	return explanation
}

// explainPart explains the choice of a replica for one part, which a peer makes unless
// peer is empty.
func (run *run) explainPart(part *part, listed []roster.Listed, preview *replica.Preview, peer string) ExplainedPart {
	explained := ExplainedPart{Service: part.service, Peer: peer}
	candidates := run.candidates(part)
	reasons := run.withoutToken(candidates)
	if peer == "" {
		chooser := chooser{limits: run.dispatcher.Limits, pick: preview.PickAdmitted, peek: true, mayAsk: true, mayWait: true}
		if choice, ok := chooser.choose(candidates); ok {
			explained.Chosen, explained.AwaitsToken = choice.replica.ID, choice.waits || choice.ticket.Asking
		} else if run.awaitPause(part) {
			explained.Wait = part.resumeAt.Sub(run.dispatcher.Picker.Now())
		}
	}
	shown := listed[:min(len(listed), maxExplainedReplicas)]
	explained.ReplicasLeftOut = len(listed) - len(shown)
	for _, each := range shown {
		if reason, isCandidate := reasons[each.ID]; isCandidate {
			each.Excluded = reason
		} else if each.Excluded == "" {
			each.Excluded = run.exclusion(each.Replica)
		}
		explained.Replicas = append(explained.Replicas, run.explainReplica(each))
	}
	return explained
}

// withoutToken returns why candidates get no request before there is a token, by their
// IDs: empty reasons for the others, and for all if there is no other.
func (run *run) withoutToken(candidates []roster.Replica) map[string]roster.Exclusion {
	reasons, excluded := make(map[string]roster.Exclusion, len(candidates)), 0
	for _, candidate := range candidates {
		reasons[candidate.ID] = ""
		limits := run.dispatcher.Limits
		if limits == nil || limits.Limited(candidate) == "" {
			continue
		}
		if ticket := limits.PeekNow(candidate); ticket.Decision != allowance.Allowed && !ticket.Asking {
			reasons[candidate.ID] = limits.Limited(candidate)
			excluded++
		}
	}
	if excluded == len(candidates) {
		for id := range reasons {
			reasons[id] = ""
		}
	}
	return reasons
}

// exclusion returns why a replica that accepts requests is no candidate.
func (run *run) exclusion(replica roster.Replica) roster.Exclusion {
	switch {
	case !run.allows(replica.FailureDomain):
		return OutsideHomes
	case run.dispatcher.Picker.Paused(replica.ID):
		return AskedToPause
	}
	return ""
}

// explainReplica returns what is known of a replica.
func (run *run) explainReplica(listed roster.Listed) ExplainedReplica {
	picker := run.dispatcher.Picker
	explained := ExplainedReplica{Replica: listed.Replica, Excluded: listed.Excluded, Candidate: picker.Explain([]string{listed.ID})[0]}
	explained.PausedFor = max(0, picker.PausedUntil(listed.ID).Sub(picker.Now()))
	if explained.Excluded == "" && explained.Candidate.Ejected {
		explained.Excluded = Ejected
	}
	return explained
}
