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

// memberEntry is the state of a member at this host.
type memberEntry struct {
	update message.MemberUpdate
	// suspected is when the state became Suspect.
	suspected time.Time
	// changed is when the state last changed.
	changed time.Time
	// unreachable is set while this host can't reach a member of another
	// failure domain. It is not gossiped, since other hosts may reach the
	// member.
	unreachable bool
}

// present reports whether the member counts as running.
func (memberEntry *memberEntry) present() bool {
	return memberEntry.update.State == Alive || memberEntry.update.State == Suspect
}

// queuedItem is an item and the number of datagrams that are still to carry it.
type queuedItem[T any] struct {
	key       string
	item      T
	remaining int
}

// gossipQueue holds items to be gossiped. Those with the most remaining sends
// are returned first.
type gossipQueue[T any] struct {
	queued []queuedItem[T]
}

// add queues an item for a number of datagrams and drops an older item with the
// same key.
func (queue *gossipQueue[T]) add(key string, item T, sends int) {
	queue.queued = slices.DeleteFunc(queue.queued, func(queuedItem queuedItem[T]) bool { return queuedItem.key == key })
	queue.queued = append(queue.queued, queuedItem[T]{key: key, item: item, remaining: sends})
}

// next returns up to count items for a datagram.
func (queue *gossipQueue[T]) next(count int) []T {
	slices.SortStableFunc(queue.queued, func(a, b queuedItem[T]) int { return cmp.Compare(b.remaining, a.remaining) })
	var items []T
	for i := range queue.queued[:min(count, len(queue.queued))] {
		items = append(items, queue.queued[i].item)
		queue.queued[i].remaining--
	}
	queue.queued = slices.DeleteFunc(queue.queued, func(queuedItem queuedItem[T]) bool { return queuedItem.remaining <= 0 })
	return items
}

// sendsPerUpdate returns how many datagrams carry an update, which is enough to
// reach all members with high probability.
func sendsPerUpdate(members int) int {
	return 4 * (1 + bits.Len(uint(members)))
}

// supersedes reports whether an update replaces the current one: by a higher
// incarnation, or by a higher state of the same incarnation.
func supersedes(update, current message.MemberUpdate) bool {
	if update.Incarnation != current.Incarnation {
		return update.Incarnation > current.Incarnation
	}
	return update.State > current.State
}

// mergeUpdate stores and gossips an update if it supersedes the current state.
// It reports whether it does.
func (detector *Detector) mergeUpdate(update message.MemberUpdate, now time.Time) bool {
	memberEntry := detector.members[update.Name]
	if memberEntry != nil && !supersedes(update, memberEntry.update) {
		return false
	}
	detector.setMember(update, now)
	detector.updateQueue.add(update.Name, update, sendsPerUpdate(len(detector.members)))
	return true
}

// setMember stores the state of a member, whatever it was before.
func (detector *Detector) setMember(update message.MemberUpdate, now time.Time) {
	found := detector.members[update.Name]
	if found == nil {
		found = &memberEntry{}
		detector.members[update.Name] = found
		detector.sortedNames = nil
	}
	delete(detector.suspects, update.Name)
	if update.State == Suspect {
		found.suspected = now
		detector.suspects[update.Name] = found
	}
	found.update = update
	found.changed = now
	found.unreachable = false
	detector.version++
}

// refute replaces an update that says this host is not alive by one with a
// higher incarnation.
func (detector *Detector) refute(update message.MemberUpdate) {
	if update.State == Alive || update.Incarnation < detector.Self.Incarnation || detector.Self.State == Left {
		return
	}
	detector.Self.Incarnation = update.Incarnation + 1
	detector.updateQueue.add(detector.Self.Name, detector.Self, sendsPerUpdate(len(detector.members)))
}

// Host is a member as it is shown to placement and to operators.
type Host struct {
	shard.Host
	State       int
	Unreachable bool
}

// Hosts returns all members and this host, in order of name, and the version of
// the member list, which is incremented at each change.
func (detector *Detector) Hosts() ([]Host, uint64) {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	hosts := []Host{{Host: shardHost(detector.Self), State: detector.Self.State}}
	for _, memberEntry := range detector.members {
		hosts = append(hosts, Host{Host: shardHost(memberEntry.update), State: memberEntry.update.State, Unreachable: memberEntry.unreachable})
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

// shardHost returns a member as placement uses it.
func shardHost(update message.MemberUpdate) shard.Host {
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
