package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/exchange"
)

// maxWait is how long a test waits for what happens at once.
const maxWait = 20 * time.Second

// Load: a workspace has six requests waiting for the only connection to a server when
// another one sends its first. That does not wait behind all six.
func TestWorkspacesTakeTurnsForAConnection(t *testing.T) {
	var order []string
	release := make(chan struct{})
	address := startServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			order = append(order, request.Header.Get("Id"))
			<-release
			io.WriteString(conn, response(request.Header.Get("Id"), ""))
		}
	})
	pool := pool()
	var group sync.WaitGroup
	send := func(workspace string, number, waiting int) {
		group.Go(func() {
			destination := exchange.Destination{Address: address, MaxOpen: 1, Workspace: workspace}
			_, err := pool.Do(context.Background(), destination, func() (*exchange.Request, error) { return request(fmt.Sprint(workspace, number)), nil })
			qt.Check(t, err, qt.IsNil)
		})
		for deadline := time.Now().Add(maxWait); pool.Waiting()[workspace] != waiting; {
			qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
			time.Sleep(time.Millisecond)
		}
	}
	const hot = 7
	for number := range hot {
		send("hot", number, number)
	}
	send("small", 0, 1)
	close(release)
	group.Wait()
	qt.Assert(t, order, qt.HasLen, hot+1)
	qt.Assert(t, slices.Index(order, "small0") <= 2, qt.IsTrue, qt.Commentf("%v", order))
	qt.Assert(t, pool.Waiting(), qt.HasLen, 0)
}
