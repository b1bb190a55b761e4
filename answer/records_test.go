package answer_test

import (
	"bytes"
	"sort"
	"testing"

	"pgregory.net/rapid"

	"fescuehall/answer"
)

// The greatest records of all parts are the greatest of the parts' greatest,
// equal ones and remainders included.
func TestTopRecords(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		bodies := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 70), 0, 5).Draw(r, "bodies")
		count := rapid.IntRange(0, 12).Draw(r, "count")
		var all []string
		var tops [][]byte
		for _, body := range bodies {
			for begin := 0; begin+answer.RecordBytes <= len(body); begin += answer.RecordBytes {
				all = append(all, string(body[begin:begin+answer.RecordBytes]))
			}
			tops = append(tops, answer.TopRecords([][]byte{body}, count))
		}
		sort.Sort(sort.Reverse(sort.StringSlice(all)))
		var want []byte
		for _, record := range all[:min(count, len(all))] {
			want = append(want, record...)
		}
		if got := answer.TopRecords(bodies, count); !bytes.Equal(got, want) {
			r.Fatalf("got %v, want %v", got, want)
		}
		if got := answer.TopRecords(tops, count); !bytes.Equal(got, want) {
			r.Fatalf("merged twice: got %v, want %v", got, want)
		}
	})
}
