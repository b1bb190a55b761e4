package answer

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of one record in a backend server's raw answer.
const RecordBytes = 16

// TopRecords returns the greatest count records of raw answers, falling,
// compared byte by byte. A remainder shorter than a record is left out.
func TopRecords(bodies [][]byte, count int) []byte {
	var records [][]byte
	for _, body := range bodies {
		for ; len(body) >= RecordBytes; body = body[RecordBytes:] {
			records = append(records, body[:RecordBytes])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	top := make([]byte, 0, count*RecordBytes)
	for _, record := range records[:min(count, len(records))] {
		top = append(top, record...)
	}
	return top
}
