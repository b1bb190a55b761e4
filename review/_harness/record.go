package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// sent is one request of a client, which is one attempt.
type sent struct {
	id string
	// host is the index of the host that it was sent to.
	host   int
	method string
	at     time.Time
	ended  time.Time
	// status is 0 when there was no complete answer.
	status int
	stamp  string
	detail string
	// whole is set once all bytes of the request were sent.
	whole bool
}

// record keeps what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	sent  []*sent
	runs  map[string][]*run
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	check(err)
	return &record{start: time.Now(), file: file, runs: make(map[string][]*run)}
}

// since returns the seconds from the start to a time.
func (record *record) since(at time.Time) float64 {
	return at.Sub(record.start).Seconds()
}

// note writes a line.
func (record *record) note(format string, args ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	fmt.Fprintf(record.file, "%9.3f  %s\n", record.since(time.Now()), fmt.Sprintf(format, args...))
}

// say writes a line and shows it.
func (record *record) say(format string, args ...any) {
	record.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (record *record) begin(id, server string) *run {
	record.mu.Lock()
	defer record.mu.Unlock()
	begun := &run{id: id, server: server, began: time.Now()}
	record.runs[id] = append(record.runs[id], begun)
	fmt.Fprintf(record.file, "%9.3f  run of %s begins at %s\n", record.since(begun.began), id, server)
	return begun
}

func (record *record) end(ended *run, status int) {
	record.mu.Lock()
	defer record.mu.Unlock()
	ended.ended, ended.answered = time.Now(), status != 0
	fmt.Fprintf(record.file, "%9.3f  run of %s ends at %s, status %d\n", record.since(ended.ended), ended.id, ended.server, status)
}

func (record *record) add(request *sent) {
	record.mu.Lock()
	defer record.mu.Unlock()
	record.sent = append(record.sent, request)
	fmt.Fprintf(record.file, "%9.3f  %s %s sent to host %d\n", record.since(request.at), request.method, request.id, request.host)
}

// finish records the end of a request.
func (record *record) finish(request *sent) {
	record.mu.Lock()
	defer record.mu.Unlock()
	request.ended = time.Now()
	fmt.Fprintf(record.file, "%9.3f  %s %s ended: status %d stamp %q %s\n", record.since(request.ended), request.method, request.id, request.status, request.stamp, request.detail)
}

// refused records a request that could not be sent since no connection to the host
// could be opened.
func (record *record) refused(host int, err error) {
	attempt := &sent{id: newID(), host: host, method: "connect", at: time.Now(), detail: err.Error()}
	record.add(attempt)
	record.finish(attempt)
}
