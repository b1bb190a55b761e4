package roster_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fescuehall/roster"
)

// entry returns an entry of replica a.
func entry(born int64, sequence uint64, state string) roster.Replica {
	return roster.Replica{ID: "a", Service: "desk", Address: "1", Incarnation: born, Sequence: sequence, Leaving: state == "draining"}
}

// An older entry, which the store executed late, never replaces a newer one, while a
// process that started again is used.
func TestOlderEntries(t *testing.T) {
	const interval = 700 * time.Millisecond
	none := []roster.Replica{}
	one := func(born int64, sequence uint64, state string) []roster.Replica {
		return []roster.Replica{entry(born, sequence, state)}
	}
	for _, test := range []struct {
		name  string
		lists [][]roster.Replica
		// accepts tells whether the replica accepts requests after each list.
		accepts []bool
	}{
		{"late beat after draining", [][]roster.Replica{one(5, 1, "ready"), one(5, 4, "draining"), one(5, 3, "ready"), one(5, 5, "draining")}, []bool{true, false, false, false}},
		{"late beat without a sequence", [][]roster.Replica{one(5, 1, "ready"), one(5, 4, "draining"), one(5, 0, "ready")}, []bool{true, false, false}},
		{"late beat with an equal sequence", [][]roster.Replica{one(5, 4, "draining"), one(5, 4, "ready")}, []bool{false, false}},
		{"later beat of a leaving process", [][]roster.Replica{one(5, 4, "draining"), one(5, 9, "ready")}, []bool{false, false}},
		{"late beat after the entry was removed", [][]roster.Replica{one(5, 4, "ready"), none, one(5, 3, "ready")}, []bool{true, false, false}},
		{"draining, removed, late beat", [][]roster.Replica{one(5, 4, "draining"), none, one(5, 3, "ready")}, []bool{false, false, false}},
		{"draining, removed, late beat with a higher sequence", [][]roster.Replica{one(5, 4, "draining"), none, one(5, 5, "ready")}, []bool{false, false, false}},
		{"back after its entry lapsed", [][]roster.Replica{one(5, 4, "ready"), none, one(5, 7, "ready")}, []bool{true, false, true}},
		{"back with the same entry after a list without it", [][]roster.Replica{one(5, 4, "ready"), none, one(5, 4, "ready")}, []bool{true, false, true}},
		{"restarted, with a lower sequence", [][]roster.Replica{one(5, 40, "ready"), one(6, 1, "ready")}, []bool{true, true}},
		{"left and restarted", [][]roster.Replica{one(5, 40, "draining"), one(6, 1, "ready")}, []bool{false, true}},
		{"left, restarted, late beat of the one that left", [][]roster.Replica{one(5, 40, "draining"), one(6, 1, "ready"), one(5, 39, "ready"), one(5, 41, "draining"), one(6, 2, "ready")}, []bool{false, true, true, true, true}},
		{"restarted, late beat of the earlier process", [][]roster.Replica{one(5, 40, "ready"), one(6, 2, "draining"), one(5, 39, "ready")}, []bool{true, false, false}},
		{"huge sequence", [][]roster.Replica{one(5, 1<<53, "ready"), one(5, 3, "draining"), one(6, 1, "ready")}, []bool{true, false, true}},
		{"without incarnation", [][]roster.Replica{one(0, 4, "draining"), one(0, 5, "ready")}, []bool{false, true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			roster, clock := newRoster()
			for i, list := range test.lists {
				roster.Update(list)
				qt.Check(t, roster.Accepts("desk", "a"), qt.Equals, test.accepts[i], qt.Commentf("list %d", i))
				clock.now = clock.now.Add(interval)
			}
		})
	}
}

// A process whose clock was set back before it started has a lower incarnation. It is
// used once its entry has stayed longer than a late write does.
func TestClockSetBack(t *testing.T) {
	replicas, clock := newRoster()
	replicas.Update([]roster.Replica{entry(9, 50, "ready")})
	for second := range 12 {
		clock.now = clock.now.Add(time.Second)
		back := entry(4, uint64(second+1), "ready")
		back.Address = "2"
		replicas.Update([]roster.Replica{back})
		want := map[bool]string{true: "2", false: "1"}[second >= 10]
		qt.Check(t, replicas.Available("desk")[0].Address, qt.Equals, want, qt.Commentf("second %d", second))
	}
}

// The memory of replicas that are gone is bounded.
func TestOldReplicasAreForgotten(t *testing.T) {
	replicas, clock := newRoster()
	replicas.Update([]roster.Replica{entry(5, 4, "draining")})
	replicas.Update(nil)
	clock.now = clock.now.Add(11 * time.Minute)
	replicas.Update(nil)
	replicas.Update([]roster.Replica{entry(5, 3, "ready")})
	qt.Assert(t, replicas.Accepts("desk", "a"), qt.IsTrue)
}

// incarnation returns the lists after each write of a process that leaves.
func incarnation(born int64, leaves uint64) [][]roster.Replica {
	var lists [][]roster.Replica
	for sequence := uint64(1); sequence <= leaves+2; sequence++ {
		state := "ready"
		if sequence >= leaves {
			state = "draining"
		}
		lists = append(lists, []roster.Replica{entry(born, sequence, state)})
	}
	return lists
}

// Whatever the order in which writes are executed, and through whichever of two hosts
// they are learned, a replica that left does not accept requests again without a new
// incarnation.
func TestReplicaThatLeftNeverComesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The store executes writes of two incarnations in any order, some of them
		// twice, or removes the entry. Leaving ends each incarnation.
		writes := [][]roster.Replica{nil, nil}
		for born := int64(1); born <= 2; born++ {
			writes = append(writes, incarnation(born, rapid.Uint64Range(2, 6).Draw(t, "leaves"))...)
		}
		writes = append(writes, writes...)
		order := rapid.Permutation(writes).Draw(t, "order")
		first, clock := newRoster()
		second := &roster.Roster{Now: clock.Now}
		left := map[*roster.Roster]map[int64]bool{first: {}, second: {}}
		for i, list := range order {
			for _, host := range []*roster.Roster{first, second} {
				resolved := list
				if host == second {
					// The second host gets what the first one resolved, some lists late.
					resolved = first.Resolve(list)
					if rapid.Bool().Draw(t, "late") && i > 0 {
						resolved = order[i-1]
					}
				}
				host.Update(resolved)
				for _, listed := range resolved {
					if listed.Leaving {
						left[host][listed.Incarnation] = true
					}
				}
				for _, used := range host.Available("desk") {
					if left[host][used.Incarnation] {
						t.Fatalf("list %d: %s is used after it left", i, fmt.Sprint(used))
					}
				}
			}
			clock.now = clock.now.Add(300 * time.Millisecond)
		}
	})
}
