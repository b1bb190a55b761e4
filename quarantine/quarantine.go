// Package quarantine keeps requests under which replicas end from going to further
// replicas. Requests are told apart by their content, since callers send the same one
// again.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"sync"
	"time"
)

const (
	// MaxLost is how many replicas are lost under a content before it is suspect.
	MaxLost = 3
	// TrialDelay is the delay after which a request may be sent again that came during
	// the trial of its content.
	TrialDelay = 100 * time.Millisecond
)

const (
	// lossMemory is how long a loss counts.
	lossMemory = 10 * time.Second
	// suspectTime is how long a content is suspect.
	suspectTime = time.Minute
	// minHeldTime is how long a content is held after a trial was lost. It is doubled
	// with each further one, up to maxHeldTime.
	minHeldTime = 30 * time.Second
	maxHeldTime = 8 * time.Minute
	// trialTime is how long a trial may take before another one is admitted.
	trialTime = 2 * time.Second
	// maxContents bounds the contents that are remembered. Those that were recorded
	// first are forgotten first.
	maxContents = 1024
)

// State is how requests of a content are to be treated.
type State int

const (
	// Clear requests are sent to all replicas that they need.
	Clear State = iota
	// Suspect requests are sent to one replica first.
	Suspect
	// Held requests are not sent.
	Held
)

// String implements fmt.Stringer.
func (state State) String() string {
	return [...]string{"clear", "suspect", "held"}[state]
}

// ID identifies a content.
type ID [16]byte

// String returns the ID in hexadecimal form.
func (id ID) String() string {
	return hex.EncodeToString(id[:])
}

// ParseID decodes what String returns.
func ParseID(text string) (id ID, err error) {
	decoded, err := hex.DecodeString(text)
	if err == nil && len(decoded) != len(id) {
		err = hex.ErrLength
	}
	copy(id[:], decoded)
	return id, err
}

// Identify returns the ID of a content: a hash of its fields, of which the workspace is
// one, so that no workspace can have another one's requests held.
func Identify(fields ...string) (id ID) {
	hash := sha256.New()
	var length [8]byte
	for _, field := range fields {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		hash.Write(length[:])
		hash.Write([]byte(field))
	}
	copy(id[:], hash.Sum(nil))
	return id
}

// Contents holds the contents under which replicas were lost. Set the exported fields
// before use.
type Contents struct {
	// Now is the clock.
	Now func() time.Time
	// Share tells the other hosts of a state; it returns when they know it, or soon
	// after. It may be nil.
	Share func(id ID, state State)
	// Changed is called when the state of a content changes, with the number of
	// replicas that this host lost under it and whether another host has told; it may be
	// nil.
	Changed func(id ID, state State, lost int, told bool)

	mu      sync.Mutex
	entries map[ID]*entry
}

// entry is what is known about a content.
type entry struct {
	recordedAt time.Time
	// lost holds when replicas were lost under the content.
	lost  map[string]time.Time
	state State
	until time.Time
	// trialUntil is until when a trial may take.
	trialUntil time.Time
	// trialsLost counts the trials that were lost, here or on hosts that have told so.
	trialsLost int
}

// Empty reports whether no content has any entry.
func (contents *Contents) Empty() bool {
	contents.mu.Lock()
	defer contents.mu.Unlock()
	return len(contents.entries) == 0
}

// Admit returns how a request of a content is to be treated. Of a suspect content, one
// request at a time is sent as a trial. A held one may be sent again after a delay.
func (contents *Contents) Admit(id ID) (state State, delay time.Duration) {
	contents.mu.Lock()
	defer contents.mu.Unlock()
	entry := contents.entries[id]
	if entry == nil {
		return Clear, 0
	}
	now := contents.Now()
	if entry.state == Held && !now.Before(entry.until) {
		entry.state, entry.until = Suspect, now.Add(suspectTime)
	}
	switch {
	case entry.state == Held:
		return Held, entry.until.Sub(now)
	case entry.state == Suspect && !now.Before(entry.until):
		delete(contents.entries, id)
		return Clear, 0
	case entry.state == Suspect && now.Before(entry.trialUntil):
		return Held, TrialDelay
	case entry.state == Suspect:
		entry.trialUntil = now.Add(trialTime)
	}
	return entry.state, 0
}

// RecordLost records that the connection to a replica was lost that had a request of a
// content. It reports whether that made the content suspect, so that the other hosts
// have to be told.
func (contents *Contents) RecordLost(id ID, replica string) (suspect bool) {
	contents.mu.Lock()
	defer contents.mu.Unlock()
	now := contents.Now()
	entry := contents.entry(id, now)
	for other, at := range entry.lost {
		if now.Sub(at) > lossMemory {
			delete(entry.lost, other)
		}
	}
	entry.lost[replica] = now
	if entry.state != Clear || len(entry.lost) < MaxLost {
		return false
	}
	contents.set(id, entry, Suspect, false)
	return true
}

// RecordTrial records the end of a trial: whether its replica was lost, or has answered.
// It reports whether the other hosts have to be told of the content's state.
func (contents *Contents) RecordTrial(id ID, lost bool) (State, bool) {
	contents.mu.Lock()
	defer contents.mu.Unlock()
	entry := contents.entries[id]
	if entry == nil {
		return Clear, false
	}
	state := Clear
	if lost {
		state = Held
	}
	contents.set(id, entry, state, false)
	return state, true
}

// Learn records what another host has told about a content.
func (contents *Contents) Learn(id ID, state State) {
	contents.mu.Lock()
	defer contents.mu.Unlock()
	entry := contents.entries[id]
	if state == Clear && entry == nil {
		return
	}
	if entry == nil {
		entry = contents.entry(id, contents.Now())
	}
	if entry.state != state || state == Held {
		contents.set(id, entry, state, true)
	}
}

// entry returns the entry of a content, a new one if it has none. The caller holds the
// lock.
func (contents *Contents) entry(id ID, now time.Time) *entry {
	if known := contents.entries[id]; known != nil {
		return known
	}
	if contents.entries == nil {
		contents.entries = make(map[ID]*entry)
	}
	if len(contents.entries) >= maxContents {
		contents.forget(now)
	}
	created := &entry{recordedAt: now, lost: make(map[string]time.Time)}
	contents.entries[id] = created
	return created
}

// forget removes the entries that no longer count, or else the first one, of those that
// are not held if there are any. The caller holds the lock.
func (contents *Contents) forget(now time.Time) {
	var first ID
	var found *entry
	for id, entry := range contents.entries {
		if entry.state == Clear && now.Sub(entry.recordedAt) > lossMemory || entry.state != Clear && !now.Before(entry.until) {
			delete(contents.entries, id)
			continue
		}
		if found == nil || entry.isForgottenBefore(found) {
			first, found = id, entry
		}
	}
	if len(contents.entries) >= maxContents {
		delete(contents.entries, first)
	}
}

// isForgottenBefore reports whether an entry is to be forgotten before another one.
func (entry *entry) isForgottenBefore(other *entry) bool {
	if (entry.state == Held) != (other.state == Held) {
		return other.state == Held
	}
	return entry.recordedAt.Before(other.recordedAt)
}

// set changes the state of a content. The caller holds the lock.
func (contents *Contents) set(id ID, entry *entry, state State, told bool) {
	now := contents.Now()
	lost := len(entry.lost)
	entry.state, entry.recordedAt, entry.trialUntil = state, now, time.Time{}
	switch state {
	case Clear:
		delete(contents.entries, id)
	case Suspect:
		entry.until = now.Add(suspectTime)
	case Held:
		entry.until = now.Add(min(minHeldTime<<min(entry.trialsLost, 8), maxHeldTime))
		entry.trialsLost++
	}
	if contents.Changed != nil {
		contents.Changed(id, state, lost, told)
	}
}
