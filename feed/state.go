package feed

import "time"

// State is the state of the store that a list shows.
type State struct {
	// ReadAt is a time before which each acknowledged change is in the list.
	ReadAt time.Time
	// Era and Revision are those of the store, which order the states that it had.
	// Revision is 0 when it is not known.
	Era, Revision uint64
}

// OlderThan reports whether a state comes before another one. Those of which the
// revision is not known are compared by the times of their reads.
func (state State) OlderThan(other State) bool {
	switch {
	case state.Revision == 0 || other.Revision == 0:
		return state.ReadAt.Before(other.ReadAt)
	case state.Era != other.Era:
		return state.Era < other.Era
	}
	return state.Revision < other.Revision
}

// States are the states that the lists of replicas and of hosts show.
type States struct {
	Replicas, Hosts State
}

// ReadAt returns a time before which each acknowledged change is in both lists, the zero
// time if one of them was never read.
func (states States) ReadAt() time.Time {
	if states.Hosts.ReadAt.Before(states.Replicas.ReadAt) {
		return states.Hosts.ReadAt
	}
	return states.Replicas.ReadAt
}
