package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// sent is one request of a client.
type sent struct {
	id     string
	host   string
	sentAt time.Time
	status string
}

// arrival is a request that has reached a server.
type arrival struct {
	id     string
	server *server
	at     time.Time
	// cut is set when the server ended during the run.
	cut bool
}

// record is what was sent, run and answered. It is written to a file.
type record struct {
	began time.Time

	mu       sync.Mutex
	file     *os.File
	writer   *bufio.Writer
	requests map[string]*sent
	arrivals []*arrival
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	check(err)
	return &record{began: time.Now(), file: file, writer: bufio.NewWriter(file), requests: make(map[string]*sent)}
}

func (record *record) line(format string, args ...any) {
	fmt.Fprintf(record.writer, "%8.3f  %s\n", time.Since(record.began).Seconds(), fmt.Sprintf(format, args...))
}

// note writes a line to the file.
func (record *record) note(format string, args ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	record.line(format, args...)
}

// say writes a line to the file and to the standard output.
func (record *record) say(format string, args ...any) {
	record.note(format, args...)
	fmt.Printf("%8.3f  %s\n", time.Since(record.began).Seconds(), fmt.Sprintf(format, args...))
}

func (record *record) close() {
	record.mu.Lock()
	defer record.mu.Unlock()
	record.writer.Flush()
	record.file.Close()
}

func (record *record) send(id, host string) *sent {
	record.mu.Lock()
	defer record.mu.Unlock()
	request := &sent{id: id, host: host, sentAt: time.Now()}
	record.requests[id] = request
	record.line("%s sent to %s", id, host)
	return request
}

func (record *record) answered(request *sent, status string) {
	record.mu.Lock()
	defer record.mu.Unlock()
	request.status = status
	record.line("%s answered: %s", request.id, status)
}

func (record *record) arrive(id string, server *server) {
	record.mu.Lock()
	defer record.mu.Unlock()
	record.arrivals = append(record.arrivals, &arrival{id: id, server: server, at: time.Now()})
	record.line("%s reaches %s", id, server.id)
}

func (record *record) cut(id string, server *server) {
	record.mu.Lock()
	defer record.mu.Unlock()
	for _, arrival := range record.arrivals {
		if arrival.id == id && arrival.server == server {
			arrival.cut = true
		}
	}
	record.line("%s is lost: %s ended while it ran", id, server.id)
}

func (record *record) ran(id string, server *server) {
	record.note("%s has run at %s", id, server.id)
}

// countAnswered returns the numbers of requests with and without a success.
func (record *record) countAnswered() (served, failed int) {
	record.mu.Lock()
	defer record.mu.Unlock()
	for _, request := range record.requests {
		if request.status == "200" {
			served++
		} else {
			failed++
		}
	}
	return served, failed
}

// mostInWindow returns the greatest number of requests that were both sent and reached a
// server within a time, and when that began.
func (record *record) mostInWindow(window time.Duration) (most int, at time.Time) {
	record.mu.Lock()
	defer record.mu.Unlock()
	for _, first := range record.requests {
		count := 0
		for _, arrival := range record.arrivals {
			request := record.requests[arrival.id]
			if request != nil && !request.sentAt.Before(first.sentAt) && arrival.at.Sub(first.sentAt) < window {
				count++
			}
		}
		if count > most {
			most, at = count, first.sentAt
		}
	}
	return most, at
}

// countRun returns the number of requests to a host that reached a server within a
// second.
func (record *record) countRun(host string, from time.Time) (count int) {
	record.mu.Lock()
	defer record.mu.Unlock()
	for _, arrival := range record.arrivals {
		if request := record.requests[arrival.id]; request != nil && request.host == host && !arrival.at.Before(from) && arrival.at.Before(from.Add(time.Second)) {
			count++
		}
	}
	return count
}

// countServed returns the number of requests that were sent within a time, and how many
// of these were answered with a success.
func (record *record) countServed(from, to time.Time) (sent, served int) {
	record.mu.Lock()
	defer record.mu.Unlock()
	for _, request := range record.requests {
		if request.sentAt.Before(from) || !request.sentAt.Before(to) {
			continue
		}
		sent++
		if request.status == "200" {
			served++
		}
	}
	return sent, served
}
