package patch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuehall/service"
	"fescuehall/store"
)

// HeadKey is the store key of the record of the version in force.
const HeadKey = "Head"

const (
	// maxRounds bounds how often a patch is tried against a store that answers
	// ambiguously.
	maxRounds  = 4
	roundPause = 100 * time.Millisecond
)

// HistoryKey returns the store key of the record of an earlier version.
func HistoryKey(version uint64) string {
	return fmt.Sprintf("History/%d", version)
}

// Store is what a submitter needs of the configuration store.
type Store struct {
	// Get reads a key, see store.Client.Get.
	Get func(ctx context.Context, key string) (store.Value, error)
	// Put writes a key by compare-and-swap, see store.Client.Put.
	Put func(ctx context.Context, key string, content []byte, expected uint64, ttl time.Duration) (uint64, error)
}

// Submitter writes patches to the store. Set the fields before use.
type Submitter struct {
	Store Store
	// Load returns the view of the version that a record describes.
	Load func(ctx context.Context, record service.Record) (*service.View, error)
	// Now is the clock.
	Now func() time.Time
	// Pause waits between rounds; it returns early when ctx ends.
	Pause func(ctx context.Context, wait time.Duration)
}

// head is the record of the version in force with its revision in the store.
type head struct {
	record   service.Record
	revision uint64
	content  []byte
}

// Submit makes the patch the next version, or says why not. It may be called
// again with the same patch.
func (submitter *Submitter) Submit(ctx context.Context, patch Patch) Reply {
	written := false
	var lastErr error
	for round := range maxRounds {
		if round > 0 {
			submitter.Pause(ctx, roundPause<<round)
		}
		head, err := submitter.head(ctx)
		if err != nil {
			lastErr = err
			continue
		}
		reply, settled := submitter.earlier(ctx, patch, head)
		if settled {
			return reply
		}
		reply, settled, err = submitter.attempt(ctx, patch, head)
		if settled && !(written && reply.Outcome == Refused) {
			return reply
		}
		written = written || errors.Is(err, errAmbiguous)
		lastErr = err
	}
	return unknown(lastErr)
}

func (submitter *Submitter) head(ctx context.Context) (head, error) {
	value, err := submitter.Store.Get(ctx, HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return head{}, nil
	}
	if err != nil {
		return head{}, err
	}
	current := head{revision: value.Revision, content: value.Content}
	err = json.Unmarshal(value.Content, &current.record)
	return current, err
}

// earlier settles a patch by the record of the version it would have made.
func (submitter *Submitter) earlier(ctx context.Context, patch Patch, current head) (Reply, bool) {
	made := patch.Against + 1
	if current.record.Version < made {
		return Reply{}, false
	}
	record := current.record
	if record.Version > made {
		value, err := submitter.Store.Get(ctx, HistoryKey(made))
		if err == nil {
			err = json.Unmarshal(value.Content, &record)
		}
		if err != nil {
			return unknown(err), true
		}
	}
	if record.PatchID != patch.PatchID {
		return refused(current.record.Version, "patch is against version %d, version %d is in force", patch.Against, current.record.Version), true
	}
	if record.Digest != patch.digest() {
		return refused(current.record.Version, "PatchId %q was used for another patch, which made version %d", patch.PatchID, made), true
	}
	return Reply{Outcome: Accepted, Version: made}, true
}

var errAmbiguous = errors.New("write may have taken effect")

// attempt writes the patch once. It reports whether the reply is final.
func (submitter *Submitter) attempt(ctx context.Context, patch Patch, current head) (Reply, bool, error) {
	if current.record.Version < patch.Against {
		return Reply{}, false, fmt.Errorf("store answers with version %d, the patch is against %d", current.record.Version, patch.Against)
	}
	view, err := submitter.Load(ctx, current.record)
	if err != nil {
		return Reply{}, false, err
	}
	configuration, problems := patch.Apply(view.Configuration())
	if len(problems) > 0 {
		reply := refused(view.Version, "patch has %d problems", len(problems))
		reply.Problems = problems
		return reply, true, nil
	}
	record, err := submitter.writeParts(ctx, patch, view, configuration)
	if err != nil {
		return Reply{}, false, err
	}
	if err := submitter.archive(ctx, current); err != nil {
		return Reply{}, false, err
	}
	return submitter.swap(ctx, record, current.revision)
}

// writeParts stores what the new version needs; nothing refers to it yet.
func (submitter *Submitter) writeParts(ctx context.Context, patch Patch, view *service.View, configuration *service.Configuration) (service.Record, error) {
	changed, removed, err := view.Diff(configuration)
	if err != nil {
		return service.Record{}, err
	}
	record := service.Record{Version: patch.Against + 1, PatchID: patch.PatchID, Digest: patch.digest(), Operator: patch.Operator, TimeMillis: submitter.Now().UnixMilli(), Changed: []service.Entry{}, Removed: append([]string{}, removed...)}
	for _, part := range changed {
		if err := submitter.create(ctx, part.Key, part.Content); err != nil {
			return service.Record{}, err
		}
		record.Changed = append(record.Changed, service.Entry{Name: part.Name, Key: part.Key})
	}
	next, err := view.With(record.Version, patch.PatchID, changed, removed)
	if err != nil {
		return service.Record{}, err
	}
	index, err := json.Marshal(service.Index{Parts: next.Entries()})
	if err != nil {
		return service.Record{}, err
	}
	record.Index = fmt.Sprintf("Index/%016x", xxhash.Sum64(index))
	return record, submitter.create(ctx, record.Index, index)
}

// create writes a key whose content is fixed by its name, so that an existing
// one is as good.
func (submitter *Submitter) create(ctx context.Context, key string, content []byte) error {
	_, err := submitter.Store.Put(ctx, key, content, 0, 0)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}

// archive keeps the record of the version in force before it is replaced.
func (submitter *Submitter) archive(ctx context.Context, current head) error {
	if current.revision == 0 {
		return nil
	}
	return submitter.create(ctx, HistoryKey(current.record.Version), current.content)
}

func (submitter *Submitter) swap(ctx context.Context, record service.Record, revision uint64) (Reply, bool, error) {
	content, err := json.Marshal(record)
	if err != nil {
		return Reply{}, false, err
	}
	_, err = submitter.Store.Put(ctx, HeadKey, content, revision, 0)
	switch {
	case err == nil:
		return Reply{Outcome: Accepted, Version: record.Version}, true, nil
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrUnavailable):
		return Reply{}, false, err
	}
	return Reply{}, false, fmt.Errorf("%w: %w", errAmbiguous, err)
}
