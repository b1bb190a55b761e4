// Package standin provides simple replacements (stand-ins) for services outside
// this project, for tests and demos: the platform's configuration store and
// host list, and the users' backend servers. Faults can be injected over HTTP
// while they run.
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

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// StoreFault is the fault that POST /fault injects into the store.
type StoreFault struct {
	// Outage refuses all calls.
	Outage bool
	// DelayMillis delays each call.
	DelayMillis int
	// LoseReplies is how many of the next writes take effect but get no reply: the
	// connection is closed.
	LoseReplies int
	// Stale makes reads return the value that a key had before its last write.
	Stale bool
	// WatchDead leaves watches unanswered, even after their wait time.
	WatchDead bool
	// WritesPerSecond and ReadsPerSecond limit calls: 0 is no limit, a negative
	// value refuses all.
	WritesPerSecond int
	ReadsPerSecond  int
}

// StoreCounts counts calls; GET /counts returns it.
type StoreCounts struct {
	Reads   int
	Writes  int
	Watches int
	// Waiting is the number of watches that wait now.
	Waiting int
	// Refused counts the calls refused by an outage or a rate limit.
	Refused int
}

// storeValue is the value of a key. A zero expires means that it never expires.
type storeValue struct {
	content  []byte
	revision uint64
	expires  time.Time
	previous *storeValue
}

type lease struct {
	holder string
	// fence is the fencing token, higher for each new holder.
	fence   uint64
	expires time.Time
}

// Store is a key-value service with compare-and-swap, leases and watches.
type Store struct {
	// Now is the clock; time.Now when nil.
	Now func() time.Time

	mu     sync.Mutex
	values map[string]*storeValue
	leases map[string]*lease
	// changed is closed and replaced at each write and each new fault.
	changed  chan struct{}
	revision uint64
	fault    StoreFault
	counts   StoreCounts
	// rateSecond is the Unix second that readsInSecond and writesInSecond count.
	rateSecond     int64
	readsInSecond  int
	writesInSecond int
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

// SetFault replaces the active fault.
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

// admit applies the outage, delay and rate limits of the active fault. It
// reports whether the call may proceed, and answers it otherwise.
func (store *Store) admit(writer http.ResponseWriter, request *http.Request, write bool) bool {
	store.mu.Lock()
	fault := store.fault
	ok := !fault.Outage && store.countCall(write)
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

// countCall counts a call and reports whether it is within the rate limit. The
// caller holds mu.
func (store *Store) countCall(write bool) bool {
	if second := store.now().Unix(); second != store.rateSecond {
		store.rateSecond, store.readsInSecond, store.writesInSecond = second, 0, 0
	}
	if write {
		store.counts.Writes++
		store.writesInSecond++
		return store.fault.WritesPerSecond == 0 || store.writesInSecond <= store.fault.WritesPerSecond
	}
	store.counts.Reads++
	store.readsInSecond++
	return store.fault.ReadsPerSecond == 0 || store.readsInSecond <= store.fault.ReadsPerSecond
}

func (store *Store) get(writer http.ResponseWriter, request *http.Request) {
	if !store.admit(writer, request, false) {
		return
	}
	after, watch := queryUint(request, "After")
	if watch {
		waitMillis, _ := queryUint(request, "WaitMillis")
		store.waitForChange(request, after, time.Duration(waitMillis)*time.Millisecond)
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

// read returns the value that a read of a key gets under the active fault.
func (store *Store) read(key string) *storeValue {
	store.mu.Lock()
	defer store.mu.Unlock()
	value := store.unexpired(key)
	if value != nil && store.fault.Stale && value.previous != nil {
		return value.previous
	}
	return value
}

// unexpired returns the value of a key, nil if there is none or it has expired.
// The caller holds mu.
func (store *Store) unexpired(key string) *storeValue {
	value := store.values[key]
	if value == nil || (!value.expires.IsZero() && store.now().After(value.expires)) {
		return nil
	}
	return value
}

// waitForChange returns when the key of the request has a revision higher than
// after, the wait time is over or the request is cancelled.
func (store *Store) waitForChange(request *http.Request, after uint64, wait time.Duration) {
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
		value, changed, watchDead := store.unexpired(request.PathValue("key")), store.changed, store.fault.WatchDead
		store.mu.Unlock()
		if !watchDead && value != nil && value.revision > after {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			if !watchDead {
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
	revision, ok, loseReply := store.compareAndSwap(request.PathValue("key"), content, expected, time.Duration(ttlSeconds)*time.Second)
	if loseReply {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Revision", strconv.FormatUint(revision, 10))
	if !ok {
		http.Error(writer, "revision differs", http.StatusConflict)
	}
}

// compareAndSwap writes a value if the key has the expected revision, which is
// 0 for a key that does not exist. It returns the key's revision, whether the
// value was written, and whether the reply is to be lost.
func (store *Store) compareAndSwap(key string, content []byte, expected uint64, ttl time.Duration) (revision uint64, ok, loseReply bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	current := store.unexpired(key)
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

// lease grants or renews the named lease and answers with its fencing token.
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

// pause returns after the wait or when the request is cancelled.
func pause(request *http.Request, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-request.Context().Done():
	}
}

// readJSON decodes the body of a request. On failure it answers with status 400
// and reports false.
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
