// Package relay keeps the configuration in force on an entry host. Two hosts
// of each failure domain watch the store; the others get changes from peers.
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

// Current is the configuration in force. It only goes forward. Set Advanced
// before use.
type Current struct {
	// Advanced is told of each new view, in order of version.
	Advanced func(view *service.View, source string)

	mu   sync.Mutex
	view atomic.Pointer[service.View]
}

// View returns the view in force, an empty one before the first.
func (current *Current) View() *service.View {
	if view := current.view.Load(); view != nil {
		return view
	}
	return service.Empty()
}

// Advance puts a view in force when it is newer. It reports whether it was.
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

// Delta returns what a peer at version have lacks.
func Delta(view *service.View, have uint64) *message.ConfigDelta {
	delta := &message.ConfigDelta{From: have, Version: view.Version, PatchID: view.PatchID}
	if have >= view.Version {
		delta.From = view.Version
		return delta
	}
	if have < view.Base() {
		have, delta.From = 0, 0
	}
	changed, removed := view.Since(have)
	for _, part := range changed {
		delta.Changed = append(delta.Changed, message.PartValue{Name: part.Name, Key: part.Key, Content: part.Content})
	}
	delta.Removed = removed
	return delta
}

// Apply puts a peer's delta in force. A delta that starts after the view in
// force can't be applied.
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
	for place, part := range delta.Changed {
		changed[place] = service.Part{Name: part.Name, Key: part.Key, Content: part.Content}
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
	// Current gives parts that need not be read again.
	Current *Current
}

// Load returns the view that a record describes.
func (loader *Loader) Load(ctx context.Context, record service.Record) (*service.View, error) {
	view := loader.Current.View()
	if record.Version == view.Version {
		return view, nil
	}
	if record.Version == view.Version+1 {
		changed, err := loader.parts(ctx, record.Changed)
		if err != nil {
			return nil, err
		}
		return view.With(record.Version, record.PatchID, changed, record.Removed)
	}
	return loader.jump(ctx, view, record)
}

// jump builds a view from the record's index, whatever the versions between.
func (loader *Loader) jump(ctx context.Context, view *service.View, record service.Record) (*service.View, error) {
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
	changed, err := loader.parts(ctx, missing)
	if err != nil {
		return nil, err
	}
	return view.With(record.Version, record.PatchID, changed, removed)
}

func (loader *Loader) parts(ctx context.Context, entries []service.Entry) ([]service.Part, error) {
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

// ReadHead reads the record of the version in force; a store without one
// gives version 0.
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
