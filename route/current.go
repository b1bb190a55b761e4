package route

import (
	"sync"
	"sync/atomic"
)

// Current is the table in force. It only goes forward.
type Current struct {
	// Advanced is told of each new table, in order of version; it may be nil.
	Advanced func(table *Table, source string)

	mu    sync.Mutex
	table atomic.Pointer[Table]
}

// Table returns the table in force, or nil before the first.
func (current *Current) Table() *Table {
	return current.table.Load()
}

// Advance puts a table in force when it is newer. It reports whether it was.
func (current *Current) Advance(table *Table, source string) bool {
	current.mu.Lock()
	defer current.mu.Unlock()
	if known := current.table.Load(); known != nil && table.Version <= known.Version {
		return false
	}
	current.table.Store(table)
	if current.Advanced != nil {
		current.Advanced(table, source)
	}
	return true
}
