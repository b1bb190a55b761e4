package route

import (
	"crypto/sha256"
	"unsafe"
)

// Workspace is a customer's account, which requests belong to by their key. It is
// immutable.
type Workspace struct {
	Name string
	// Rank replaces the rank of the route for the workspace's requests, if Ranked is
	// set.
	Rank   int
	Ranked bool
	// Rate is the number of requests a second that the workspace may send to all
	// hosts together, and Burst how many more at a time. A Rate of 0 is no limit.
	Rate  float64
	Burst float64
	// Homes are the regions whose hosts and replicas may get the workspace's
	// requests, empty for all regions.
	Homes []string
}

// NameOrEmpty returns the name of the workspace, empty if it is nil.
func (workspace *Workspace) NameOrEmpty() string {
	if workspace == nil {
		return ""
	}
	return workspace.Name
}

// MaxKeyBytes is the length of the longest key that a workspace may have.
const MaxKeyBytes = 4 << 10

// keyHash is the hash under which a key is looked up, so that the time of a lookup
// tells nothing about other keys.
type keyHash [sha256.Size]byte

func hashKey(key string) keyHash {
	// The hash only reads the bytes. A conversion would copy them to the heap.
	return sha256.Sum256(unsafe.Slice(unsafe.StringData(key), len(key)))
}

// WithWorkspaces returns a copy of the table with workspaces. Each key maps to the
// index of its workspace. With an empty list, no key is known.
func (table *Table) WithWorkspaces(workspaces []Workspace, keys map[string]int) *Table {
	copied := *table
	copied.workspaces = make(map[keyHash]*Workspace, len(keys))
	copied.workspaceNames = make(map[string]*Workspace, len(workspaces))
	for index := range workspaces {
		copied.workspaceNames[workspaces[index].Name] = &workspaces[index]
	}
	for key, index := range keys {
		copied.workspaces[hashKey(key)] = &workspaces[index]
	}
	return &copied
}

// HasWorkspaces reports whether requests need a key. A nil table has none.
func (table *Table) HasWorkspaces() bool {
	return table != nil && table.workspaceNames != nil
}

// WorkspaceByKey returns the workspace that a key belongs to, nil if there is none.
func (table *Table) WorkspaceByKey(key string) *Workspace {
	if key == "" || len(key) > MaxKeyBytes {
		return nil
	}
	return table.workspaces[hashKey(key)]
}

// Workspace returns a workspace by its name, nil if there is none.
func (table *Table) Workspace(name string) *Workspace {
	return table.workspaceNames[name]
}
