package answer

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of one record in the body of a backend server's
// answer.
const RecordBytes = 16

// TopRecords returns the count greatest records of all bodies in descending
// order. Records are compared as byte strings. Bytes after the last whole
// record of a body are ignored.
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
