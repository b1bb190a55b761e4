package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"fescuehall/message"
	"fescuehall/shard"
)

// States of a member in a MemberUpdate.
const (
	Alive = iota
	Suspect
	Dead
	Left
)

// entry is what this host knows of a member.
type entry struct {
	update message.MemberUpdate
	// suspected is when the suspicion began.
	suspected time.Time
	// changed is when the state last changed.
	changed time.Time
	// unreachable is set while this host alone can't reach a member of another
	// domain. It is not passed on.
	unreachable bool
}

func (entry *entry) present() bool {
	return entry.update.State == Alive || entry.update.State == Suspect
}

// news is an update that is still to be passed on.
type news[T any] struct {
	key  string
	item T
	left int
}

// gossipQueue holds news and gives out what was passed on least.
type gossipQueue[T any] struct {
	waiting []news[T]
}

// add queues an item for a number of datagrams and drops older news with the
// same key.
func (queue *gossipQueue[T]) add(key string, item T, times int) {
	queue.waiting = slices.DeleteFunc(queue.waiting, func(old news[T]) bool { return old.key == key })
	queue.waiting = append(queue.waiting, news[T]{key: key, item: item, left: times})
}

// take returns up to count items.
func (queue *gossipQueue[T]) take(count int) []T {
	slices.SortStableFunc(queue.waiting, func(a, b news[T]) int { return cmp.Compare(b.left, a.left) })
	var items []T
	for place := range queue.waiting[:min(count, len(queue.waiting))] {
		items = append(items, queue.waiting[place].item)
		queue.waiting[place].left--
	}
	queue.waiting = slices.DeleteFunc(queue.waiting, func(old news[T]) bool { return old.left <= 0 })
	return items
}

// spread is how many datagrams carry an update: enough to reach all members
// with high probability.
func spread(members int) int {
	return 4 * (1 + bits.Len(uint(members)))
}

// supersedes reports whether news replaces what is known.
func supersedes(news, known message.MemberUpdate) bool {
	if news.Incarnation != known.Incarnation {
		return news.Incarnation > known.Incarnation
	}
	return news.State > known.State
}

// apply merges an update. It reports whether anything changed.
func (detector *Detector) apply(update message.MemberUpdate, now time.Time) bool {
	known := detector.members[update.Name]
	if known != nil && !supersedes(update, known.update) {
		return false
	}
	detector.put(update, now)
	detector.updates.add(update.Name, update, spread(len(detector.members)))
	return true
}

// put stores what is believed of a member.
func (detector *Detector) put(update message.MemberUpdate, now time.Time) {
	known := detector.members[update.Name]
	if known == nil {
		known = &entry{}
		detector.members[update.Name] = known
		detector.names = nil
	}
	delete(detector.suspects, update.Name)
	if update.State == Suspect {
		known.suspected = now
		detector.suspects[update.Name] = known
	}
	known.update = update
	known.changed = now
	known.unreachable = false
	detector.version++
}

// refute answers news that this host is not alive with a higher incarnation.
func (detector *Detector) refute(update message.MemberUpdate) {
	if update.State == Alive || update.Incarnation < detector.Self.Incarnation || detector.Self.State == Left {
		return
	}
	detector.Self.Incarnation = update.Incarnation + 1
	detector.updates.add(detector.Self.Name, detector.Self, spread(len(detector.members)))
}

// Host is a member as placement and operators see it.
type Host struct {
	shard.Host
	State       int
	Unreachable bool
}

// Hosts returns all members and this host, in order of name, and a version
// that grows with each change.
func (detector *Detector) Hosts() ([]Host, uint64) {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	hosts := []Host{{Host: placed(detector.Self), State: detector.Self.State}}
	for _, known := range detector.members {
		hosts = append(hosts, Host{Host: placed(known.update), State: known.update.State, Unreachable: known.unreachable})
	}
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return hosts, detector.version
}

// Version returns the version of the member list.
func (detector *Detector) Version() uint64 {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	return detector.version
}

func placed(update message.MemberUpdate) shard.Host {
	return shard.Host{Name: update.Name, Address: update.Address, FailureDomain: update.FailureDomain}
}

// StateName returns the name of a state for logs and people.
func StateName(state int) string {
	names := []string{"alive", "suspect", "dead", "left"}
	if state < 0 || state >= len(names) {
		return "unknown"
	}
	return names[state]
}
