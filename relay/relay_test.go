package relay_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fescuehall/message"
	"fescuehall/patch"
	"fescuehall/relay"
	"fescuehall/service"
	"fescuehall/store"
)

// configuration returns a configuration of services with the given slots, by
// name.
func configuration(slots map[string]int) *service.Configuration {
	configuration := &service.Configuration{Ranks: []service.Rank{{Name: "Urgent"}}, Services: service.ConfigurationServices{}}
	for name, count := range slots {
		configuration.Services[name] = service.Spec{Slots: count, Connections: 25, Snapshots: []service.Snapshot{{Name: "S1", Shards: 1, Replicas: []service.Replica{{Address: name}}}}}
	}
	return configuration
}

// nextView returns the version after view, with the services and slots given.
func nextView(t testing.TB, view *service.View, slots map[string]int) *service.View {
	changed, removed, err := view.Diff(configuration(slots))
	qt.Assert(t, err, qt.IsNil)
	next, err := view.With(view.Version+1, fmt.Sprint("patch-", view.Version+1), changed, removed)
	qt.Assert(t, err, qt.IsNil)
	return next
}

// newCurrent returns a Current whose active view is the one given.
func newCurrent(view *service.View) *relay.Current {
	current := &relay.Current{}
	current.Advance(view, "test")
	return current
}

// encodeAndDecode returns a delta as a peer receives it.
func encodeAndDecode(t testing.TB, delta *message.ConfigDelta) *message.ConfigDelta {
	body, err := delta.MarshalMsg(nil)
	qt.Assert(t, err, qt.IsNil)
	got := &message.ConfigDelta{}
	_, err = got.UnmarshalMsg(body)
	qt.Assert(t, err, qt.IsNil)
	return got
}

// For any versions of two hosts, a delta brings the older host to the newer
// configuration, and never brings a host to an older one.
func TestDeltasConverge(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		views := []*service.View{service.Empty()}
		names := []string{"Desk", "Portal", "Archive"}
		for range rapid.IntRange(1, 6).Draw(r, "versions") {
			slots := make(map[string]int)
			for _, name := range names {
				if count := rapid.IntRange(0, 3).Draw(r, name); count > 0 {
					slots[name] = count
				}
			}
			views = append(views, nextView(t, views[len(views)-1], slots))
		}
		from := views[rapid.IntRange(0, len(views)-1).Draw(r, "from")]
		to := views[rapid.IntRange(0, len(views)-1).Draw(r, "to")]
		current := newCurrent(from)
		if err := current.Apply(encodeAndDecode(t, relay.Delta(to, from.Version)), "peer"); err != nil {
			r.Fatal(err)
		}
		want := views[max(from.Version, to.Version)]
		got := current.View()
		if got.Version != want.Version || fmt.Sprint(got.Entries()) != fmt.Sprint(want.Entries()) {
			r.Fatalf("version %d with %v, want %d with %v", got.Version, got.Entries(), want.Version, want.Entries())
		}
	})
}

func TestDeltaFromALaterVersionIsRefused(t *testing.T) {
	one := nextView(t, service.Empty(), map[string]int{"Desk": 2})
	two := nextView(t, one, map[string]int{"Desk": 3})
	three := nextView(t, two, map[string]int{"Desk": 4})
	current := newCurrent(one)
	err := current.Apply(relay.Delta(three, 2), "peer")
	qt.Assert(t, err, qt.ErrorMatches, "delta from version 2 can't be applied to version 1")
	qt.Assert(t, current.View().Version, qt.Equals, uint64(1))
}

func TestAdvanceNeverGoesBack(t *testing.T) {
	one := nextView(t, service.Empty(), map[string]int{"Desk": 2})
	two := nextView(t, one, map[string]int{"Desk": 3})
	current := newCurrent(two)
	qt.Assert(t, current.Advance(one, "test"), qt.IsFalse)
	qt.Assert(t, current.Advance(two, "test"), qt.IsFalse)
	qt.Assert(t, current.View(), qt.Equals, two)
}

// fakeStore is a store that holds a configuration's head, indexes and parts.
type fakeStore struct {
	mu      sync.Mutex
	records []service.Record
	parts   map[string][]byte
	// stale makes the store return the first record.
	stale bool
	// dead makes watches last longer than their time and then fail.
	dead  bool
	calls int
}

func newFakeStore(t testing.TB, views ...*service.View) *fakeStore {
	fakeStore := &fakeStore{parts: make(map[string][]byte)}
	previous := service.Empty()
	for _, view := range views {
		parts, removed := view.ChangesSince(previous.Version)
		record := service.Record{Version: view.Version, PatchID: view.PatchID, Index: fmt.Sprint("Index/", view.Version), Removed: removed}
		for _, part := range parts {
			fakeStore.parts[part.Key] = part.Content
			record.Changed = append(record.Changed, service.Entry{Name: part.Name, Key: part.Key})
		}
		index, err := json.Marshal(service.Index{Parts: view.Entries()})
		qt.Assert(t, err, qt.IsNil)
		fakeStore.parts[record.Index] = index
		fakeStore.records = append(fakeStore.records, record)
		previous = view
	}
	return fakeStore
}

func (fakeStore *fakeStore) head() store.Value {
	record := fakeStore.records[len(fakeStore.records)-1]
	if fakeStore.stale {
		record = fakeStore.records[0]
	}
	content, _ := json.Marshal(record)
	return store.Value{Content: content, Revision: record.Version}
}

func (fakeStore *fakeStore) get(_ context.Context, key string) (store.Value, error) {
	fakeStore.mu.Lock()
	defer fakeStore.mu.Unlock()
	fakeStore.calls++
	if key == patch.HeadKey {
		return fakeStore.head(), nil
	}
	content, ok := fakeStore.parts[key]
	if !ok {
		return store.Value{}, store.ErrNotFound
	}
	return store.Value{Content: content}, nil
}

func (fakeStore *fakeStore) watch(_ context.Context, _ string, after uint64, wait time.Duration) (store.Value, error) {
	fakeStore.mu.Lock()
	fakeStore.calls++
	dead, value := fakeStore.dead, fakeStore.head()
	fakeStore.mu.Unlock()
	if dead {
		<-time.After(wait + 2*time.Second)
		return store.Value{}, context.DeadlineExceeded
	}
	if value.Revision > after {
		return value, nil
	}
	<-time.After(wait)
	return store.Value{}, store.ErrUnchanged
}

func TestWatcher(t *testing.T) {
	one := nextView(t, service.Empty(), map[string]int{"Desk": 2, "Portal": 1})
	two := nextView(t, one, map[string]int{"Desk": 3})
	three := nextView(t, two, map[string]int{"Desk": 3, "Archive": 1})
	tests := []struct {
		name  string
		start *service.View
		setUp func(*fakeStore)
		want  *service.View
	}{
		{name: "first version", start: service.Empty(), want: three},
		{name: "next version", start: two, want: three},
		{name: "versions in between missed", start: one, want: three},
		{name: "store returns an older version", start: three, setUp: func(fakeStore *fakeStore) { fakeStore.stale = true }, want: three},
		{name: "watch is dead", start: two, setUp: func(fakeStore *fakeStore) { fakeStore.dead = true }, want: three},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fakeStore := newFakeStore(t, one, two, three)
				if test.setUp != nil {
					test.setUp(fakeStore)
				}
				current := newCurrent(test.start)
				ctx, cancel := context.WithCancel(context.Background())
				watcher := &relay.Watcher{Loader: &relay.Loader{Get: fakeStore.get, Current: current}, Watch: fakeStore.watch, ShouldWatch: func() bool { return true }, Log: t.Logf}
				go watcher.Run(ctx)
				time.Sleep(9 * time.Second)
				qt.Check(t, current.View().Version, qt.Equals, test.want.Version)
				qt.Check(t, current.View().Entries(), qt.DeepEquals, test.want.Entries())
				fakeStore.mu.Lock()
				qt.Check(t, fakeStore.calls < 30, qt.IsTrue, qt.Commentf("%d calls", fakeStore.calls))
				fakeStore.mu.Unlock()
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}

// A change that is stored while the watch does not respond becomes active
// within 9 s.
func TestChangeIsLoadedDespiteADeadWatch(t *testing.T) {
	one := nextView(t, service.Empty(), map[string]int{"Desk": 2})
	two := nextView(t, one, map[string]int{"Desk": 3})
	synctest.Test(t, func(t *testing.T) {
		fakeStore := newFakeStore(t, one)
		current := &relay.Current{}
		ctx, cancel := context.WithCancel(context.Background())
		watcher := &relay.Watcher{Loader: &relay.Loader{Get: fakeStore.get, Current: current}, Watch: fakeStore.watch, ShouldWatch: func() bool { return true }, Log: t.Logf}
		go watcher.Run(ctx)
		time.Sleep(time.Second)
		qt.Check(t, current.View().Version, qt.Equals, uint64(1))
		later := newFakeStore(t, one, two)
		fakeStore.mu.Lock()
		fakeStore.dead = true
		fakeStore.records, fakeStore.parts = later.records, later.parts
		fakeStore.mu.Unlock()
		time.Sleep(9 * time.Second)
		qt.Check(t, current.View().Version, qt.Equals, uint64(2))
		cancel()
		time.Sleep(time.Minute)
	})
}
