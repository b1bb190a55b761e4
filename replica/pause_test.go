package replica_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/replica"
)

// A pause lasts until the latest time that the replica asked for, and concerns no
// other replica.
func TestPause(t *testing.T) {
	now := time.Unix(1000, 0)
	picker := replica.New()
	picker.Now = func() time.Time { return now }
	qt.Assert(t, picker.AnyPaused(), qt.IsFalse)
	picker.Pause("a", now.Add(2*time.Second))
	picker.Pause("a", now.Add(time.Second))
	picker.Pause("b", now.Add(time.Second))
	for _, want := range []struct{ a, b, c, any bool }{{true, true, false, true}, {true, false, false, true}, {false, false, false, false}} {
		qt.Check(t, []bool{picker.Paused("a"), picker.Paused("b"), picker.Paused("c"), picker.AnyPaused()}, qt.DeepEquals, []bool{want.a, want.b, want.c, want.any})
		picker.Forget("a")
		now = now.Add(time.Second)
	}
}

func BenchmarkPaused(b *testing.B) {
	picker := replica.New()
	for _, test := range []struct {
		name   string
		paused bool
	}{{"none", false}, {"another", true}} {
		if test.paused {
			picker.Pause("b", time.Now().Add(time.Hour))
		}
		b.Run(test.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				picker.Paused("a")
			}
		})
	}
}
