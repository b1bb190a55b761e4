// Package service defines the configuration that operators set: the ranks, and
// the services with their kinds of request, limits and snapshots.
package service

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// MaxPartBytes is the largest value that the platform's store accepts.
const MaxPartBytes = 1 << 20

// maxDecodedBytes limits the size of a part after decompression.
const maxDecodedBytes = 64 << 20

// Decode decompresses the part's content and decodes it into target.
func (part Part) Decode(target any) error {
	reader, err := gzip.NewReader(bytes.NewReader(part.Content))
	if err != nil {
		return fmt.Errorf("configuration part %q: %w", part.Name, err)
	}
	if err := json.NewDecoder(io.LimitReader(reader, maxDecodedBytes)).Decode(target); err != nil {
		return fmt.Errorf("configuration part %q: %w", part.Name, err)
	}
	return nil
}

// encodePart returns the part that holds a value. Its key contains a hash of
// the value, so that equal values get equal keys.
func encodePart(name string, value any) (Part, error) {
	document, err := json.Marshal(value)
	if err != nil {
		return Part{}, fmt.Errorf("configuration part %q: %w", name, err)
	}
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write(document); err != nil {
		return Part{}, fmt.Errorf("configuration part %q: %w", name, err)
	}
	if err := writer.Close(); err != nil {
		return Part{}, fmt.Errorf("configuration part %q: %w", name, err)
	}
	if compressed.Len() > MaxPartBytes {
		return Part{}, fmt.Errorf("configuration part %q has %d bytes compressed, the store accepts at most %d", name, compressed.Len(), MaxPartBytes)
	}
	key := fmt.Sprintf("Part/%s/%016x", name, xxhash.Sum64(document))
	return Part{Name: name, Key: key, Content: compressed.Bytes()}, nil
}

// Diff returns the parts of the configuration that the view lacks or holds with
// other content, and the names of the view's parts that the configuration
// lacks.
func (view *View) Diff(configuration *Configuration) (changed []Part, removed []string, err error) {
	values := map[string]any{ranksPart: configuration.Ranks}
	for name, spec := range configuration.Services {
		values[servicePrefix+name] = spec
	}
	for name, value := range values {
		part, err := encodePart(name, value)
		if err != nil {
			return nil, nil, err
		}
		if view.parts[name].Key != part.Key {
			changed = append(changed, part)
		}
	}
	for name := range view.parts {
		if _, ok := values[name]; !ok {
			removed = append(removed, name)
		}
	}
	return changed, removed, nil
}
