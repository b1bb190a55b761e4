package share_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fescuehall/share"
)

const floor = 0.3

// Whatever workspaces send and however much room there is: the room is used, who sends
// less is cut less, nobody gets more than who sends more, and nobody starves.
func TestAdmittedIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		counts, now := &share.Counts{HalfLife: time.Second}, time.Unix(1000, 0)
		sent := rapid.SliceOfN(rapid.IntRange(1, 300), 2, 40).Draw(r, "sent")
		room := rapid.Float64Range(0.02, 0.99).Draw(r, "room")
		total, admitted := 0, 0.0
		for number, count := range sent {
			total += count
			for range count {
				counts.Add(fmt.Sprint(number), now)
			}
		}
		shares := make([]float64, len(sent))
		for number, count := range sent {
			shares[number] = counts.Admitted(fmt.Sprint(number), room, floor)
			admitted += shares[number] * float64(count)
			if shares[number] < floor*room-1e-9 || shares[number] > 1 {
				r.Fatalf("share %v of %d sent with room %v", shares[number], count, room)
			}
		}
		if math.Abs(admitted-room*float64(total)) > 0.01 {
			r.Fatalf("%v of %d admitted, room for %v", admitted, total, room)
		}
		for a := range sent {
			for b := range sent {
				if sent[a] <= sent[b] && (shares[a] < shares[b]-1e-6 || shares[a]*float64(sent[a]) > shares[b]*float64(sent[b])+1e-6) {
					r.Fatalf("%d sent: share %v; %d sent: share %v", sent[a], shares[a], sent[b], shares[b])
				}
			}
		}
	})
}

// Without room for the least, all of the others are cut alike; one workspace alone
// is cut as all.
func TestAdmittedAtTheEdges(t *testing.T) {
	counts, now := &share.Counts{HalfLife: time.Second}, time.Unix(1000, 0)
	qt.Assert(t, counts.Admitted("a", 0.4, floor), qt.Equals, 0.4)
	counts.Add("a", now)
	qt.Assert(t, counts.Admitted("a", 0.4, floor), qt.Equals, 0.4)
	counts.Add("b", now)
	for _, room := range []float64{0, 0.5, 1} {
		got := counts.Admitted("a", room, floor)
		qt.Check(t, math.Abs(got-room) < 1e-6, qt.IsTrue, qt.Commentf("room %v: %v", room, got))
	}
}

// Load: ten thousand workspaces send once a second, then one goes on alone. The others
// leave nothing, and the level follows.
func TestGoneWorkspacesLeaveNothing(t *testing.T) {
	counts, now := &share.Counts{HalfLife: 1500 * time.Millisecond}, time.Unix(1000, 0)
	const workspaces = 10_000
	for range 5 * workspaces {
		for number := range 2 {
			counts.Add(fmt.Sprint("w", number), now)
		}
		counts.Add(fmt.Sprint("w", now.Nanosecond()/int(time.Second/workspaces)), now)
		now = now.Add(time.Second / workspaces)
	}
	qt.Assert(t, counts.Len(), qt.Equals, workspaces)
	qt.Assert(t, counts.Above("w1", now), qt.IsTrue)
	qt.Assert(t, counts.Above("w7", now), qt.IsFalse)
	for range 200 {
		now = now.Add(300 * time.Millisecond)
		counts.Add("w0", now)
	}
	qt.Assert(t, counts.Len(), qt.Equals, 1)
	qt.Assert(t, counts.Above("w0", now), qt.IsFalse)
	qt.Assert(t, counts.Above("w1", now), qt.IsFalse)
}

func BenchmarkAdmitted(b *testing.B) {
	for _, workspaces := range []int{72, 10_000} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			counts, now := &share.Counts{HalfLife: 1500 * time.Millisecond}, time.Unix(1000, 0)
			names := make([]string, workspaces)
			for number := range names {
				names[number] = fmt.Sprint("w", number)
				counts.Add(names[number], now)
			}
			step := 0
			for b.Loop() {
				step++
				now = now.Add(time.Millisecond)
				counts.Add(names[step*step%workspaces], now)
				counts.Admitted(names[step*step%workspaces], 0.5, floor)
			}
		})
	}
}
