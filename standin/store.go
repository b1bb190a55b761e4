// Package standin holds small stand-ins for what the platform and the users
// provide: the configuration store, the host list and a backend server. Each
// takes faults over HTTP while it runs.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// MaxValueBytes is the largest value the store holds.
const MaxValueBytes = 1 << 20

// StoreFault is what goes wrong with the store, set by POST /fault.
type StoreFault struct {
	// Outage refuses all calls.
	Outage bool
	// DelayMillis slows each call.
	DelayMillis int
	// LoseReplies cuts the connection of that many writes after their effect.
	LoseReplies int
	// Stale answers reads with each key's value before its last write.
	Stale bool
	// WatchDead leaves watches unanswered for good.
	WatchDead bool
	// WritesPerSecond and ReadsPerSecond limit calls, 0 for no limit.
	WritesPerSecond int
	ReadsPerSecond  int
}

// StoreCounts is what GET /counts tells.
type StoreCounts struct {
	Reads   int
	Writes  int
	Watches int
	Waiting int
	Refused int
}

type storeValue struct {
	content  []byte
	revision uint64
	expires  time.Time
	previous *storeValue
}

type lease struct {
	holder  string
	fence   uint64
	expires time.Time
}

// Store is a key-value service with compare-and-swap, leases and watches.
type Store struct {
	// Now is the clock; time.Now when nil.
	Now func() time.Time

	mu       sync.Mutex
	values   map[string]*storeValue
	leases   map[string]*lease
	changed  chan struct{}
	revision uint64
	fault    StoreFault
	counts   StoreCounts
	second   int64
	reads    int
	writes   int
}

// Handler returns the HTTP interface of the store.
func (store *Store) Handler() http.Handler {
	store.values = make(map[string]*storeValue)
	store.leases = make(map[string]*lease)
	store.changed = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", store.get)
	mux.HandleFunc("PUT /v1/kv/{key...}", store.put)
	mux.HandleFunc("POST /v1/lease/{name}", store.lease)
	mux.HandleFunc("POST /fault", store.setFault)
	mux.HandleFunc("GET /counts", store.getCounts)
	return mux
}

func (store *Store) now() time.Time {
	if store.Now != nil {
		return store.Now()
	}
	return time.Now()
}

// SetFault replaces the fault in force.
func (store *Store) SetFault(fault StoreFault) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.fault = fault
	close(store.changed)
	store.changed = make(chan struct{})
}

// Counts returns the calls so far.
func (store *Store) Counts() StoreCounts {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.counts
}

func (store *Store) setFault(writer http.ResponseWriter, request *http.Request) {
	var fault StoreFault
	if !readJSON(writer, request, &fault) {
		return
	}
	store.SetFault(fault)
}

func (store *Store) getCounts(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, store.Counts())
}

// admit applies outage, delay and rate limits. It reports whether the call
// goes on.
func (store *Store) admit(writer http.ResponseWriter, request *http.Request, write bool) bool {
	store.mu.Lock()
	fault := store.fault
	ok := !fault.Outage && store.count(write)
	if !ok {
		store.counts.Refused++
	}
	store.mu.Unlock()
	if fault.DelayMillis > 0 {
		pause(request, time.Duration(fault.DelayMillis)*time.Millisecond)
	}
	if !ok {
		http.Error(writer, "store unavailable", http.StatusServiceUnavailable)
	}
	return ok
}

func (store *Store) count(write bool) bool {
	if second := store.now().Unix(); second != store.second {
		store.second, store.reads, store.writes = second, 0, 0
	}
	if write {
		store.counts.Writes++
		store.writes++
		return store.fault.WritesPerSecond == 0 || store.writes <= store.fault.WritesPerSecond
	}
	store.counts.Reads++
	store.reads++
	return store.fault.ReadsPerSecond == 0 || store.reads <= store.fault.ReadsPerSecond
}

func (store *Store) get(writer http.ResponseWriter, request *http.Request) {
	if !store.admit(writer, request, false) {
		return
	}
	after, watch := queryUint(request, "After")
	if watch {
		waitMillis, _ := queryUint(request, "WaitMillis")
		store.await(request, after, time.Duration(waitMillis)*time.Millisecond)
	}
	value := store.read(request.PathValue("key"))
	if watch && (value == nil || value.revision <= after) {
		writer.WriteHeader(http.StatusNoContent)
		return
	}
	if value == nil {
		http.Error(writer, "key does not exist", http.StatusNotFound)
		return
	}
	writer.Header().Set("Revision", strconv.FormatUint(value.revision, 10))
	writer.Write(value.content)
}

func (store *Store) read(key string) *storeValue {
	store.mu.Lock()
	defer store.mu.Unlock()
	value := store.live(key)
	if value != nil && store.fault.Stale && value.previous != nil {
		return value.previous
	}
	return value
}

func (store *Store) live(key string) *storeValue {
	value := store.values[key]
	if value == nil || (!value.expires.IsZero() && store.now().After(value.expires)) {
		return nil
	}
	return value
}

// await returns when the key has changed, the wait is over or the caller has
// gone.
func (store *Store) await(request *http.Request, after uint64, wait time.Duration) {
	store.mu.Lock()
	store.counts.Watches++
	store.counts.Waiting++
	store.mu.Unlock()
	defer func() {
		store.mu.Lock()
		store.counts.Waiting--
		store.mu.Unlock()
	}()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		store.mu.Lock()
		value, changed, dead := store.live(request.PathValue("key")), store.changed, store.fault.WatchDead
		store.mu.Unlock()
		if !dead && value != nil && value.revision > after {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			if !dead {
				return
			}
		case <-request.Context().Done():
			return
		}
	}
}

func (store *Store) put(writer http.ResponseWriter, request *http.Request) {
	content, err := io.ReadAll(io.LimitReader(request.Body, MaxValueBytes+1))
	if err != nil || len(content) > MaxValueBytes {
		http.Error(writer, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	if !store.admit(writer, request, true) {
		return
	}
	expected, _ := queryUint(request, "Revision")
	ttlSeconds, _ := queryUint(request, "TtlSeconds")
	revision, ok, lost := store.swap(request.PathValue("key"), content, expected, time.Duration(ttlSeconds)*time.Second)
	if lost {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Revision", strconv.FormatUint(revision, 10))
	if !ok {
		http.Error(writer, "revision differs", http.StatusConflict)
	}
}

// swap writes when the key's revision is the expected one, 0 for a key that
// does not exist.
func (store *Store) swap(key string, content []byte, expected uint64, ttl time.Duration) (revision uint64, ok, lost bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	current := store.live(key)
	if current != nil {
		revision = current.revision
	}
	if revision != expected {
		return revision, false, false
	}
	store.revision++
	value := &storeValue{content: content, revision: store.revision}
	if current != nil {
		value.previous = &storeValue{content: current.content, revision: current.revision}
	}
	if ttl > 0 {
		value.expires = store.now().Add(ttl)
	}
	store.values[key] = value
	close(store.changed)
	store.changed = make(chan struct{})
	if store.fault.LoseReplies > 0 {
		store.fault.LoseReplies--
		return value.revision, true, true
	}
	return value.revision, true, false
}

// lease gives or renews the named lease and answers with its fencing number.
func (store *Store) lease(writer http.ResponseWriter, request *http.Request) {
	if !store.admit(writer, request, true) {
		return
	}
	ttlMillis, _ := queryUint(request, "TtlMillis")
	holder := request.URL.Query().Get("Holder")
	store.mu.Lock()
	defer store.mu.Unlock()
	current := store.leases[request.PathValue("name")]
	if current != nil && current.holder != holder && store.now().Before(current.expires) {
		http.Error(writer, "lease is held", http.StatusConflict)
		return
	}
	if current == nil || current.holder != holder || store.now().After(current.expires) {
		store.revision++
		current = &lease{holder: holder, fence: store.revision}
		store.leases[request.PathValue("name")] = current
	}
	current.expires = store.now().Add(time.Duration(ttlMillis) * time.Millisecond)
	writer.Header().Set("Fence", strconv.FormatUint(current.fence, 10))
}

func queryUint(request *http.Request, name string) (uint64, bool) {
	value, err := strconv.ParseUint(request.URL.Query().Get(name), 10, 64)
	return value, err == nil
}

func pause(request *http.Request, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-request.Context().Done():
	}
}

func readJSON(writer http.ResponseWriter, request *http.Request, target any) bool {
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		http.Error(writer, strings.TrimSpace(err.Error()), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	json.NewEncoder(writer).Encode(value)
}
