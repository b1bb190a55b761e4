package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// slots is how many requests a server runs at a time.
const slots = 4

// server is a stand-in for a replica of a service.
type server struct {
	id, service, zone string
	address           string
	born              int64
	work              time.Duration
	record            *record
	listener          net.Listener
	slots             chan struct{}

	mu      sync.Mutex
	conns   map[net.Conn]bool
	stopped bool
	running int
}

// startServer starts a server at a free port of an address.
func startServer(record *record, ip, id, service, zone string, work time.Duration) *server {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	check(err)
	server := &server{id: id, service: service, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(), work: work, record: record, listener: listener, slots: make(chan struct{}, slots), conns: make(map[net.Conn]bool)}
	httpServer := &http.Server{Handler: server, ConnState: func(conn net.Conn, state http.ConnState) {
		server.mu.Lock()
		defer server.mu.Unlock()
		switch {
		case state == http.StateClosed:
			delete(server.conns, conn)
		case server.stopped:
			conn.Close()
		default:
			server.conns[conn] = true
		}
	}}
	go httpServer.Serve(listener)
	return server
}

// entry is what the server writes into the store about itself.
func (server *server) entry() map[string]any {
	return map[string]any{"backend": server.service, "address": server.address, "zone": server.zone, "version": "v1", "slots": slots, "state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": server.born}
}

// exit ends the server, as the end of its process does.
func (server *server) exit() {
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

// ServeHTTP runs a request. A request that expects another server is rejected.
func (server *server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Fescuehall-Request-Id")
	if id != "" {
		writer.Header().Set("X-Fescuehall-Request-Id", id)
	}
	if request.URL.Path == "/healthz" {
		writer.Header().Set("X-Fescuehall-Instance-Id", server.id)
		return
	}
	if expected := request.Header.Get("X-Fescuehall-Expect-Instance"); expected != "" && expected != server.id {
		writer.Header().Set("X-Fescuehall-Instance-Id", server.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	server.record.arrive(id, server)
	io.Copy(io.Discard, request.Body)
	server.slots <- struct{}{}
	defer func() { <-server.slots }()
	server.record.note("%s runs at %s", id, server.id)
	time.Sleep(server.work)
	if server.isStopped() {
		server.record.cut(id, server)
		panic(http.ErrAbortHandler)
	}
	body := []byte(fmt.Sprintf("answer of %s to %s", server.id, id))
	writer.Header().Set("X-Fescuehall-Response-Stamp", server.id+"."+id)
	writer.Header().Set("X-Fescuehall-Server-Load", fmt.Sprintf("%d,0,%d", len(server.slots)-1, slots))
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.Write(body)
	server.record.ran(id, server)
}
