package replica

import "time"

// Pause records that a replica asked to get no requests until a time.
func (picker *Picker) Pause(address string, until time.Time) {
	picker.withState(address, func(state *state) {
		if until.After(state.pausedUntil) {
			state.pausedUntil = until
		}
	})
	for {
		latest := picker.pausesEnd.Load()
		if latest != nil && !until.After(*latest) || picker.pausesEnd.CompareAndSwap(latest, &until) {
			return
		}
	}
}

// AnyPaused reports whether a replica may be paused.
func (picker *Picker) AnyPaused() bool {
	latest := picker.pausesEnd.Load()
	return latest != nil && picker.Now().Before(*latest)
}

// Paused reports whether a replica asked to get no requests now.
func (picker *Picker) Paused(address string) bool {
	return picker.AnyPaused() && picker.Now().Before(picker.PausedUntil(address))
}

// PausedUntil returns the end of a replica's latest pause, the zero time if it has
// not asked for one.
func (picker *Picker) PausedUntil(address string) (until time.Time) {
	picker.states.withShard(address, func(states map[string]*state) {
		if state := states[address]; state != nil {
			until = state.pausedUntil
		}
	})
	return until
}
