package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// change is a change of a key: its new value, or its removal.
type change struct {
	at       time.Time
	revision int64
	key      string
	value    []byte
	lease    int64
	removed  bool
}

// store is a stand-in for the platform's metadata store. Its responses are
// linearizable, but for reads with serializable=1, which are lag old.
type store struct {
	lag time.Duration
	// called is called with the name of the host that sends a call.
	called func(host string, request *http.Request)
	// delay returns how much later a call is executed, whose answer is then lost; 0 for
	// an ordinary call.
	delay func(host string, request *http.Request) time.Duration
	// cut reports whether a host is cut from the store: its calls get no answer.
	cut func(host string) bool

	mu       sync.Mutex
	revision int64
	log      []change
	leases   map[int64]*lease
	nextID   int64
	changed  chan struct{}
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

func newStore(lag time.Duration) *store {
	store := &store{lag: lag, revision: 1, leases: make(map[int64]*lease), changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			store.mu.Lock()
			for id, lease := range store.leases {
				if time.Now().After(lease.expires) {
					store.endLease(id)
				}
			}
			store.mu.Unlock()
		}
	}()
	return store
}

// listen serves the store for one host at an address of its own, so that it is known
// which host calls.
func (store *store) listen(ip, host string) string {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	check(err)
	go http.Serve(listener, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if store.called != nil {
			store.called(host, request)
		}
		if store.cut != nil && store.cut(host) {
			<-request.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if store.delay != nil {
			if delay := store.delay(host, request); delay > 0 {
				store.executeLater(request, delay)
				// The connection returns nothing further.
				<-request.Context().Done()
				panic(http.ErrAbortHandler)
			}
		}
		store.serve(writer, request)
	}))
	return listener.Addr().String()
}

// apply records a change. The caller holds the lock.
func (store *store) apply(changes ...change) {
	store.revision++
	for _, change := range changes {
		change.at, change.revision = time.Now(), store.revision
		store.log = append(store.log, change)
	}
	close(store.changed)
	store.changed = make(chan struct{})
}

// put writes a key for the operator or a server, and returns when it was accepted.
func (store *store) put(key string, value any) time.Time {
	content, err := json.Marshal(value)
	check(err)
	store.mu.Lock()
	defer store.mu.Unlock()
	store.apply(change{key: key, value: content})
	return time.Now()
}

// remove removes a key, and returns when that was accepted.
func (store *store) remove(key string) time.Time {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.apply(change{key: key, removed: true})
	return time.Now()
}

// endLease removes a lease and its keys. The caller holds the lock.
func (store *store) endLease(id int64) {
	delete(store.leases, id)
	items, _ := store.state(time.Now())
	var ended []change
	for key, item := range items {
		if item.lease == id {
			ended = append(ended, change{key: key, removed: true})
		}
	}
	if len(ended) > 0 {
		store.apply(ended...)
	}
}

// state returns the items as they were at a time, and the revision then. The caller
// holds the lock.
func (store *store) state(at time.Time) (map[string]change, int64) {
	items, revision := make(map[string]change), int64(1)
	for _, change := range store.log {
		if change.at.After(at) {
			break
		}
		revision = change.revision
		if change.removed {
			delete(items, change.key)
		} else {
			items[change.key] = change
		}
	}
	return items, revision
}

func encode(change change) map[string]any {
	if change.removed {
		return map[string]any{"key": change.key, "revision": change.revision, "tombstone": true}
	}
	return map[string]any{"key": change.key, "value": change.value, "revision": change.revision, "create_rev": change.revision, "lease": change.lease}
}

// executeLater reads a call and executes it after a delay.
func (store *store) executeLater(request *http.Request, delay time.Duration) {
	body, err := io.ReadAll(request.Body)
	check(err)
	copied := request.Clone(context.Background())
	copied.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(delay, func() { store.handle(copied) })
}

// keys returns the keys with a prefix.
func (store *store) keys(prefix string) (keys []string) {
	store.mu.Lock()
	defer store.mu.Unlock()
	state, _ := store.state(time.Now())
	for key := range state {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

func (store *store) serve(writer http.ResponseWriter, request *http.Request) {
	status, body := store.handle(request)
	content, err := json.Marshal(body)
	check(err)
	time.Sleep(4 * time.Millisecond)
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	writer.Write(content)
}

func (store *store) handle(request *http.Request) (int, any) {
	path, query := request.URL.Path, request.URL.Query()
	switch {
	case path == "/kv-range":
		return http.StatusOK, store.readRange(query.Get("prefix"), query.Get("after"), query.Get("serializable") == "1")
	case path == "/kv-watch":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		return http.StatusOK, store.watch(request, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "/kv-txn":
		return store.txn(request)
	case path == "/kv-lease":
		var asked struct {
			TTL int64 `json:"ttl_ms"`
		}
		json.NewDecoder(request.Body).Decode(&asked)
		store.mu.Lock()
		defer store.mu.Unlock()
		store.nextID++
		ttl := time.Duration(asked.TTL) * time.Millisecond
		store.leases[store.nextID] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
		return http.StatusOK, map[string]any{"lease": store.nextID, "ttl_ms": asked.TTL}
	case strings.HasPrefix(path, "/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/kv-keep/"), 10, 64)
		store.mu.Lock()
		defer store.mu.Unlock()
		lease := store.leases[id]
		if lease == nil {
			return http.StatusNotFound, nil
		}
		lease.expires = time.Now().Add(lease.ttl)
		return http.StatusOK, map[string]any{"ttl_ms": lease.ttl.Milliseconds()}
	case strings.HasPrefix(path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/kv-lease-end/"), 10, 64)
		store.mu.Lock()
		defer store.mu.Unlock()
		if store.leases[id] == nil {
			return http.StatusNotFound, nil
		}
		store.endLease(id)
		return http.StatusOK, map[string]any{}
	}
	return http.StatusNotFound, nil
}

func (store *store) readRange(prefix, after string, serializable bool) any {
	store.mu.Lock()
	defer store.mu.Unlock()
	at := time.Now()
	if serializable {
		at = at.Add(-store.lag)
	}
	state, revision := store.state(at)
	var keys []string
	for key := range state {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []any{}
	for _, key := range keys {
		items = append(items, encode(state[key]))
	}
	return map[string]any{"items": items, "truncated": false, "current_rev": revision}
}

func (store *store) watch(request *http.Request, prefix string, after int64, wait time.Duration) any {
	timeout := time.After(wait)
	for {
		store.mu.Lock()
		events := []any{}
		for _, change := range store.log {
			if change.revision > after && strings.HasPrefix(change.key, prefix) {
				events = append(events, encode(change))
			}
		}
		revision, changed := store.revision, store.changed
		store.mu.Unlock()
		reply := map[string]any{"events": events, "current_rev": revision}
		if len(events) > 0 {
			return reply
		}
		select {
		case <-changed:
		case <-timeout:
			return reply
		case <-request.Context().Done():
			return reply
		}
	}
}

func (store *store) txn(request *http.Request) (int, any) {
	var asked struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"precondition"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	json.NewDecoder(request.Body).Decode(&asked)
	store.mu.Lock()
	defer store.mu.Unlock()
	state, _ := store.state(time.Now())
	for _, condition := range asked.Precondition {
		if state[condition.Key].revision != condition.Revision {
			return http.StatusPreconditionFailed, map[string]any{"items": []any{}}
		}
	}
	var changes []change
	for _, write := range asked.Writes {
		if write.Lease != 0 && store.leases[write.Lease] == nil {
			return http.StatusNotFound, nil
		}
		changes = append(changes, change{key: write.Key, value: write.Value, lease: write.Lease})
	}
	for _, key := range asked.Deletes {
		changes = append(changes, change{key: key, removed: true})
	}
	store.apply(changes...)
	return http.StatusOK, map[string]any{"revision": store.revision}
}
