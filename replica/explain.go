package replica

import (
	"time"

	"fescuehall/estimate"
)

// Status is the state of a replica as operators see it.
type Status struct {
	Address     string
	Outstanding int
	// Silence is how long the replica has not replied to outstanding requests.
	Silence time.Duration
	// Average is the expected time of a request that doesn't wait.
	Average time.Duration
	Ejected bool
	// Parts are the parts of the estimate and their ages.
	Parts estimate.Parts
}

// snapshot returns a copy of the state of a replica. It adds none.
func (picker *Picker) snapshot(address string) (copied state) {
	picker.states.withShard(address, func(states map[string]*state) {
		if found := states[address]; found != nil {
			copied = *found
		}
	})
	return copied
}

// Status returns the state of a replica. It changes no state.
func (picker *Picker) Status(address string) Status {
	state := picker.snapshot(address)
	return state.status(address, picker.Now())
}

func (state *state) status(address string, now time.Time) Status {
	return Status{
		Address:     address,
		Outstanding: state.outstanding,
		Silence:     state.silence(now),
		Average:     state.estimate.Time(now),
		Ejected:     now.Before(state.ejectedUntil),
		Parts:       state.estimate.Parts(now),
	}
}

// Candidate is a replica as Pick would consider it now.
type Candidate struct {
	Status
	// Score is the expected time of one more request, with penalties. Pick prefers
	// low scores.
	Score time.Duration
	// Distance is the part of the score for the distance to the replica.
	Distance time.Duration
	// Suspected is set when replies of the replica are late in succession.
	Suspected bool
	// Ramp is the probability with which the replica is considered, below 1 after
	// an ejection.
	Ramp float64
}

// Explain returns how Pick would judge replicas now. It changes no state.
func (picker *Picker) Explain(addresses []string) []Candidate {
	now := picker.Now()
	candidates := make([]Candidate, len(addresses))
	for i, address := range addresses {
		state := picker.snapshot(address)
		candidate := Candidate{Status: state.status(address, now), Ramp: state.ramp(now)}
		candidate.Score = time.Duration(picker.withPenalties(state.expectedTime(now), address))
		if picker.Distance != nil {
			candidate.Distance = picker.Distance(address)
		}
		candidate.Suspected = picker.Suspected != nil && picker.Suspected(address)
		candidates[i] = candidate
	}
	return candidates
}
