package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

var nextID atomic.Uint64

// newID returns the id of a new request.
func newID() string {
	return fmt.Sprintf("%016x", 0x9c41d07b00000000+nextID.Add(1))
}

// caller is a client with one connection at most.
type caller struct {
	record *record
	conn   net.Conn
	reader *bufio.Reader
	host   int
}

// connect opens a connection to a host.
func (caller *caller) connect(host int, address string) error {
	caller.close()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	caller.conn, caller.reader, caller.host = conn, bufio.NewReader(conn), host
	return nil
}

func (caller *caller) close() {
	if caller.conn != nil {
		caller.conn.Close()
		caller.conn = nil
	}
}

// request is what a client sends.
type request struct {
	method string
	path   string
	body   string
	limit  time.Duration
}

// do sends a request on the open connection and waits for the answer.
func (caller *caller) do(content request) *sent {
	attempt := &sent{id: newID(), host: caller.host, method: content.method, at: time.Now()}
	caller.record.add(attempt)
	defer caller.record.finish(attempt)
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: search.example\r\n%s: %s\r\n%s: %d\r\n", content.method, content.path, headerID, attempt.id, headerDeadline, content.limit.Milliseconds())
	if content.method != http.MethodGet {
		head += "Content-Length: " + strconv.Itoa(len(content.body)) + "\r\n"
	}
	caller.conn.SetDeadline(time.Now().Add(content.limit))
	if _, err := io.WriteString(caller.conn, head+"\r\n"+content.body); err != nil {
		attempt.detail = err.Error()
		caller.close()
		return attempt
	}
	attempt.whole = true
	response, err := http.ReadResponse(caller.reader, &http.Request{Method: content.method})
	if err != nil {
		attempt.detail = err.Error()
		caller.close()
		return attempt
	}
	if _, err := io.ReadAll(response.Body); err != nil {
		attempt.detail = err.Error()
		caller.close()
		return attempt
	}
	attempt.status, attempt.stamp = response.StatusCode, response.Header.Get(headerStamp)
	if response.Close {
		caller.close()
	}
	return attempt
}

// sendAll sends requests at a fixed interval on connections that are kept, and
// waits for their ends. New connections go to the host that pick returns.
func sendAll(cluster *cluster, record *record, pick func(number int) int, interval, length time.Duration, content request) {
	var group sync.WaitGroup
	idle := make(chan *caller, 1000)
	end := time.Now().Add(length)
	for number := 0; time.Now().Before(end); number++ {
		group.Go(func() {
			var used *caller
			select {
			case used = <-idle:
			default:
				used = &caller{record: record}
			}
			if used.conn == nil {
				index := pick(number)
				if err := used.connect(index, cluster.hosts[index].caller); err != nil {
					record.refused(index, err)
					return
				}
			}
			used.do(content)
			idle <- used
		})
		time.Sleep(interval)
	}
	group.Wait()
}
