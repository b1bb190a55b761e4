package command_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/command"
	"fescuehall/where"
)

// newHost starts a fake host, which explains that it has no route.
func newHost(asked func(request *http.Request)) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		asked(request)
		json.NewEncoder(writer).Encode(where.Explanation{Host: "h1", FailureDomain: "north1", Version: 7, Refusal: &where.Refusal{Status: 404, Code: "UnknownRoute", Detail: "no route in version 7"}})
	}))
}

func Example_where() {
	host := newHost(func(request *http.Request) { fmt.Println(request.Method, request.URL) })
	defer host.Close()
	command.Run([]string{"where", "--metrics", host.Listener.Addr().String(), "desk.example", "/search/a?key=secret", "--workspace", "acme"})
	// Output:
	// GET /debug/where?authority=desk.example&target=%2Fsearch%2Fa&workspace=acme
	// host h1 in north1, configuration version 7
	// refused: 404 UnknownRoute, no route in version 7
}

// run runs the command and returns its exit code and what it printed.
func run(t *testing.T, arguments ...string) (int, string) {
	file, err := os.Create(filepath.Join(t.TempDir(), "printed"))
	qt.Assert(t, err, qt.IsNil)
	defer file.Close()
	stdout, stderr := os.Stdout, os.Stderr
	defer func() { os.Stdout, os.Stderr = stdout, stderr }()
	os.Stdout, os.Stderr = file, file
	code := command.Run(append([]string{"where"}, arguments...))
	printed, err := os.ReadFile(file.Name())
	qt.Assert(t, err, qt.IsNil)
	return code, string(printed)
}

// With --json, the explanation is printed as the host sent it.
func TestWhereJSON(t *testing.T) {
	host := newHost(func(*http.Request) {})
	defer host.Close()
	code, printed := run(t, "--json", "--metrics", host.Listener.Addr().String(), "desk.example", "/search/a")
	qt.Assert(t, code, qt.Equals, command.ExitOK)
	var explanation where.Explanation
	qt.Assert(t, json.Unmarshal([]byte(printed), &explanation), qt.IsNil)
	qt.Assert(t, explanation.Refusal.Status, qt.Equals, 404)
}

// A failure is told without the path, which may hold a key.
func TestWhereFailures(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	listener.Close()
	busy := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		http.Error(writer, "another explanation is being made", http.StatusServiceUnavailable)
	}))
	defer busy.Close()
	earlier := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { io.WriteString(writer, `{"cmdline": []}`) }))
	defer earlier.Close()
	for address, want := range map[string]string{listener.Addr().String(): "refused", busy.Listener.Addr().String(): "another explanation", earlier.Listener.Addr().String(): "earlier release"} {
		code, printed := run(t, "--metrics", address, "desk.example", "/secret/a?key=secret")
		qt.Check(t, code, qt.Equals, command.ExitFailed)
		qt.Check(t, printed, qt.Contains, want)
		qt.Check(t, strings.Contains(printed, "secret"), qt.IsFalse, qt.Commentf("%s", printed))
	}
}
