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

// healthOverrideAge is the age that a mark must exceed before a ready health
// report of the same instance clears it. The host list lags by up to half of
// this.
const healthOverrideAge = time.Minute

// Marks records which backend servers are leaving and get no new work. A mark
// remains when its source stops reporting the server or contradicts itself;
// only a health report or a newer mark from a peer clears it. Set the fields
// before use.
type Marks struct {
	// Now is the clock.
	Now func() time.Time
	// Changed is called with each mark that is new or changed on this host, so
	// that it can be sent to peers; it may be nil.
	Changed func(mark message.Mark)

	marks sharded[message.Mark]
}

// Leaving reports whether a backend server is leaving and gets no new work.
func (marks *Marks) Leaving(address string) (leaving bool) {
	marks.marks.withShard(address, func(values map[string]message.Mark) {
		mark, ok := values[address]
		leaving = ok && !mark.Cleared
	})
	return leaving
}

// update replaces a mark by the one that decide returns and calls Changed with
// it, unless decide returns false.
func (marks *Marks) update(address string, decide func(current message.Mark, ok bool) (message.Mark, bool)) {
	var mark message.Mark
	var changed bool
	marks.marks.withShard(address, func(values map[string]message.Mark) {
		current, ok := values[address]
		if mark, changed = decide(current, ok); changed {
			values[address] = mark
		}
	})
	if changed && marks.Changed != nil {
		marks.Changed(mark)
	}
}

// Set records that a backend server is leaving.
func (marks *Marks) Set(address, instance, source string) {
	marks.update(address, func(current message.Mark, ok bool) (message.Mark, bool) {
		if ok && !current.Cleared && (instance == "" || instance == current.Instance) {
			return current, false
		}
		return message.Mark{Replica: address, Instance: instance, Source: source, Sequence: marks.nextSequence(current)}, true
	})
}

// Renew records that a source still reports a backend server as leaving. It
// renews the mark's age, and does not restore a mark that was cleared.
func (marks *Marks) Renew(address string) {
	marks.update(address, func(current message.Mark, ok bool) (message.Mark, bool) {
		if !ok || current.Cleared || marks.age(current) < healthOverrideAge/2 {
			return current, false
		}
		current.Sequence = marks.nextSequence(current)
		return current, true
	})
}

// ReportReady records a ready health report. It clears the mark when the mark
// belongs to another instance or is older than healthOverrideAge.
func (marks *Marks) ReportReady(address, instance string) {
	marks.update(address, func(current message.Mark, ok bool) (message.Mark, bool) {
		if !ok || current.Cleared || !marks.clearedByHealth(current, instance) {
			return current, false
		}
		return message.Mark{Replica: address, Instance: instance, Source: FromHealth, Cleared: true, Sequence: marks.nextSequence(current)}, true
	})
}

func (marks *Marks) clearedByHealth(mark message.Mark, instance string) bool {
	if mark.Instance != "" && instance != "" && mark.Instance != instance {
		return true
	}
	return marks.age(mark) > healthOverrideAge
}

func (marks *Marks) age(mark message.Mark) time.Duration {
	return time.Duration(marks.Now().UnixMicro()-int64(mark.Sequence)) * time.Microsecond
}

// Merge applies a mark received from a peer. The highest sequence wins.
func (marks *Marks) Merge(mark message.Mark) {
	marks.update(mark.Replica, func(current message.Mark, ok bool) (message.Mark, bool) {
		return mark, !ok || current.Sequence < mark.Sequence
	})
}

// All returns the marks that are not cleared.
func (marks *Marks) All() []message.Mark {
	var all []message.Mark
	marks.marks.forEachShard(func(values map[string]message.Mark) {
		for _, mark := range values {
			if !mark.Cleared {
				all = append(all, mark)
			}
		}
	})
	return all
}

// nextSequence returns the current time in microseconds, or a greater number
// when the mark's sequence is not below that.
func (marks *Marks) nextSequence(mark message.Mark) uint64 {
	return max(mark.Sequence+1, uint64(marks.Now().UnixMicro()))
}
