package store_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/store"
)

// cutServer reads one request on each connection, sends a part of a reply and ends the
// connection.
type cutServer struct {
	address string

	mu       sync.Mutex
	part     string
	reset    bool
	requests int
}

func newCutServer(t *testing.T) *cutServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { listener.Close() })
	server := &cutServer{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.serve(conn.(*net.TCPConn))
		}
	}()
	return server
}

func (server *cutServer) set(part string, reset bool) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.part, server.reset, server.requests = part, reset, 0
}

func (server *cutServer) received() int {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.requests
}

func (server *cutServer) serve(conn *net.TCPConn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	// Bytes that are left unread would make every close a reset.
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	server.mu.Lock()
	part, reset := server.part, server.reset
	server.requests++
	server.mu.Unlock()
	io.WriteString(conn, part)
	if reset {
		conn.SetLinger(0)
	}
}

// headEnd ends a head.
const headEnd = "\r\n\r\n"

// cutCase is a call of which the reply is cut.
type cutCase struct {
	name   string
	call   func(client *store.Client) (string, error)
	status int
	// err is the error of the whole reply, want its result.
	err  error
	want string
	// answer is the end of the part that answers the call, whatever follows it in the
	// reply. It is empty if the whole reply is needed.
	answer string
}

// check checks what the call returned.
func (cutCase *cutCase) check(t *testing.T, answered bool, got string, err error, comment qt.Comment) {
	switch {
	case !answered:
		qt.Assert(t, err, qt.IsNotNil, comment)
		qt.Assert(t, errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrConflict), qt.IsFalse, comment)
	case cutCase.err != nil:
		qt.Assert(t, err, qt.ErrorIs, cutCase.err, comment)
	default:
		qt.Assert(t, err, qt.IsNil, comment)
		qt.Assert(t, got, qt.Equals, cutCase.want, comment)
	}
}

// Guards against a part of the store's reply that is taken for a shorter value or list,
// a missing key or a conflict, and against a write that is sent again.
func TestReplyCutAtEachByte(t *testing.T) {
	ctx := context.Background()
	get := func(client *store.Client) (string, error) {
		value, err := client.Get(ctx, "k")
		return fmt.Sprint(string(value.Content), value.Revision), err
	}
	put := func(client *store.Client) (string, error) {
		revision, err := client.Put(ctx, "k", []byte("x"), 1, 0)
		return fmt.Sprint(revision), err
	}
	hosts := func(client *store.Client) (string, error) {
		list, err := store.ReadHosts(ctx, client.HTTP, client.BaseURL)
		return fmt.Sprint(list.Hosts), err
	}
	const body = `{"Hosts":[{"Name":"h1"},{"Name":"h2"}]}`
	for _, test := range []cutCase{
		{name: "value", call: get, status: 200, want: body + "12"},
		{name: "host list", call: hosts, status: 200, want: "[{h1    } {h2    }]", answer: body},
		{name: "no such key", call: get, status: 404, err: store.ErrNotFound, answer: headEnd},
		{name: "write", call: put, status: 200, want: "12", answer: headEnd},
		{name: "conflict", call: put, status: 409, err: store.ErrConflict, answer: headEnd},
	} {
		head := fmt.Sprintf("HTTP/1.1 %d Status\r\nRevision: 12\r\n", test.status)
		for _, reply := range []string{
			fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body),
			fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body),
		} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprint(test.name, ", reset ", reset), func(t *testing.T) {
					t.Parallel()
					server := newCutServer(t)
					client := &store.Client{BaseURL: "http://" + server.address, HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
					for length := range len(reply) + 1 {
						part := reply[:length]
						server.set(part, reset)
						got, err := test.call(client)
						answered := length == len(reply) || test.answer != "" && strings.Contains(part, test.answer)
						comment := qt.Commentf("the server sent %q, the call returned %q, %v", part, got, err)
						test.check(t, answered, got, err, comment)
						qt.Assert(t, server.received(), qt.Equals, 1, comment)
					}
				})
			}
		}
	}
}
