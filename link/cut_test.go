package link_test

import (
	"context"
	"fmt"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/frame"
	"fescuehall/link"
	"fescuehall/verdict"
)

// Guards against a part of a peer's reply that is taken for a reply.
func TestRepliesCutAtEachByte(t *testing.T) {
	reply := func(request frame.Frame, body string) []byte {
		encoded, err := frame.Frame{Type: frame.GatherReply, Correlation: request.Correlation, Body: []byte(body)}.Append(nil)
		qt.Check(t, err, qt.IsNil)
		return encoded
	}
	first, second := len(reply(frame.Frame{}, "first")), len(reply(frame.Frame{}, "second"))
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprint("reset ", reset), func(t *testing.T) {
			for length := range first + second + 1 {
				listener := listen(t)
				go func() {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					defer conn.Close()
					request, err := frame.Read(conn)
					if err != nil {
						return
					}
					conn.Write(append(reply(request, "first"), reply(request, "second")...)[:length])
					if reset {
						conn.(*net.TCPConn).SetLinger(0)
					}
				}()
				var want []string
				if length >= first {
					want = append(want, "first")
				}
				if length == first+second {
					want = append(want, "second")
				}
				client := &link.Client{Address: listener.Addr().String()}
				var got []string
				err := client.Stream(context.Background(), frame.GatherRequest, nil, func(reply frame.Frame) bool {
					got = append(got, string(reply.Body))
					return len(got) < 2
				})
				client.Close()
				comment := qt.Commentf("%d bytes were sent", length)
				qt.Assert(t, got, qt.DeepEquals, want, comment)
				if len(want) == 2 {
					qt.Assert(t, err, qt.IsNil, comment)
					continue
				}
				qt.Assert(t, verdict.FailureOf(err).Verdict, qt.Equals, verdict.MayHaveRun, comment)
				qt.Assert(t, verdict.FailureOf(err).Code, qt.Equals, verdict.ConnectionLost, comment)
			}
		})
	}
}
