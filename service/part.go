// Package service holds the configuration that operators set: ranks and
// services with their kinds of work, limits and snapshots.
package service

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// MaxPartBytes is the platform's limit for a value.
const MaxPartBytes = 1 << 20

// maxPlainBytes bounds what a part may expand to.
const maxPlainBytes = 64 << 20

// Decode reads the part's content into target.
func (part Part) Decode(target any) error {
	reader, err := gzip.NewReader(bytes.NewReader(part.Content))
	if err != nil {
		return fmt.Errorf("configuration part %q: %w", part.Name, err)
	}
	if err := json.NewDecoder(io.LimitReader(reader, maxPlainBytes)).Decode(target); err != nil {
		return fmt.Errorf("configuration part %q: %w", part.Name, err)
	}
	return nil
}

// encode makes a part. Equal values give equal keys.
func encode(name string, value any) (Part, error) {
	plain, err := json.Marshal(value)
	if err != nil {
		return Part{}, fmt.Errorf("configuration part %q: %w", name, err)
	}
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write(plain); err != nil {
		return Part{}, fmt.Errorf("configuration part %q: %w", name, err)
	}
	if err := writer.Close(); err != nil {
		return Part{}, fmt.Errorf("configuration part %q: %w", name, err)
	}
	if compressed.Len() > MaxPartBytes {
		return Part{}, fmt.Errorf("configuration part %q has %d bytes compressed, the store holds at most %d", name, compressed.Len(), MaxPartBytes)
	}
	key := fmt.Sprintf("Part/%s/%016x", name, xxhash.Sum64(plain))
	return Part{Name: name, Key: key, Content: compressed.Bytes()}, nil
}

// Diff returns the parts of a configuration that a view does not have, and
// the names of parts that are gone.
func (view *View) Diff(configuration *Configuration) (changed []Part, removed []string, err error) {
	wanted := map[string]any{ranksPart: configuration.Ranks}
	for name, spec := range configuration.Services {
		wanted[servicePrefix+name] = spec
	}
	for name, value := range wanted {
		part, err := encode(name, value)
		if err != nil {
			return nil, nil, err
		}
		if view.parts[name].Key != part.Key {
			changed = append(changed, part)
		}
	}
	for name := range view.parts {
		if _, ok := wanted[name]; !ok {
			removed = append(removed, name)
		}
	}
	return changed, removed, nil
}
