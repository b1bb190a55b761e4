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
	// watchTimeout limits the duration of a watch, so that one that the store
	// no longer serves is noticed.
	watchTimeout = 2 * time.Second
	// recheckInterval is the pause before a host checks again whether it should
	// watch, or whether the store has a current version.
	recheckInterval = 500 * time.Millisecond
	// minBackoff and maxBackoff limit the pause after a failed call. The pause
	// grows so that the end of an outage causes no burst of calls.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// Watcher loads new configurations from the store while this host is one of
// those that watch it. Set the fields before Run.
type Watcher struct {
	Loader *Loader
	// Watch waits for a change of a key, see store.Client.Watch.
	Watch func(ctx context.Context, key string, after uint64, wait time.Duration) (store.Value, error)
	// ShouldWatch reports whether this host should watch the store now.
	ShouldWatch func() bool
	// Log writes a line to the log.
	Log func(format string, args ...any)

	healthy bool
	backoff time.Duration
	// revision is the store's revision of the head as last read, 0 when it has
	// to be read again.
	revision uint64
}

// Run watches the store until ctx ends.
func (watcher *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !watcher.ShouldWatch() {
			watcher.revision = 0
			poll.Sleep(ctx, recheckInterval)
			continue
		}
		if err := watcher.step(ctx); err != nil {
			watcher.backOff(ctx, err)
			continue
		}
		watcher.backoff = 0
		if !watcher.healthy {
			watcher.healthy = true
			watcher.Log("Store is reachable.")
		}
	}
}

// backOff logs the first of several failures and pauses with exponential
// backoff and jitter.
func (watcher *Watcher) backOff(ctx context.Context, err error) {
	if watcher.healthy || watcher.backoff == 0 {
		watcher.Log("Store call failed: %v.", err)
	}
	watcher.healthy = false
	watcher.backoff = min(maxBackoff, max(minBackoff, 2*watcher.backoff))
	watcher.revision = 0
	poll.Sleep(ctx, watcher.backoff/2+rand.N(watcher.backoff))
}

// step reads the head, the record of the newest version, when this host starts
// to watch and after a failed call. Otherwise it waits for a change of the
// head.
func (watcher *Watcher) step(ctx context.Context) error {
	if watcher.revision == 0 {
		record, revision, err := watcher.Loader.ReadHead(ctx, patch.HeadKey)
		if err != nil {
			return err
		}
		if revision == 0 {
			poll.Sleep(ctx, recheckInterval)
			return nil
		}
		return watcher.load(ctx, record, revision)
	}
	value, err := watcher.Watch(ctx, patch.HeadKey, watcher.revision, watchTimeout)
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
	return watcher.load(ctx, record, value.Revision)
}

// load activates the view that a record describes, unless it is older than the
// active one.
func (watcher *Watcher) load(ctx context.Context, record service.Record, revision uint64) error {
	activeVersion := watcher.Loader.Current.View().Version
	if record.Version < activeVersion {
		watcher.Log("Store returned version %d; version %d stays active.", record.Version, activeVersion)
		poll.Sleep(ctx, recheckInterval)
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
