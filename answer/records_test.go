package answer_test

import (
	"bytes"
	"sort"
	"testing"

	"pgregory.net/rapid"

	"fescuehall/answer"
)

// The result equals the head of a full sort, also with equal records and with
// bodies that end in a partial record. Merging the top records of each body
// gives the same, so that records can be merged in several steps.
func TestTopRecords(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		bodies := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 70), 0, 5).Draw(r, "bodies")
		count := rapid.IntRange(0, 12).Draw(r, "count")
		var sorted []string
		var tops [][]byte
		for _, body := range bodies {
			for start := 0; start+answer.RecordBytes <= len(body); start += answer.RecordBytes {
				sorted = append(sorted, string(body[start:start+answer.RecordBytes]))
			}
			tops = append(tops, answer.TopRecords([][]byte{body}, count))
		}
		sort.Sort(sort.Reverse(sort.StringSlice(sorted)))
		var want []byte
		for _, record := range sorted[:min(count, len(sorted))] {
			want = append(want, record...)
		}
		if got := answer.TopRecords(bodies, count); !bytes.Equal(got, want) {
			r.Fatalf("got %v, want %v", got, want)
		}
		if got := answer.TopRecords(tops, count); !bytes.Equal(got, want) {
			r.Fatalf("merged in two steps: got %v, want %v", got, want)
		}
	})
}
