package standin

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuehall/backend"
	"fescuehall/verdict"
)

// Steps at which a backend server closes the connection of a request (CutAt of
// ServerFault).
const (
	// CutRead closes it after the request was read and before it runs.
	CutRead = "Read"
	// CutRun closes it after the request ran and before the answer.
	CutRun = "Run"
	// CutHalf closes it when a part of the answer has been sent.
	CutHalf = "Half"
)

// ServerFault is the fault that POST /fault injects into a backend server.
type ServerFault struct {
	// SlowFactor multiplies each service time; 0 and 1 change nothing.
	SlowFactor float64
	// SlowShare is the share of requests, 0 to 1, whose service time is multiplied
	// by 10.
	SlowShare float64
	// Drain makes the server refuse new requests and report that it is draining.
	Drain bool
	// ShedShare is the share of requests, 0 to 1, that are shed.
	ShedShare float64
	// CutAt is the step (CutRead, CutRun or CutHalf) at which the server closes
	// the connection of a share CutShare, 0 to 1, of the requests.
	CutAt    string
	CutShare float64
	// Cross answers each request with the results of the previous one.
	Cross bool
	// Double sends each answer twice.
	Double bool
	// LateMillis delays each answer after its request has run.
	LateMillis int
	// Freeze blocks every search until the fault is replaced, and fails health
	// checks.
	Freeze bool
	// HealthLies makes health checks report a ready and idle server, regardless of
	// its state.
	HealthLies bool
	// Snapshots replaces the snapshots that the server has loaded, when not empty.
	Snapshots []string
}

// ServerRecord counts what a backend server has done; GET /record returns it.
type ServerRecord struct {
	Runs      int
	Shed      int
	Cancelled int
	// Connections counts all accepted connections, OpenNow those that are open
	// now; MostOpen is the maximum of OpenNow.
	Connections int
	OpenNow     int64
	MostOpen    int64
	// MostInFlight is the maximum number of requests that ran at a time.
	MostInFlight int64
	// BusyMicros is the total time that slots were in use, in microseconds.
	BusyMicros int64
	// Requests counts runs by request ID, if RecordRequests is set.
	Requests map[string]int
}

// Model describes the capacity and the service times of a backend server.
type Model struct {
	// Slots is how many requests run at a time.
	Slots int
	// Queue is how many requests may wait for a slot; further ones are shed.
	Queue int
	// Connections is the maximum number of open connections, 0 for no limit.
	Connections int
	// ConnectionCost delays the first request of a connection.
	ConnectionCost time.Duration
	// ServiceTime is the median service time.
	ServiceTime time.Duration
	// Spread is the standard deviation of the logarithm of the service time.
	Spread float64
	// ColdTime is how long after the start service times are multiplied by 5.
	ColdTime time.Duration
	// Seed is the seed of the random numbers that decide service times and faults.
	Seed uint64
	// RecordRequests makes Record count runs by request ID.
	RecordRequests bool
}

// Server is a stand-in for a backend server. Set the exported fields before the
// first call of a method.
type Server struct {
	Model
	// Snapshots are the snapshots that the server has loaded.
	Snapshots []string
	// Instance identifies the server's process.
	Instance string

	initOnce sync.Once
	started  time.Time
	slots    chan struct{}
	waiting  atomic.Int64
	running  atomic.Int64
	draining atomic.Bool

	mu     sync.Mutex
	random *rand.Rand
	fault  ServerFault
	// faultChanged is closed and replaced when the fault is replaced.
	faultChanged chan struct{}
	record       ServerRecord
	// previous is the previous answer, which the fault Cross sends.
	previous *backend.Found
}

func (server *Server) initialize() {
	server.started = time.Now()
	server.slots = make(chan struct{}, server.Slots)
	server.random = rand.New(rand.NewPCG(server.Seed, 1))
	server.faultChanged = make(chan struct{})
	server.record.Requests = make(map[string]int)
}

// Handler returns the HTTP interface of the server.
func (server *Server) Handler() http.Handler {
	server.initOnce.Do(server.initialize)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /search", server.search)
	mux.HandleFunc("GET /health", server.health)
	mux.HandleFunc("POST /fault", func(writer http.ResponseWriter, request *http.Request) {
		var fault ServerFault
		if readJSON(writer, request, &fault) {
			server.SetFault(fault)
		}
	})
	mux.HandleFunc("GET /record", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, server.Record())
	})
	return mux
}

// SetFault replaces the active fault.
func (server *Server) SetFault(fault ServerFault) {
	server.initOnce.Do(server.initialize)
	server.mu.Lock()
	defer server.mu.Unlock()
	server.fault = fault
	if len(fault.Snapshots) > 0 {
		server.Snapshots = fault.Snapshots
	}
	server.draining.Store(fault.Drain)
	close(server.faultChanged)
	server.faultChanged = make(chan struct{})
}

// Record returns a copy of the server's record.
func (server *Server) Record() ServerRecord {
	server.mu.Lock()
	defer server.mu.Unlock()
	record := server.record
	record.Requests = make(map[string]int, len(server.record.Requests))
	for id, runs := range server.record.Requests {
		record.Requests[id] = runs
	}
	return record
}

func (server *Server) health(writer http.ResponseWriter, _ *http.Request) {
	server.mu.Lock()
	fault, snapshots := server.fault, server.Snapshots
	server.mu.Unlock()
	if fault.Freeze {
		panic(http.ErrAbortHandler)
	}
	health := backend.Health{Ready: !fault.Drain, Draining: fault.Drain, Instance: server.Instance, Snapshots: snapshots}
	health.Load = float64(server.running.Load()) / float64(server.Slots)
	if fault.HealthLies {
		health.Ready, health.Draining, health.Load = true, false, 0
	}
	writeJSON(writer, http.StatusOK, health)
}

// plan is how one request will be handled. It is decided at random, before the
// request runs.
type plan struct {
	fault       ServerFault
	serviceTime time.Duration
	shed        bool
	closeEarly  bool
	// refusal is nil for a request that is accepted.
	refusal *backend.Refusal
}

func (server *Server) plan(search *backend.Search) plan {
	server.mu.Lock()
	defer server.mu.Unlock()
	plan := plan{fault: server.fault}
	plan.serviceTime = server.drawServiceTime()
	plan.shed = server.random.Float64() < server.fault.ShedShare
	plan.closeEarly = server.random.Float64() < server.fault.CutShare
	plan.refusal = server.refusalFor(search)
	return plan
}

// drawServiceTime returns a random service time under the active fault. The
// caller holds mu.
func (server *Server) drawServiceTime() time.Duration {
	factor := math.Exp(server.Spread * server.random.NormFloat64())
	if server.fault.SlowFactor > 0 {
		factor *= server.fault.SlowFactor
	}
	if server.random.Float64() < server.fault.SlowShare {
		factor *= 10
	}
	if time.Since(server.started) < server.ColdTime {
		factor *= 5
	}
	return time.Duration(factor * float64(server.ServiceTime))
}

// refusalFor returns the refusal of a search, nil when the server accepts it.
// The caller holds mu.
func (server *Server) refusalFor(search *backend.Search) *backend.Refusal {
	refusal := &backend.Refusal{Verdict: verdict.NotRun.String(), Instance: server.Instance, Snapshots: server.Snapshots}
	if server.fault.Drain {
		refusal.Code = string(verdict.Draining)
		return refusal
	}
	for _, name := range server.Snapshots {
		if name == search.Snapshot {
			return nil
		}
	}
	refusal.Code = string(verdict.SnapshotMissing)
	refusal.Detail = fmt.Sprintf("snapshot %q is not loaded", search.Snapshot)
	return refusal
}

func (server *Server) search(writer http.ResponseWriter, request *http.Request) {
	var search backend.Search
	if !readJSON(writer, request, &search) {
		return
	}
	server.waitWhileFrozen(request)
	plan := server.plan(&search)
	if plan.refusal != nil {
		server.writeRefusal(writer, plan.refusal)
		return
	}
	if plan.closeEarly && plan.fault.CutAt == CutRead {
		panic(http.ErrAbortHandler)
	}
	if plan.shed || !server.acquireSlot(request) {
		server.countShed()
		server.writeRefusal(writer, &backend.Refusal{Verdict: verdict.NotRun.String(), Code: string(verdict.Shed), Instance: server.Instance, Detail: "all slots are in use"})
		return
	}
	found := server.run(request, &search, plan)
	if found == nil {
		return
	}
	server.writeAnswer(writer, request, found, plan)
}

// waitWhileFrozen waits until the fault Freeze is cleared. It aborts the
// request when its caller cancels it.
func (server *Server) waitWhileFrozen(request *http.Request) {
	for {
		server.mu.Lock()
		frozen, faultChanged := server.fault.Freeze, server.faultChanged
		server.mu.Unlock()
		if !frozen {
			return
		}
		select {
		case <-faultChanged:
		case <-request.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// acquireSlot waits for a free slot, in the queue if need be. It reports false
// when the queue is full or the request is cancelled.
func (server *Server) acquireSlot(request *http.Request) bool {
	select {
	case server.slots <- struct{}{}:
		return true
	default:
	}
	if server.waiting.Add(1) > int64(server.Queue) {
		server.waiting.Add(-1)
		return false
	}
	defer server.waiting.Add(-1)
	select {
	case server.slots <- struct{}{}:
		return true
	case <-request.Context().Done():
		return false
	}
}

func (server *Server) countShed() {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.record.Shed++
}

// run runs a search in the slot that was acquired for it, and releases the
// slot. It returns nil when the request was cancelled.
func (server *Server) run(request *http.Request, search *backend.Search, plan plan) *backend.Found {
	start := time.Now()
	defer func() {
		server.mu.Lock()
		server.record.BusyMicros += time.Since(start).Microseconds()
		server.mu.Unlock()
		<-server.slots
	}()
	server.recordRun(search, server.running.Add(1))
	defer server.running.Add(-1)
	pause(request, plan.serviceTime)
	if request.Context().Err() != nil {
		server.mu.Lock()
		server.record.Cancelled++
		server.mu.Unlock()
		return nil
	}
	return server.find(search)
}

func (server *Server) recordRun(search *backend.Search, inFlight int64) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.record.Runs++
	server.record.MostInFlight = max(server.record.MostInFlight, inFlight)
	if server.RecordRequests {
		server.record.Requests[search.RequestID]++
	}
}

// find returns results that depend on the search alone, so that tests can
// compute the expected results.
func (server *Server) find(search *backend.Search) *backend.Found {
	found := &backend.Found{RequestID: search.RequestID, Attempt: search.Attempt, Snapshot: search.Snapshot, Shard: search.Shard, Instance: server.Instance}
	for index := range min(search.Limit, 10) {
		found.Hits = append(found.Hits, Hit(search.Snapshot, search.Shard, index, search.Text))
	}
	found.Draining = server.draining.Load()
	return found
}

// Hit returns the hit at an index of the list that a stand-in backend server
// returns for a snapshot, shard and text. Hits are in order of falling score.
func Hit(snapshot string, shard, index int, text string) backend.Hit {
	id := fmt.Sprintf("%s/%d/%d", snapshot, shard, index)
	noise := xxhash.Sum64String(id+text) % 1000
	return backend.Hit{ID: id, Score: float64(1000*(10-index)) + float64(noise), Snapshot: snapshot, Shard: shard}
}

// writeAnswer sends the answer of a search, with the faults of its plan.
func (server *Server) writeAnswer(writer http.ResponseWriter, request *http.Request, found *backend.Found, plan plan) {
	if plan.fault.LateMillis > 0 {
		pause(request, time.Duration(plan.fault.LateMillis)*time.Millisecond)
	}
	if plan.closeEarly && plan.fault.CutAt == CutRun {
		panic(http.ErrAbortHandler)
	}
	if plan.closeEarly && plan.fault.CutAt == CutHalf {
		writer.Header().Set("Content-Length", "4096")
		writer.Write([]byte(`{"RequestId":"`))
		panic(http.ErrAbortHandler)
	}
	if plan.fault.Cross {
		found = server.swapPrevious(found)
	}
	if plan.fault.Double {
		writeTwice(writer, found)
		return
	}
	writeJSON(writer, http.StatusOK, found)
}

// swapPrevious stores an answer and returns the previous one.
func (server *Server) swapPrevious(found *backend.Found) *backend.Found {
	server.mu.Lock()
	defer server.mu.Unlock()
	previous := server.previous
	server.previous = found
	if previous == nil {
		return &backend.Found{RequestID: "none"}
	}
	return previous
}

func (server *Server) writeRefusal(writer http.ResponseWriter, refusal *backend.Refusal) {
	status := http.StatusServiceUnavailable
	if refusal.Code == string(verdict.SnapshotMissing) {
		status = http.StatusConflict
	}
	writeJSON(writer, status, refusal)
}

// Serve accepts connections until the listener closes.
func (server *Server) Serve(listener net.Listener) error {
	httpServer := &http.Server{Handler: server.Handler(), ReadHeaderTimeout: 10 * time.Second}
	return httpServer.Serve(&countingListener{Listener: listener, server: server})
}
