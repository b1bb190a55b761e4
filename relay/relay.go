// Package relay keeps the active configuration of an entry host up to date. Two
// hosts of each failure domain watch the store; the others get changes from
// peers.
package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"fescuehall/message"
	"fescuehall/service"
	"fescuehall/store"
)

// Current holds the active configuration. Its version only increases. Set
// Advanced before use.
type Current struct {
	// Advanced is called with each new view, in order of version; it may be
	// nil.
	Advanced func(view *service.View, source string)

	mu   sync.Mutex
	view atomic.Pointer[service.View]
}

// View returns the active view, or an empty one before the first.
func (current *Current) View() *service.View {
	if view := current.view.Load(); view != nil {
		return view
	}
	return service.Empty()
}

// Advance activates a view if it is newer than the active one, and reports
// whether it did.
func (current *Current) Advance(view *service.View, source string) bool {
	current.mu.Lock()
	defer current.mu.Unlock()
	if view.Version <= current.View().Version {
		return false
	}
	current.view.Store(view)
	if current.Advanced != nil {
		current.Advanced(view, source)
	}
	return true
}

// Delta returns the changes that bring a peer from version from to the view:
// none when the peer is not behind, and the whole view when the view does not
// record the changes since from.
func Delta(view *service.View, from uint64) *message.ConfigDelta {
	delta := &message.ConfigDelta{From: from, Version: view.Version, PatchID: view.PatchID}
	if from >= view.Version {
		delta.From = view.Version
		return delta
	}
	if from < view.BaseVersion() {
		from, delta.From = 0, 0
	}
	changed, removed := view.ChangesSince(from)
	for _, part := range changed {
		delta.Changed = append(delta.Changed, message.PartValue{Name: part.Name, Key: part.Key, Content: part.Content})
	}
	delta.Removed = removed
	return delta
}

// Apply activates the view that a peer's delta leads to, if it is newer. It
// returns an error for a delta that starts from a version after the active one.
func (current *Current) Apply(delta *message.ConfigDelta, source string) error {
	view := current.View()
	if delta.Version <= view.Version {
		return nil
	}
	if delta.From > view.Version {
		return fmt.Errorf("delta from version %d can't be applied to version %d", delta.From, view.Version)
	}
	if delta.From == 0 {
		view = service.Empty()
	}
	changed := make([]service.Part, len(delta.Changed))
	for i, part := range delta.Changed {
		changed[i] = service.Part{Name: part.Name, Key: part.Key, Content: part.Content}
	}
	next, err := view.With(delta.Version, delta.PatchID, changed, delta.Removed)
	if err != nil {
		return err
	}
	current.Advance(next, source)
	return nil
}

// Loader builds views from the store.
type Loader struct {
	// Get reads a key, see store.Client.Get.
	Get func(ctx context.Context, key string) (store.Value, error)
	// Current is the active configuration, whose unchanged parts are not read
	// again.
	Current *Current
}

// Load returns the view that a record describes. For the version after the
// active one it reads only the parts that changed.
func (loader *Loader) Load(ctx context.Context, record service.Record) (*service.View, error) {
	view := loader.Current.View()
	if record.Version == view.Version {
		return view, nil
	}
	if record.Version == view.Version+1 {
		changed, err := loader.readParts(ctx, record.Changed)
		if err != nil {
			return nil, err
		}
		return view.With(record.Version, record.PatchID, changed, record.Removed)
	}
	return loader.loadFromIndex(ctx, view, record)
}

// loadFromIndex builds a view from the record's index of all parts, so that
// versions in between are not needed.
func (loader *Loader) loadFromIndex(ctx context.Context, view *service.View, record service.Record) (*service.View, error) {
	if record.Version < view.Version {
		view = service.Empty()
	}
	value, err := loader.Get(ctx, record.Index)
	if err != nil {
		return nil, err
	}
	var index service.Index
	if err := json.Unmarshal(value.Content, &index); err != nil {
		return nil, fmt.Errorf("store key %q: %w", record.Index, err)
	}
	missing, removed := view.Compare(index.Parts)
	changed, err := loader.readParts(ctx, missing)
	if err != nil {
		return nil, err
	}
	return view.With(record.Version, record.PatchID, changed, removed)
}

func (loader *Loader) readParts(ctx context.Context, entries []service.Entry) ([]service.Part, error) {
	parts := make([]service.Part, 0, len(entries))
	for _, entry := range entries {
		value, err := loader.Get(ctx, entry.Key)
		if err != nil {
			return nil, err
		}
		parts = append(parts, service.Part{Name: entry.Name, Key: entry.Key, Content: value.Content})
	}
	return parts, nil
}

// ReadHead reads the record of the newest version under key, and the store's
// revision of it. It returns an empty record and revision 0 when the store has
// none.
func (loader *Loader) ReadHead(ctx context.Context, key string) (service.Record, uint64, error) {
	value, err := loader.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return service.Record{}, 0, nil
	}
	if err != nil {
		return service.Record{}, 0, err
	}
	var record service.Record
	if err := json.Unmarshal(value.Content, &record); err != nil {
		return service.Record{}, 0, fmt.Errorf("store key %q: %w", key, err)
	}
	return record, value.Revision, nil
}
