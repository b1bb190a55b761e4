package route

import (
	"crypto/sha256"
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

// keyHash is the hash under which a key is looked up, so that the time of a lookup
// tells nothing about other keys.
type keyHash [sha256.Size]byte

// WithWorkspaces returns a copy of the table with workspaces, by their keys.
func (table *Table) WithWorkspaces(workspaces []Workspace, keys map[string]int) *Table {
	copied := *table
	copied.workspaces = make(map[keyHash]*Workspace, len(keys))
	copied.workspaceNames = make(map[string]*Workspace, len(workspaces))
	for index := range workspaces {
		copied.workspaceNames[workspaces[index].Name] = &workspaces[index]
	}
	for key, index := range keys {
		copied.workspaces[sha256.Sum256([]byte(key))] = &workspaces[index]
	}
	return &copied
}

// HasWorkspaces reports whether requests need a key.
func (table *Table) HasWorkspaces() bool {
	return table.workspaceNames != nil
}

// WorkspaceByKey returns the workspace that a key belongs to, nil if there is none.
func (table *Table) WorkspaceByKey(key string) *Workspace {
	return table.workspaces[sha256.Sum256([]byte(key))]
}

// Workspace returns a workspace by its name, nil if there is none.
func (table *Table) Workspace(name string) *Workspace {
	return table.workspaceNames[name]
}
