package relay

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"fescuehall/patch"
	"fescuehall/poll"
	"fescuehall/service"
	"fescuehall/store"
)

const (
	// watchWait bounds a watch, so that one the store has forgotten is noticed.
	watchWait = 2 * time.Second
	// idleCheck is how often a host asks whether it is to watch.
	idleCheck = 500 * time.Millisecond
	// backoffLeast and backoffMost bound the pause after a failed call, so that
	// the end of an outage brings no rush of calls.
	backoffLeast = 250 * time.Millisecond
	backoffMost  = 4 * time.Second
)

// Watcher follows the store while this host is chosen to. Set the fields
// before Run.
type Watcher struct {
	Loader *Loader
	// Watch waits for a change of a key, see store.Client.Watch.
	Watch func(ctx context.Context, key string, after uint64, wait time.Duration) (store.Value, error)
	// Chosen reports whether this host is to watch now.
	Chosen func() bool
	// Log is told of what happens.
	Log func(format string, args ...any)

	healthy  bool
	backoff  time.Duration
	revision uint64
}

// Run follows the store until ctx ends.
func (watcher *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !watcher.Chosen() {
			watcher.revision = 0
			poll.Pause(ctx, idleCheck)
			continue
		}
		if err := watcher.step(ctx); err != nil {
			watcher.failed(ctx, err)
			continue
		}
		watcher.backoff = 0
		if !watcher.healthy {
			watcher.healthy = true
			watcher.Log("Store answers.")
		}
	}
}

func (watcher *Watcher) failed(ctx context.Context, err error) {
	if watcher.healthy || watcher.backoff == 0 {
		watcher.Log("Store does not answer: %v.", err)
	}
	watcher.healthy = false
	watcher.backoff = min(backoffMost, max(backoffLeast, 2*watcher.backoff))
	watcher.revision = 0
	poll.Pause(ctx, watcher.backoff/2+rand.N(watcher.backoff))
}

// step reads the head after a failure or a dead watch, and watches it
// otherwise.
func (watcher *Watcher) step(ctx context.Context) error {
	if watcher.revision == 0 {
		record, revision, err := watcher.Loader.ReadHead(ctx, patch.HeadKey)
		if err != nil {
			return err
		}
		if revision == 0 {
			poll.Pause(ctx, idleCheck)
			return nil
		}
		return watcher.take(ctx, record, revision)
	}
	value, err := watcher.Watch(ctx, patch.HeadKey, watcher.revision, watchWait)
	if errors.Is(err, store.ErrUnchanged) {
		return nil
	}
	if err != nil {
		return err
	}
	var record service.Record
	if err := json.Unmarshal(value.Content, &record); err != nil {
		return err
	}
	return watcher.take(ctx, record, value.Revision)
}

func (watcher *Watcher) take(ctx context.Context, record service.Record, revision uint64) error {
	inForce := watcher.Loader.Current.View().Version
	if record.Version < inForce {
		watcher.Log("Store answers with version %d, %d stays in force.", record.Version, inForce)
		poll.Pause(ctx, idleCheck)
		return nil
	}
	view, err := watcher.Loader.Load(ctx, record)
	if err != nil {
		return err
	}
	watcher.revision = revision
	watcher.Loader.Current.Advance(view, "store")
	return nil
}
