package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"create_rev"`
	Lease     int64  `json:"lease"`
	// expires is when a server's entry is removed without a further beat.
	expires time.Time
}

// change is one change of the store.
type change struct {
	at        time.Time
	item      item
	tombstone bool
}

// lease is a lease of the store.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in for the platform's store.
type store struct {
	// lag is the age of serializable reads.
	lag time.Duration

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	changes  []change
	// stale is the state as of lag ago, with its revision.
	stale         map[string]item
	staleRevision uint64
	staleNext     int
	leases        map[int64]*lease
	nextLease     int64
	changed       chan struct{}
	// down makes the store answer every call with 503.
	down bool
}

func newStore(lag time.Duration) *store {
	store := &store{lag: lag, revision: 1, staleRevision: 1, items: make(map[string]item), stale: make(map[string]item), leases: make(map[int64]*lease), changed: make(chan struct{})}
	go store.tick()
	return store
}

// listen serves the store on a free port and returns its address.
func (store *store) listen() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go http.Serve(listener, store)
	return listener.Addr().String()
}

// setDown makes the store unavailable or available.
func (store *store) setDown(down bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.down = down
	close(store.changed)
	store.changed = make(chan struct{})
}

// record applies a change. The lock is held.
func (store *store) record(changed item, tombstone bool) {
	store.revision++
	changed.Revision = store.revision
	changed.CreateRev = store.revision
	if old, ok := store.items[changed.Key]; ok {
		changed.CreateRev = old.CreateRev
	}
	if tombstone {
		delete(store.items, changed.Key)
	} else {
		store.items[changed.Key] = changed
	}
	store.changes = append(store.changes, change{time.Now(), changed, tombstone})
	close(store.changed)
	store.changed = make(chan struct{})
}

// put writes a key for the operator or a server and returns when it was
// acknowledged, or false while the store is down.
func (store *store) put(key string, value any, ttl time.Duration) (time.Time, bool) {
	content, err := json.Marshal(value)
	check(err)
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.down {
		return time.Time{}, false
	}
	written := item{Key: key, Value: content}
	if ttl > 0 {
		written.expires = time.Now().Add(ttl)
	}
	store.record(written, false)
	return time.Now(), true
}

// remove deletes a key.
func (store *store) remove(key string) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if _, ok := store.items[key]; ok {
		store.record(item{Key: key}, true)
	}
}

// tick removes what has expired, and advances the state that serializable reads
// return.
func (store *store) tick() {
	for range time.Tick(20 * time.Millisecond) {
		store.mu.Lock()
		now := time.Now()
		for id, granted := range store.leases {
			if now.After(granted.expires) {
				store.endLease(id)
			}
		}
		for key, kept := range store.items {
			if !kept.expires.IsZero() && now.After(kept.expires) {
				store.record(item{Key: key}, true)
			}
		}
		for store.staleNext < len(store.changes) && now.Sub(store.changes[store.staleNext].at) >= store.lag {
			applied := store.changes[store.staleNext]
			store.staleNext++
			store.staleRevision = applied.item.Revision
			if applied.tombstone {
				delete(store.stale, applied.item.Key)
			} else {
				store.stale[applied.item.Key] = applied.item
			}
		}
		store.mu.Unlock()
	}
}

func (store *store) endLease(id int64) {
	delete(store.leases, id)
	for key, kept := range store.items {
		if kept.Lease == id {
			store.record(item{Key: key}, true)
		}
	}
}

// ServeHTTP implements http.Handler.
func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.down {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	status, reply := http.StatusNotFound, any(map[string]string{"error": "no such call"})
	switch path := request.URL.Path; {
	case path == "/kv-range":
		status, reply = store.serveRange(request)
	case path == "/kv-key":
		status, reply = store.serveKey(request)
	case path == "/kv-watch":
		status, reply = store.serveWatch(request)
	case path == "/kv-txn":
		status, reply = store.serveTxn(request)
	case path == "/kv-lease":
		status, reply = store.serveGrant(request)
	case strings.HasPrefix(path, "/kv-keep/"):
		status, reply = store.serveKeep(strings.TrimPrefix(path, "/kv-keep/"))
	case strings.HasPrefix(path, "/kv-lease-end/"):
		status, reply = store.serveEnd(strings.TrimPrefix(path, "/kv-lease-end/"))
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	json.NewEncoder(writer).Encode(reply)
}

func (store *store) serveRange(request *http.Request) (int, any) {
	const pageItems = 500
	query := request.URL.Query()
	items, revision := store.items, store.revision
	if query.Get("serializable") == "1" {
		items, revision = store.stale, store.staleRevision
	}
	var keys []string
	for key := range items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := []item{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		page = append(page, items[key])
	}
	return http.StatusOK, map[string]any{"items": page, "truncated": len(keys) > pageItems, "current_rev": revision}
}

func (store *store) serveKey(request *http.Request) (int, any) {
	found, ok := store.items[request.URL.Query().Get("key")]
	if !ok {
		return http.StatusNotFound, map[string]any{"current_rev": store.revision}
	}
	return http.StatusOK, found
}

func (store *store) serveWatch(request *http.Request) (int, any) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events := []any{}
		for _, seen := range store.changes {
			if seen.item.Revision <= after || !strings.HasPrefix(seen.item.Key, query.Get("prefix")) {
				continue
			}
			if seen.tombstone {
				events = append(events, map[string]any{"key": seen.item.Key, "revision": seen.item.Revision, "tombstone": true})
				continue
			}
			events = append(events, seen.item)
		}
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "current_rev": store.revision}
		}
		changed := store.changed
		store.mu.Unlock()
		expired := false
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-request.Context().Done():
			expired = true
		}
		store.mu.Lock()
		if store.down {
			return http.StatusServiceUnavailable, map[string]string{"error": "unavailable"}
		}
		if expired {
			return http.StatusOK, map[string]any{"events": events, "current_rev": store.revision}
		}
	}
}

func (store *store) serveTxn(request *http.Request) (int, any) {
	var body struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, map[string]string{"error": err.Error()}
	}
	for _, row := range body.Precondition {
		if store.items[row.Key].Revision != row.Revision {
			return http.StatusPreconditionFailed, map[string]any{"items": []item{store.items[row.Key]}}
		}
	}
	for _, write := range body.Writes {
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			return http.StatusForbidden, map[string]string{"error": "not allowed"}
		}
		if _, ok := store.leases[write.Lease]; write.Lease != 0 && !ok {
			return http.StatusNotFound, map[string]string{"error": "no such lease"}
		}
	}
	for _, write := range body.Writes {
		store.record(item{Key: write.Key, Value: write.Value, Lease: write.Lease}, false)
	}
	for _, key := range body.Deletes {
		store.record(item{Key: key}, true)
	}
	return http.StatusOK, map[string]any{"revision": store.revision}
}

func (store *store) serveGrant(request *http.Request) (int, any) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, map[string]string{"error": err.Error()}
	}
	store.nextLease++
	ttl := time.Duration(body.TTL) * time.Millisecond
	store.leases[store.nextLease] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": store.nextLease, "ttl_ms": body.TTL}
}

func (store *store) serveKeep(id string) (int, any) {
	number, _ := strconv.ParseInt(id, 10, 64)
	kept := store.leases[number]
	if kept == nil {
		return http.StatusNotFound, map[string]string{"error": "no such lease"}
	}
	kept.expires = time.Now().Add(kept.ttl)
	return http.StatusOK, map[string]any{"ttl_ms": kept.ttl.Milliseconds()}
}

func (store *store) serveEnd(id string) (int, any) {
	number, _ := strconv.ParseInt(id, 10, 64)
	if store.leases[number] == nil {
		return http.StatusNotFound, map[string]string{"error": "no such lease"}
	}
	store.endLease(number)
	return http.StatusOK, map[string]any{}
}
