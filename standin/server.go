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

// Steps at which a backend server cuts the connection.
const (
	// CutRead cuts after the request was read, before it runs.
	CutRead = "Read"
	// CutRun cuts after the request ran, before the answer.
	CutRun = "Run"
	// CutHalf cuts half-way through the answer.
	CutHalf = "Half"
)

// ServerFault is what goes wrong with a backend server, set by POST /fault.
type ServerFault struct {
	// SlowFactor multiplies each service time; 0 and 1 change nothing.
	SlowFactor float64
	// SlowShare is the share of requests, 0 to 1, whose time is multiplied by 10.
	SlowShare float64
	// Drain makes the server refuse new work and say that it is leaving.
	Drain bool
	// ShedShare is the share of requests, 0 to 1, that are shed.
	ShedShare float64
	// CutAt is one of the steps above, for CutShare of the requests.
	CutAt    string
	CutShare float64
	// Cross answers with the results of the request before.
	Cross bool
	// Double writes each answer twice.
	Double bool
	// LateMillis delays each answer after the work is done.
	LateMillis int
	// Freeze holds every request until it is switched off.
	Freeze bool
	// HealthLies reports ready and idle whatever is the case.
	HealthLies bool
	// Snapshots replaces the snapshots that the server has, when not empty.
	Snapshots []string
}

// ServerRecord is what a backend server has done, from GET /record.
type ServerRecord struct {
	Runs         int
	Shed         int
	Cancelled    int
	Connections  int
	OpenNow      int64
	MostOpen     int64
	MostInFlight int64
	// BusyMicros adds up the time that slots were held, in microseconds.
	BusyMicros int64
	// Requests counts runs by request identity, while Keep is set.
	Requests map[string]int
}

// Model is how a backend server behaves.
type Model struct {
	// Slots is how many requests run at a time; more wait, up to Queue.
	Slots int
	// Queue is how many requests wait for a slot before the rest is shed.
	Queue int
	// Connections is how many connections are kept open at a time, 0 for any.
	Connections int
	// ConnectionCost delays the first request of a connection.
	ConnectionCost time.Duration
	// ServiceTime is the median time of a request.
	ServiceTime time.Duration
	// Spread is the standard deviation of the logarithm of the service time.
	Spread float64
	// ColdTime is how long after the start requests take 5 times as long.
	ColdTime time.Duration
	// Seed makes the service times repeatable.
	Seed uint64
	// Keep records runs by request identity.
	Keep bool
}

// Server is a backend server. Set the exported fields before Handler.
type Server struct {
	Model
	// Snapshots are the snapshots that the server has.
	Snapshots []string
	// Instance is the process identity.
	Instance string

	once     sync.Once
	started  time.Time
	slots    chan struct{}
	waiting  atomic.Int64
	running  atomic.Int64
	draining atomic.Bool

	mu      sync.Mutex
	random  *rand.Rand
	fault   ServerFault
	changed chan struct{}
	record  ServerRecord
	kept    *backend.Found
}

func (server *Server) prepare() {
	server.started = time.Now()
	server.slots = make(chan struct{}, server.Slots)
	server.random = rand.New(rand.NewPCG(server.Seed, 1))
	server.changed = make(chan struct{})
	server.record.Requests = make(map[string]int)
}

// Handler returns the HTTP interface of the server.
func (server *Server) Handler() http.Handler {
	server.once.Do(server.prepare)
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

// SetFault replaces the fault in force.
func (server *Server) SetFault(fault ServerFault) {
	server.once.Do(server.prepare)
	server.mu.Lock()
	defer server.mu.Unlock()
	server.fault = fault
	if len(fault.Snapshots) > 0 {
		server.Snapshots = fault.Snapshots
	}
	server.draining.Store(fault.Drain)
	close(server.changed)
	server.changed = make(chan struct{})
}

// Record returns a copy of what the server has done.
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

// plan is what will happen to one request, drawn before it runs.
type plan struct {
	fault   ServerFault
	service time.Duration
	shed    bool
	cut     bool
	refusal *backend.Refusal
}

func (server *Server) plan(search *backend.Search) plan {
	server.mu.Lock()
	defer server.mu.Unlock()
	plan := plan{fault: server.fault}
	plan.service = server.draw()
	plan.shed = server.random.Float64() < server.fault.ShedShare
	plan.cut = server.random.Float64() < server.fault.CutShare
	plan.refusal = server.refuse(search)
	return plan
}

func (server *Server) draw() time.Duration {
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

func (server *Server) refuse(search *backend.Search) *backend.Refusal {
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
	server.thaw(request)
	plan := server.plan(&search)
	if plan.refusal != nil {
		server.writeRefusal(writer, plan.refusal)
		return
	}
	if plan.cut && plan.fault.CutAt == CutRead {
		panic(http.ErrAbortHandler)
	}
	if plan.shed || !server.enter(request) {
		server.countShed()
		server.writeRefusal(writer, &backend.Refusal{Verdict: verdict.NotRun.String(), Code: string(verdict.Shed), Instance: server.Instance, Detail: "all slots are in use"})
		return
	}
	found := server.run(request, &search, plan)
	if found == nil {
		return
	}
	server.answer(writer, request, found, plan)
}

// thaw waits while the server is frozen.
func (server *Server) thaw(request *http.Request) {
	for {
		server.mu.Lock()
		frozen, changed := server.fault.Freeze, server.changed
		server.mu.Unlock()
		if !frozen {
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// enter takes a slot. It reports false when the server sheds the request.
func (server *Server) enter(request *http.Request) bool {
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

// run does the work in a slot. It returns nil when the caller has gone.
func (server *Server) run(request *http.Request, search *backend.Search, plan plan) *backend.Found {
	began := time.Now()
	defer func() {
		server.mu.Lock()
		server.record.BusyMicros += time.Since(began).Microseconds()
		server.mu.Unlock()
		<-server.slots
	}()
	server.begin(search, server.running.Add(1))
	defer server.running.Add(-1)
	pause(request, plan.service)
	if request.Context().Err() != nil {
		server.mu.Lock()
		server.record.Cancelled++
		server.mu.Unlock()
		return nil
	}
	return server.find(search)
}

func (server *Server) begin(search *backend.Search, inFlight int64) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.record.Runs++
	server.record.MostInFlight = max(server.record.MostInFlight, inFlight)
	if server.Keep {
		server.record.Requests[search.RequestID]++
	}
}

// find returns results that depend on the search alone, so that a test can
// tell which they have to be.
func (server *Server) find(search *backend.Search) *backend.Found {
	found := &backend.Found{RequestID: search.RequestID, Attempt: search.Attempt, Snapshot: search.Snapshot, Shard: search.Shard, Instance: server.Instance}
	for rank := range min(search.Limit, 10) {
		found.Hits = append(found.Hits, Hit(search.Snapshot, search.Shard, rank, search.Text))
	}
	found.Draining = server.draining.Load()
	return found
}

// Hit is the hit that a stand-in gives at a place of its list.
func Hit(snapshot string, shard, place int, text string) backend.Hit {
	id := fmt.Sprintf("%s/%d/%d", snapshot, shard, place)
	noise := xxhash.Sum64String(id+text) % 1000
	return backend.Hit{ID: id, Score: float64(1000*(10-place)) + float64(noise), Snapshot: snapshot, Shard: shard}
}

func (server *Server) answer(writer http.ResponseWriter, request *http.Request, found *backend.Found, plan plan) {
	if plan.fault.LateMillis > 0 {
		pause(request, time.Duration(plan.fault.LateMillis)*time.Millisecond)
	}
	if plan.cut && plan.fault.CutAt == CutRun {
		panic(http.ErrAbortHandler)
	}
	if plan.cut && plan.fault.CutAt == CutHalf {
		writer.Header().Set("Content-Length", "4096")
		writer.Write([]byte(`{"RequestId":"`))
		panic(http.ErrAbortHandler)
	}
	if plan.fault.Cross {
		found = server.swap(found)
	}
	if plan.fault.Double {
		writeTwice(writer, found)
		return
	}
	writeJSON(writer, http.StatusOK, found)
}

// swap keeps an answer and returns the one kept before.
func (server *Server) swap(found *backend.Found) *backend.Found {
	server.mu.Lock()
	defer server.mu.Unlock()
	kept := server.kept
	server.kept = found
	if kept == nil {
		return &backend.Found{RequestID: "none"}
	}
	return kept
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
	http1 := &http.Server{Handler: server.Handler(), ReadHeaderTimeout: 10 * time.Second}
	return http1.Serve(&countingListener{Listener: listener, server: server})
}
