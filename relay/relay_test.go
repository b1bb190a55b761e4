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

// configuration returns one with the services named, each with some slots.
func configuration(slots map[string]int) *service.Configuration {
	made := &service.Configuration{Ranks: []service.Rank{{Name: "Urgent"}}, Services: service.ConfigurationServices{}}
	for name, count := range slots {
		made.Services[name] = service.Spec{Slots: count, Connections: 25, Snapshots: []service.Snapshot{{Name: "S1", Shards: 1, Replicas: []service.Replica{{Address: name}}}}}
	}
	return made
}

func next(t testing.TB, view *service.View, slots map[string]int) *service.View {
	changed, removed, err := view.Diff(configuration(slots))
	qt.Assert(t, err, qt.IsNil)
	made, err := view.With(view.Version+1, fmt.Sprint("patch-", view.Version+1), changed, removed)
	qt.Assert(t, err, qt.IsNil)
	return made
}

func advanced(view *service.View) *relay.Current {
	current := &relay.Current{}
	current.Advance(view, "test")
	return current
}

// throughWire sends a delta as peers do.
func throughWire(t testing.TB, delta *message.ConfigDelta) *message.ConfigDelta {
	body, err := delta.MarshalMsg(nil)
	qt.Assert(t, err, qt.IsNil)
	got := &message.ConfigDelta{}
	_, err = got.UnmarshalMsg(body)
	qt.Assert(t, err, qt.IsNil)
	return got
}

// Whatever versions two hosts are at, a delta brings the older one to the
// newer one's configuration and never takes anyone back.
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
			views = append(views, next(t, views[len(views)-1], slots))
		}
		from := views[rapid.IntRange(0, len(views)-1).Draw(r, "from")]
		to := views[rapid.IntRange(0, len(views)-1).Draw(r, "to")]
		current := advanced(from)
		if err := current.Apply(throughWire(t, relay.Delta(to, from.Version)), "peer"); err != nil {
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
	one := next(t, service.Empty(), map[string]int{"Desk": 2})
	two := next(t, one, map[string]int{"Desk": 3})
	three := next(t, two, map[string]int{"Desk": 4})
	current := advanced(one)
	err := current.Apply(relay.Delta(three, 2), "peer")
	qt.Assert(t, err, qt.ErrorMatches, "delta from version 2 can't be applied to version 1")
	qt.Assert(t, current.View().Version, qt.Equals, uint64(1))
}

func TestAdvanceNeverGoesBack(t *testing.T) {
	one := next(t, service.Empty(), map[string]int{"Desk": 2})
	two := next(t, one, map[string]int{"Desk": 3})
	current := advanced(two)
	qt.Assert(t, current.Advance(one, "test"), qt.IsFalse)
	qt.Assert(t, current.Advance(two, "test"), qt.IsFalse)
	qt.Assert(t, current.View(), qt.Equals, two)
}

// heads is a store whose head and watch a test scripts.
type heads struct {
	mu      sync.Mutex
	records []service.Record
	parts   map[string][]byte
	// stale answers with the first record.
	stale bool
	// dead leaves watches unanswered until their caller gives up.
	dead  bool
	calls int
}

func newHeads(t testing.TB, views ...*service.View) *heads {
	heads := &heads{parts: make(map[string][]byte)}
	previous := service.Empty()
	for _, view := range views {
		parts, removed := view.Since(previous.Version)
		record := service.Record{Version: view.Version, PatchID: view.PatchID, Index: fmt.Sprint("Index/", view.Version), Removed: removed}
		for _, part := range parts {
			heads.parts[part.Key] = part.Content
			record.Changed = append(record.Changed, service.Entry{Name: part.Name, Key: part.Key})
		}
		index, err := json.Marshal(service.Index{Parts: view.Entries()})
		qt.Assert(t, err, qt.IsNil)
		heads.parts[record.Index] = index
		heads.records = append(heads.records, record)
		previous = view
	}
	return heads
}

func (heads *heads) head() store.Value {
	record := heads.records[len(heads.records)-1]
	if heads.stale {
		record = heads.records[0]
	}
	content, _ := json.Marshal(record)
	return store.Value{Content: content, Revision: record.Version}
}

func (heads *heads) get(_ context.Context, key string) (store.Value, error) {
	heads.mu.Lock()
	defer heads.mu.Unlock()
	heads.calls++
	if key == patch.HeadKey {
		return heads.head(), nil
	}
	content, ok := heads.parts[key]
	if !ok {
		return store.Value{}, store.ErrNotFound
	}
	return store.Value{Content: content}, nil
}

func (heads *heads) watch(_ context.Context, _ string, after uint64, wait time.Duration) (store.Value, error) {
	heads.mu.Lock()
	heads.calls++
	dead, value := heads.dead, heads.head()
	heads.mu.Unlock()
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
	one := next(t, service.Empty(), map[string]int{"Desk": 2, "Portal": 1})
	two := next(t, one, map[string]int{"Desk": 3})
	three := next(t, two, map[string]int{"Desk": 3, "Archive": 1})
	tests := []struct {
		name  string
		start *service.View
		heads func(*heads)
		want  *service.View
	}{
		{name: "first version", start: service.Empty(), want: three},
		{name: "next version", start: two, want: three},
		{name: "versions in between were missed", start: one, want: three},
		{name: "store answers with an older version", start: three, heads: func(heads *heads) { heads.stale = true }, want: three},
		{name: "watch is dead", start: two, heads: func(heads *heads) { heads.dead = true }, want: three},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				heads := newHeads(t, one, two, three)
				if test.heads != nil {
					test.heads(heads)
				}
				current := advanced(test.start)
				ctx, cancel := context.WithCancel(context.Background())
				watcher := &relay.Watcher{Loader: &relay.Loader{Get: heads.get, Current: current}, Watch: heads.watch, Chosen: func() bool { return true }, Log: t.Logf}
				go watcher.Run(ctx)
				time.Sleep(9 * time.Second)
				qt.Check(t, current.View().Version, qt.Equals, test.want.Version)
				qt.Check(t, current.View().Entries(), qt.DeepEquals, test.want.Entries())
				heads.mu.Lock()
				qt.Check(t, heads.calls < 30, qt.IsTrue, qt.Commentf("%d calls", heads.calls))
				heads.mu.Unlock()
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}

// A change that comes while the watch is dead is in force within 9 s.
func TestDeadWatchIsNoticed(t *testing.T) {
	one := next(t, service.Empty(), map[string]int{"Desk": 2})
	two := next(t, one, map[string]int{"Desk": 3})
	synctest.Test(t, func(t *testing.T) {
		heads := newHeads(t, one)
		current := &relay.Current{}
		ctx, cancel := context.WithCancel(context.Background())
		watcher := &relay.Watcher{Loader: &relay.Loader{Get: heads.get, Current: current}, Watch: heads.watch, Chosen: func() bool { return true }, Log: t.Logf}
		go watcher.Run(ctx)
		time.Sleep(time.Second)
		qt.Check(t, current.View().Version, qt.Equals, uint64(1))
		later := newHeads(t, one, two)
		heads.mu.Lock()
		heads.dead = true
		heads.records, heads.parts = later.records, later.parts
		heads.mu.Unlock()
		time.Sleep(9 * time.Second)
		qt.Check(t, current.View().Version, qt.Equals, uint64(2))
		cancel()
		time.Sleep(time.Minute)
	})
}
