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

// HeadKey is the store key of the record of the active version.
const HeadKey = "Head"

const (
	// maxAttempts limits how often a patch is attempted when the store fails or
	// does not say whether a write took effect.
	maxAttempts = 4
	// retryDelay is doubled for each earlier attempt: the first retry follows
	// after 200 ms.
	retryDelay = 100 * time.Millisecond
)

// HistoryKey returns the store key of the record of a version that is no longer
// active.
func HistoryKey(version uint64) string {
	return fmt.Sprintf("History/%d", version)
}

// Store is the part of the configuration store's client that a Submitter uses.
type Store struct {
	// Get reads a key, see store.Client.Get.
	Get func(ctx context.Context, key string) (store.Value, error)
	// Put writes a key by compare-and-swap, see store.Client.Put.
	Put func(ctx context.Context, key string, content []byte, expected uint64, ttl time.Duration) (uint64, error)
}

// Submitter writes patches to the store. Set the fields before use.
type Submitter struct {
	Store Store
	// Load returns the view of the version that the record describes.
	Load func(ctx context.Context, record service.Record) (*service.View, error)
	// Now returns the current time.
	Now func() time.Time
	// Pause waits before a retry; it returns early when ctx ends.
	Pause func(ctx context.Context, wait time.Duration)
}

// head is the record of the active version as read from the store. A revision
// of 0 means that no version exists yet.
type head struct {
	record   service.Record
	revision uint64
	content  []byte
}

// Submit creates the next version from the patch, or returns why it did not. It
// is safe to call again with the same patch.
func (submitter *Submitter) Submit(ctx context.Context, patch Patch) Reply {
	maybeWritten := false
	var lastErr error
	for attempt := range maxAttempts {
		if attempt > 0 {
			submitter.Pause(ctx, retryDelay<<attempt)
		}
		head, err := submitter.readHead(ctx)
		if err != nil {
			lastErr = err
			continue
		}
		reply, final := submitter.replyFromRecord(ctx, patch, head)
		if final {
			return reply
		}
		reply, final, err = submitter.createVersion(ctx, patch, head)
		// After an ambiguous write the patch may have been applied, or may still be
		// applied. A refusal by createVersion is then not final; one from the record
		// of the version that exists, above, is.
		if final && !(maybeWritten && reply.Outcome == Refused) {
			return reply
		}
		maybeWritten = maybeWritten || errors.Is(err, errAmbiguous)
		lastErr = err
	}
	return unknownReply(lastErr)
}

// readHead reads the record of the active version. Before the first version it
// returns an empty head.
func (submitter *Submitter) readHead(ctx context.Context) (head, error) {
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

// replyFromRecord returns the reply to a patch whose target version exists
// already, from that version's record, and whether there is one. The patch is
// accepted if it created the version itself.
func (submitter *Submitter) replyFromRecord(ctx context.Context, patch Patch, current head) (Reply, bool) {
	target := patch.Against + 1
	if current.record.Version < target {
		return Reply{}, false
	}
	record := current.record
	if record.Version > target {
		value, err := submitter.Store.Get(ctx, HistoryKey(target))
		if err == nil {
			err = json.Unmarshal(value.Content, &record)
		}
		if err != nil {
			return unknownReply(err), true
		}
	}
	if record.PatchID != patch.PatchID {
		return refusedReply(current.record.Version, "patch is against version %d, version %d is active", patch.Against, current.record.Version), true
	}
	if record.Digest != patch.digest() {
		return refusedReply(current.record.Version, "PatchId %q was used for another patch, which created version %d", patch.PatchID, target), true
	}
	return Reply{Outcome: Accepted, Version: target}, true
}

// errAmbiguous marks a write of the head that failed without the store saying
// whether it took effect.
var errAmbiguous = errors.New("write may have taken effect")

// createVersion attempts once to create the next version from the patch. It
// reports whether the reply is final.
func (submitter *Submitter) createVersion(ctx context.Context, patch Patch, current head) (Reply, bool, error) {
	if current.record.Version < patch.Against {
		return Reply{}, false, fmt.Errorf("store returned version %d, the patch is against version %d", current.record.Version, patch.Against)
	}
	view, err := submitter.Load(ctx, current.record)
	if err != nil {
		return Reply{}, false, err
	}
	configuration, problems := patch.Apply(view.Configuration())
	if len(problems) > 0 {
		reply := refusedReply(view.Version, "patch has %d problems", len(problems))
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
	return submitter.replaceHead(ctx, record, current.revision)
}

// writeParts stores the changed parts and the index of the new version, and
// returns its record. Nothing refers to them until the record becomes the head.
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

// create writes a key whose name determines its content. A key that exists
// already therefore holds the same content, and a conflict is no error.
func (submitter *Submitter) create(ctx context.Context, key string, content []byte) error {
	_, err := submitter.Store.Put(ctx, key, content, 0, 0)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}

// archive copies the record of the active version to its history key, before
// the head is replaced.
func (submitter *Submitter) archive(ctx context.Context, current head) error {
	if current.revision == 0 {
		return nil
	}
	return submitter.create(ctx, HistoryKey(current.record.Version), current.content)
}

// replaceHead makes the record the active version if the head still has the
// given revision. It reports whether the reply is final.
func (submitter *Submitter) replaceHead(ctx context.Context, record service.Record, revision uint64) (Reply, bool, error) {
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
