package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"fescuehall/backend"
)

// countingListener counts connections, closes those over the limit and makes
// each new one cost time.
type countingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (listener *countingListener) Accept() (net.Conn, error) {
	for {
		conn, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !listener.server.opened() {
			conn.Close()
			continue
		}
		return &costlyConn{Conn: conn, server: listener.server}, nil
	}
}

func (server *Server) opened() bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.Connections > 0 && server.record.OpenNow >= int64(server.Connections) {
		return false
	}
	server.record.Connections++
	server.record.OpenNow++
	server.record.MostOpen = max(server.record.MostOpen, server.record.OpenNow)
	return true
}

func (server *Server) closed() {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.record.OpenNow--
}

// costlyConn delays the first read.
type costlyConn struct {
	net.Conn
	server *Server
	first  sync.Once
	last   sync.Once
}

// Read implements net.Conn.
func (conn *costlyConn) Read(buf []byte) (int, error) {
	conn.first.Do(func() { time.Sleep(conn.server.ConnectionCost) })
	return conn.Conn.Read(buf)
}

// Close implements net.Conn.
func (conn *costlyConn) Close() error {
	conn.last.Do(conn.server.closed)
	return conn.Conn.Close()
}

// writeTwice answers one request with two copies of the reply.
func writeTwice(writer http.ResponseWriter, found *backend.Found) {
	body, err := json.Marshal(found)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	conn, buffered, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	for range 2 {
		fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	buffered.Flush()
}
