package replica_test

import (
	"testing"
	"time"

	"fescuehall/estimate"
	"fescuehall/replica"
)

// BenchmarkPick measures a choice among three replicas, and the recording of its
// result.
func BenchmarkPick(b *testing.B) {
	picker := replica.New()
	picker.Distance = func(string) time.Duration { return 0 }
	addresses := []string{"planificador-07-a", "planificador-07-b", "planificador-07-c"}
	for _, address := range addresses {
		picker.Start(address)
		picker.Done(address, replica.Result{Latency: 30 * time.Millisecond, Load: estimate.Load{Running: 1, Waiting: 2, Slots: 2, Slowness: 120}})
	}
	result := replica.Result{Latency: time.Millisecond, Load: estimate.Load{Running: 1, Slots: 2, Slowness: 110}}
	b.Run("Pick", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			picker.Pick(addresses)
		}
	})
	b.Run("Done", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			picker.Done(addresses[0], result)
		}
	})
}
