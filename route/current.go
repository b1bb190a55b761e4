package route

import (
	"sync"
	"sync/atomic"
)

// Current holds the active table. Its version only increases.
type Current struct {
	// Advanced is called with each new table, in order of version; it may be
	// nil.
	Advanced func(table *Table, source string)

	mu    sync.Mutex
	table atomic.Pointer[Table]
}

// Table returns the active table, or nil before the first one.
func (current *Current) Table() *Table {
	return current.table.Load()
}

// Version returns the version of the active table, 0 before the first one.
func (current *Current) Version() uint64 {
	if table := current.Table(); table != nil {
		return table.Version
	}
	return 0
}

// Advance activates a table if it is newer than the active one, and reports
// whether it did.
func (current *Current) Advance(table *Table, source string) bool {
	current.mu.Lock()
	defer current.mu.Unlock()
	if active := current.table.Load(); active != nil && table.Version <= active.Version {
		return false
	}
	current.table.Store(table)
	if current.Advanced != nil {
		current.Advanced(table, source)
	}
	return true
}
