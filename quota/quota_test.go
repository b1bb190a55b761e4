package quota_test

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/quota"
)

// Reservations share the quota, and what one releases is free for the others.
func TestReserve(t *testing.T) {
	var refused []int
	shared := &quota.Quota{Bytes: 100, Exceeded: func(bytes int) { refused = append(refused, bytes) }}
	first, second := shared.NewReservation(), shared.NewReservation()
	qt.Assert(t, first.Reserve(60), qt.IsTrue)
	qt.Assert(t, second.Reserve(40), qt.IsTrue)
	qt.Assert(t, second.Reserve(1), qt.IsFalse)
	qt.Assert(t, refused, qt.DeepEquals, []int{1})
	first.Release()
	first.Release()
	qt.Assert(t, shared.Used(), qt.Equals, int64(40))
	qt.Assert(t, second.Reserve(60), qt.IsTrue)
	second.Release()
	qt.Assert(t, shared.Used(), qt.Equals, int64(0))
}

// A response that arrives after its request has ended is not kept.
func TestReleasedReservationTakesNothing(t *testing.T) {
	shared := &quota.Quota{Bytes: 100}
	reservation := shared.NewReservation()
	reservation.Release()
	qt.Assert(t, reservation.Reserve(1), qt.IsFalse)
	qt.Assert(t, shared.Used(), qt.Equals, int64(0))
}

// The bytes stay reserved until the last holder has released them.
func TestHold(t *testing.T) {
	shared := &quota.Quota{Bytes: 100}
	reservation := shared.NewReservation()
	qt.Assert(t, reservation.Hold(), qt.IsTrue)
	reservation.Release()
	qt.Assert(t, reservation.Reserve(60), qt.IsTrue)
	reservation.Release()
	qt.Assert(t, shared.Used(), qt.Equals, int64(0))
	qt.Assert(t, reservation.Hold(), qt.IsFalse)
}

func TestNilReservationHasNoLimit(t *testing.T) {
	var reservation *quota.Reservation
	qt.Assert(t, reservation.Reserve(1<<40), qt.IsTrue)
	reservation.Release()
}

// The quota holds under concurrent use, and nothing stays reserved.
func TestConcurrentReservations(t *testing.T) {
	shared := &quota.Quota{Bytes: 1000}
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() {
			reservation := shared.NewReservation()
			defer reservation.Release()
			for range 100 {
				reservation.Reserve(7)
				if shared.Used() > 1000+50*7 {
					t.Error("more is reserved than the quota allows")
				}
			}
		})
	}
	group.Wait()
	qt.Assert(t, shared.Used(), qt.Equals, int64(0))
}
