// Package quota limits the memory that the messages being read on a host take
// together, so that no number of them exhausts the memory of the process.
package quota

import (
	"sync"
	"sync/atomic"
)

// Quota is a number of bytes that all reservations share. Set the fields before
// use.
type Quota struct {
	// Bytes is the maximum number of bytes that are reserved at a time.
	Bytes int64
	// Exceeded is called with the size of each reservation that is refused, in
	// bytes; it may be nil.
	Exceeded func(bytes int)

	used atomic.Int64
}

// Used returns the number of bytes that are reserved.
func (quota *Quota) Used() int64 {
	return quota.used.Load()
}

func (quota *Quota) take(bytes int) bool {
	for {
		used := quota.used.Load()
		if used+int64(bytes) > quota.Bytes {
			break
		}
		if quota.used.CompareAndSwap(used, used+int64(bytes)) {
			return true
		}
	}
	if quota.Exceeded != nil {
		quota.Exceeded(bytes)
	}
	return false
}

// NewReservation returns an empty reservation, whose holder has to release it.
// It returns nil for a nil quota, which sets no limit.
func (quota *Quota) NewReservation() *Reservation {
	if quota == nil {
		return nil
	}
	return &Reservation{quota: quota, holders: 1}
}

// Reservation is the part of a quota that belongs to one request or message. A
// nil reservation has no limit.
type Reservation struct {
	quota *Quota

	mu      sync.Mutex
	bytes   int
	holders int
}

// Reserve adds bytes to the reservation. It returns false when the quota has
// too few left or when all holders have released the reservation.
func (reservation *Reservation) Reserve(bytes int) bool {
	if reservation == nil {
		return true
	}
	reservation.mu.Lock()
	defer reservation.mu.Unlock()
	if reservation.holders == 0 || !reservation.quota.take(bytes) {
		return false
	}
	reservation.bytes += bytes
	return true
}

// Hold adds a holder, such as an attempt that may end after its request. It
// returns false when all holders have released the reservation.
func (reservation *Reservation) Hold() bool {
	if reservation == nil {
		return true
	}
	reservation.mu.Lock()
	defer reservation.mu.Unlock()
	if reservation.holders == 0 {
		return false
	}
	reservation.holders++
	return true
}

// Release ends the use by one holder. The bytes return to the quota after the
// last one.
func (reservation *Reservation) Release() {
	if reservation == nil {
		return
	}
	reservation.mu.Lock()
	defer reservation.mu.Unlock()
	if reservation.holders == 0 {
		return
	}
	if reservation.holders--; reservation.holders == 0 {
		reservation.quota.used.Add(-int64(reservation.bytes))
		reservation.bytes = 0
	}
}
