package answer

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// RecordBytes is the size of one record in the body of a backend server's
// answer.
const RecordBytes = 16

// record is a record as two numbers that compare like its bytes.
type record struct {
	high, low uint64
}

func newRecord(data []byte) record {
	return record{high: binary.BigEndian.Uint64(data), low: binary.BigEndian.Uint64(data[RecordBytes/2:])}
}

func (record record) less(other record) bool {
	return record.high < other.high || record.high == other.high && record.low < other.low
}

// TopRecords returns the count greatest records of all bodies in descending
// order. Records are compared as byte strings. Bytes after the last whole
// record of a body are ignored.
func TopRecords(bodies [][]byte, count int) []byte {
	total := 0
	for _, body := range bodies {
		total += len(body) / RecordBytes
	}
	greatest := make(recordHeap, 0, min(count, total))
	for _, body := range bodies {
		for ; len(body) >= RecordBytes; body = body[RecordBytes:] {
			greatest.offer(newRecord(body))
		}
	}
	slices.SortFunc(greatest, func(a, b record) int { return cmp.Or(cmp.Compare(b.high, a.high), cmp.Compare(b.low, a.low)) })
	top := make([]byte, 0, len(greatest)*RecordBytes)
	for _, record := range greatest {
		top = binary.BigEndian.AppendUint64(top, record.high)
		top = binary.BigEndian.AppendUint64(top, record.low)
	}
	return top
}

// recordHeap holds the greatest records so far, as many as its capacity: a
// binary heap with the least of them first.
type recordHeap []record

// offer adds a record, in place of the least one if the heap is full.
func (heap *recordHeap) offer(offered record) {
	records := *heap
	switch {
	case len(records) < cap(records):
		*heap = append(records, offered)
		heap.siftUp()
	case len(records) > 0 && records[0].less(offered):
		records[0] = offered
		records.siftDown()
	}
}

// siftUp restores the order after a record was added at the end.
func (heap recordHeap) siftUp() {
	for child := len(heap) - 1; child > 0; {
		parent := (child - 1) / 2
		if !heap[child].less(heap[parent]) {
			return
		}
		heap[child], heap[parent] = heap[parent], heap[child]
		child = parent
	}
}

// siftDown restores the order after the first record was replaced.
func (heap recordHeap) siftDown() {
	for parent := 0; 2*parent+1 < len(heap); {
		least := 2*parent + 1
		if right := least + 1; right < len(heap) && heap[right].less(heap[least]) {
			least = right
		}
		if !heap[least].less(heap[parent]) {
			return
		}
		heap[parent], heap[least] = heap[least], heap[parent]
		parent = least
	}
}
