package replica

import (
	"time"

	"fescuehall/message"
)

// Sources of a mark.
const (
	FromHostList = "HostList"
	FromReply    = "Reply"
	FromHealth   = "Health"
)

// trustHealthAfter is how old a mark has to be before a ready health report of
// the same instance lifts it; the host list lags up to half of it.
const trustHealthAfter = time.Minute

// Marks holds the backend servers that are known to be leaving. A mark stays
// when its source falls silent or contradicts itself. Set the fields before
// use.
type Marks struct {
	// Now is the clock.
	Now func() time.Time
	// Changed is told of each mark that is new here, to pass it on.
	Changed func(mark message.Mark)

	marks sharded[message.Mark]
}

// Leaving reports whether a backend server is to get no new work.
func (marks *Marks) Leaving(address string) (leaving bool) {
	marks.marks.with(address, func(values map[string]message.Mark) {
		mark, ok := values[address]
		leaving = ok && !mark.Cleared
	})
	return leaving
}

// change replaces a mark by what decide returns, unless that reports false,
// and passes the new one on.
func (marks *Marks) change(address string, decide func(known message.Mark, ok bool) (message.Mark, bool)) {
	var mark message.Mark
	var changed bool
	marks.marks.with(address, func(values map[string]message.Mark) {
		known, ok := values[address]
		if mark, changed = decide(known, ok); changed {
			values[address] = mark
		}
	})
	if changed && marks.Changed != nil {
		marks.Changed(mark)
	}
}

// Set records that a backend server is leaving.
func (marks *Marks) Set(address, instance, source string) {
	marks.change(address, func(known message.Mark, ok bool) (message.Mark, bool) {
		if ok && !known.Cleared && (instance == "" || instance == known.Instance) {
			return known, false
		}
		return message.Mark{Replica: address, Instance: instance, Source: source, Sequence: marks.sequence(known)}, true
	})
}

// Repeat records that a source says again that a backend server is leaving. It
// keeps a mark from growing old, and does not bring back one that was lifted.
func (marks *Marks) Repeat(address string) {
	marks.change(address, func(known message.Mark, ok bool) (message.Mark, bool) {
		if !ok || known.Cleared || marks.age(known) < trustHealthAfter/2 {
			return known, false
		}
		known.Sequence = marks.sequence(known)
		return known, true
	})
}

// Ready records a ready health report. It lifts a mark of an earlier process,
// or an old one.
func (marks *Marks) Ready(address, instance string) {
	marks.change(address, func(known message.Mark, ok bool) (message.Mark, bool) {
		if !ok || known.Cleared || !marks.lifted(known, instance) {
			return known, false
		}
		return message.Mark{Replica: address, Instance: instance, Source: FromHealth, Cleared: true, Sequence: marks.sequence(known)}, true
	})
}

func (marks *Marks) lifted(known message.Mark, instance string) bool {
	if known.Instance != "" && instance != "" && known.Instance != instance {
		return true
	}
	return marks.age(known) > trustHealthAfter
}

func (marks *Marks) age(known message.Mark) time.Duration {
	return time.Duration(marks.Now().UnixMicro()-int64(known.Sequence)) * time.Microsecond
}

// Merge takes a mark from a peer. The highest sequence wins.
func (marks *Marks) Merge(mark message.Mark) {
	marks.change(mark.Replica, func(known message.Mark, ok bool) (message.Mark, bool) {
		return mark, !ok || known.Sequence < mark.Sequence
	})
}

// All returns the marks in force.
func (marks *Marks) All() []message.Mark {
	var all []message.Mark
	marks.marks.each(func(values map[string]message.Mark) {
		for _, mark := range values {
			if !mark.Cleared {
				all = append(all, mark)
			}
		}
	})
	return all
}

func (marks *Marks) sequence(known message.Mark) uint64 {
	return max(known.Sequence+1, uint64(marks.Now().UnixMicro()))
}
