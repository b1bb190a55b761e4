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

// countingListener counts connections, closes those over the server's limit and
// delays the first read of each accepted one by the server's ConnectionCost.
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
		if !listener.server.admitConnection() {
			conn.Close()
			continue
		}
		return &delayedConn{Conn: conn, server: listener.server}, nil
	}
}

// admitConnection counts a new connection. It reports false when the server
// already has as many open connections as its limit allows.
func (server *Server) admitConnection() bool {
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

func (server *Server) releaseConnection() {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.record.OpenNow--
}

// delayedConn delays the first read.
type delayedConn struct {
	net.Conn
	server    *Server
	firstRead sync.Once
	closeOnce sync.Once
}

// Read implements net.Conn.
func (conn *delayedConn) Read(buf []byte) (int, error) {
	conn.firstRead.Do(func() { time.Sleep(conn.server.ConnectionCost) })
	return conn.Conn.Read(buf)
}

// Close implements net.Conn.
func (conn *delayedConn) Close() error {
	conn.closeOnce.Do(conn.server.releaseConnection)
	return conn.Conn.Close()
}

// writeTwice answers one request with two copies of the response. It hijacks
// the connection because net/http writes only one response for each request.
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
