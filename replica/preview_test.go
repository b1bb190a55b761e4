package replica_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fescuehall/replica"
)

// A preview makes the choices that the picker then makes, whatever is known of the
// replicas, and leaves the picker as it was.
func TestPreviewChoosesAsPick(t *testing.T) {
	addresses := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(r *rapid.T) {
		now := time.Unix(1000, 0)
		picker := replica.New()
		picker.Now = func() time.Time { return now }
		if rapid.Bool().Draw(r, "distant") {
			picker.Distance = func(address string) time.Duration { return time.Duration(address[0]-'a') * time.Millisecond }
		}
		for range rapid.IntRange(0, 20).Draw(r, "attempts") {
			address := rapid.SampledFrom(addresses[:3]).Draw(r, "address")
			picker.Start(address)
			if rapid.Bool().Draw(r, "done") {
				picker.Done(address, replica.Result{Latency: time.Duration(rapid.IntRange(1, 50).Draw(r, "latency")) * time.Millisecond, Failed: rapid.Bool().Draw(r, "failed")})
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(r, "pause")) * time.Millisecond)
		}
		before := picker.Explain(addresses)
		picker.Random = rand.New(rand.NewPCG(1, 2)).IntN
		preview, previewed := picker.Preview(), []int{}
		for range 6 {
			previewed = append(previewed, preview.Pick(addresses))
		}
		if after := picker.Explain(addresses); !slices.Equal(after, before) {
			r.Fatalf("%+v has become %+v", before, after)
		}
		picker.Random = rand.New(rand.NewPCG(1, 2)).IntN
		for _, want := range previewed {
			if got := picker.Pick(addresses); got != want {
				r.Fatalf("picked %d, previewed %v", got, previewed)
			}
		}
	})
	qt.Assert(t, replica.New().Preview().Pick(nil), qt.Equals, -1)
}
