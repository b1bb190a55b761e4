package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	headerID       = "X-Fescuehall-Request-Id"
	headerDeadline = "X-Fescuehall-Deadline-Ms"
	headerStamp    = "X-Fescuehall-Response-Stamp"
	headerExpect   = "X-Fescuehall-Expect-Instance"
	headerNotRun   = "X-Fescuehall-Not-Executed"
	headerLoad     = "X-Fescuehall-Server-Load"
	headerInstance = "X-Fescuehall-Instance-Id"
)

const (
	// beatInterval is the interval at which servers write their entries.
	beatInterval = 1200 * time.Millisecond
	// maxQueue is the number of requests that wait at a server.
	maxQueue = 12
)

// run is one request that a server began to work on.
type run struct {
	id     string
	server string
	began  time.Time
	// ended is zero while the server is at work.
	ended time.Time
	// answered is set when the server completed its answer, and not set when the
	// connection was closed before.
	answered bool
}

// server is a stand-in for a server of the platform: sound, with a number of
// slots and a queue.
type server struct {
	id      string
	service string
	zone    string
	slots   int
	// work returns how long the server works on a request.
	work func() time.Duration
	// pause and pauseEvery are the length and the interval of the server's pauses.
	pause      time.Duration
	pauseEvery time.Duration
	// records is the number of records in an answer; without any, the answer is a
	// text.
	records int
	// manual is set when the case sends the server's beats itself.
	manual bool
	// store is where the server registers.
	store  *store
	record *record

	address  string
	listener net.Listener

	mu       sync.Mutex
	waiting  int
	running  int
	free     chan struct{}
	sequence int
	state    string
	born     int64
	stopped  bool
	// arrivals holds the times at which requests arrived, by request id.
	arrivals map[string]time.Time
	// resumeAt is the end of the server's pause.
	resumeAt time.Time
	conns    map[net.Conn]bool
}

// start opens the server's port and registers it.
func (server *server) start() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	server.listener, server.address = listener, listener.Addr().String()
	server.free = make(chan struct{}, server.slots)
	for range server.slots {
		server.free <- struct{}{}
	}
	server.state, server.born = "ready", time.Now().UnixMilli()
	server.arrivals = make(map[string]time.Time)
	server.conns = make(map[net.Conn]bool)
	serving := &http.Server{Handler: server, ConnState: server.track}
	go serving.Serve(listener)
	server.beat()
	if server.pause > 0 {
		go server.pauseNowAndThen()
	}
	if server.manual {
		return
	}
	go func() {
		time.Sleep(rand.N(beatInterval))
		for !server.isStopped() {
			server.beat()
			time.Sleep(beatInterval)
		}
	}()
}

func (server *server) track(conn net.Conn, state http.ConnState) {
	server.mu.Lock()
	defer server.mu.Unlock()
	switch state {
	case http.StateNew:
		server.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(server.conns, conn)
	}
}

func (server *server) pauseNowAndThen() {
	time.Sleep(rand.N(server.pauseEvery))
	for !server.isStopped() {
		server.mu.Lock()
		server.resumeAt = time.Now().Add(server.pause)
		server.mu.Unlock()
		time.Sleep(server.pauseEvery)
	}
}

// crash ends the server without a word: its entry expires.
func (server *server) crash() {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.stopped = true
	server.listener.Close()
	for conn := range server.conns {
		conn.Close()
	}
}

func (server *server) isStopped() bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.stopped
}

// entry returns what the server writes to the store.
func (server *server) entry() map[string]any {
	server.sequence++
	return map[string]any{
		"backend": server.service, "address": server.address, "zone": server.zone, "version": "v1", "slots": server.slots,
		"state": server.state, "warmup_left_ms": 0, "sequence": server.sequence, "born": server.born,
	}
}

// beat writes the server's entry and returns when it was acknowledged.
func (server *server) beat() (time.Time, bool) {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.store.put("servers/"+server.id, server.entry(), 3*beatInterval)
}

// drain reports the server as leaving and returns when that was acknowledged.
func (server *server) drain() time.Time {
	server.mu.Lock()
	server.state = "draining"
	server.mu.Unlock()
	at, _ := server.beat()
	return at
}

// leave ends the server and removes its entry.
func (server *server) leave() {
	server.mu.Lock()
	server.stopped = true
	server.mu.Unlock()
	server.store.remove("servers/" + server.id)
	server.listener.Close()
}

func (server *server) load() string {
	return fmt.Sprintf("%d,%d,%d", server.running, server.waiting, server.slots)
}

// ServeHTTP implements http.Handler.
func (server *server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	arrived := time.Now()
	id := request.Header.Get(headerID)
	header := writer.Header()
	header.Set(headerInstance, server.id)
	if request.URL.Path == "/healthz" {
		return
	}
	header.Set(headerID, id)
	if expected := request.Header.Get(headerExpect); expected != "" && expected != server.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	millis, err := strconv.Atoi(request.Header.Get(headerDeadline))
	if err != nil || id == "" {
		header.Set(headerNotRun, "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer deadline.Stop()
	server.record.note("%s reaches %s", id, server.id)
	server.mu.Lock()
	server.arrivals[id] = arrived
	if server.waiting >= maxQueue {
		header.Set(headerNotRun, "1")
		header.Set(headerLoad, server.load())
		server.mu.Unlock()
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	server.waiting++
	server.mu.Unlock()
	select {
	case <-server.free:
	case <-request.Context().Done():
		server.mu.Lock()
		server.waiting--
		server.mu.Unlock()
		return
	case <-deadline.C:
		server.mu.Lock()
		server.waiting--
		header.Set(headerLoad, server.load())
		server.mu.Unlock()
		header.Set(headerNotRun, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	server.mu.Lock()
	server.waiting--
	server.running++
	server.mu.Unlock()
	run := server.record.begin(id, server.id)
	server.mu.Lock()
	work := time.NewTimer(server.work() + max(0, time.Until(server.resumeAt)))
	server.mu.Unlock()
	defer work.Stop()
	status := 0
	select {
	case <-work.C:
		status = http.StatusOK
	case <-deadline.C:
		status = http.StatusGatewayTimeout
	case <-request.Context().Done():
	}
	server.record.end(run, status)
	server.mu.Lock()
	server.running--
	header.Set(headerLoad, server.load())
	server.mu.Unlock()
	server.free <- struct{}{}
	if status == 0 {
		return
	}
	header.Set(headerStamp, server.id+"."+id)
	body := []byte("answer of " + server.id + " to " + id)
	if server.records > 0 {
		body = make([]byte, 16*server.records)
		for index := range body {
			body[index] = byte(rand.N(256))
		}
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	writer.Write(body)
}
