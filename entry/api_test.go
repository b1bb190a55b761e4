package entry_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/answer"
	"fescuehall/entry"
	"fescuehall/fleet"
	"fescuehall/patch"
	"fescuehall/service"
	"fescuehall/standin"
	"fescuehall/verdict"
)

func startFleet(t *testing.T) *fleet.Fleet {
	fleet, err := fleet.Start(fleet.Layout{
		Domains: []string{"Kochi"},
		Hosts:   1,
		Ranks:   []service.Rank{{Name: "Urgent", SharePercent: 10}},
		Services: map[string]fleet.ServiceLayout{"Desk": {Shards: 2, Replicas: 1, Slots: 2, Connections: 4, Model: standin.Model{RecordRequests: true}, Kinds: []service.Kind{
			{Name: "Lookup", Rank: "Urgent", DeadlineMillis: 500, Idempotent: true, MinCoveragePercent: 100},
			{Name: "Seal", Rank: "Urgent", DeadlineMillis: 500},
			{Name: "Pull", Rank: "Urgent", DeadlineMillis: 60_000, Idempotent: true, MinCoveragePercent: 100},
		}}},
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(fleet.Close)
	return fleet
}

func post(t *testing.T, url, body string) (int, string) {
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	return response.StatusCode, string(content)
}

// An invalid query is refused with a failure code and without running, and the
// next valid query succeeds.
func TestInvalidQueryIsRefused(t *testing.T) {
	fleet := startFleet(t)
	host := fleet.Hosts[0]
	tests := []struct {
		name   string
		body   string
		status int
		code   verdict.Code
		detail string
	}{
		{name: "broken JSON", body: `{"Service": `, status: 400, code: verdict.BadRequest, detail: "not JSON"},
		{name: "empty body", status: 400, code: verdict.BadRequest, detail: "not JSON"},
		{name: "unknown field", body: `{"Service": "Desk", "Kind": "Lookup", "Color": 1}`, status: 400, code: verdict.BadRequest, detail: "Color"},
		{name: "wrong type", body: `{"Service": "Desk", "Kind": 7}`, status: 400, code: verdict.BadRequest, detail: "/Kind"},
		{name: "limit too large", body: `{"Service": "Desk", "Kind": "Lookup", "Limit": 100000}`, status: 400, code: verdict.BadRequest, detail: "/Limit"},
		{name: "negative deadline", body: `{"Service": "Desk", "Kind": "Lookup", "DeadlineMillis": -5}`, status: 400, code: verdict.BadRequest, detail: "/DeadlineMillis"},
		{name: "deadline too short", body: `{"Service": "Desk", "Kind": "Lookup", "DeadlineMillis": 1}`, status: 504, code: verdict.DeadlinePassed},
		{name: "unknown service", body: `{"Service": "Nowhere", "Kind": "Lookup"}`, status: 404, code: verdict.UnknownService, detail: "Nowhere"},
		{name: "unknown kind", body: `{"Service": "Desk", "Kind": "Dance"}`, status: 404, code: verdict.UnknownKind, detail: "Dance"},
		{name: "seal without key", body: `{"Service": "Desk", "Kind": "Seal"}`, status: 400, code: verdict.BadRequest, detail: "needs a Key"},
		{name: "body over the limit", body: `{"Text": "` + strings.Repeat("x", 70_000) + `"}`, status: 400, code: verdict.BadRequest, detail: "too large"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			status, body := post(t, host.URL+"/v1/query", test.body)
			got := &answer.Answer{}
			qt.Assert(t, json.Unmarshal([]byte(body), got), qt.IsNil, qt.Commentf("%s", body))
			qt.Assert(t, got.Code, qt.Equals, string(test.code), qt.Commentf("%s", body))
			qt.Assert(t, status, qt.Equals, test.status)
			qt.Assert(t, got.Verdict, qt.Equals, verdict.NotRun.String())
			qt.Assert(t, strings.Contains(got.Detail, test.detail), qt.IsTrue, qt.Commentf("%s", got.Detail))
			validAnswer, err := host.Query(answer.Request{Service: "Desk", Kind: "Lookup", Limit: 3})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, validAnswer.ShardsCovered, qt.Equals, 2)
		})
	}
}

// A request whose ID is already in flight fails with DuplicateRequest, and the
// first request still gets its answer.
func TestDuplicateInFlightIsRefused(t *testing.T) {
	fleet := startFleet(t)
	host := fleet.Hosts[0]
	for _, server := range fleet.Servers {
		server.SetFault(standin.ServerFault{Freeze: true})
	}
	firstAnswer := make(chan *answer.Answer)
	request := answer.Request{RequestID: "same", Service: "Desk", Kind: "Pull"}
	go func() {
		got, _ := host.Query(request)
		firstAnswer <- got
	}()
	qt.Assert(t, fleet.Await(func() bool {
		var status entry.Status
		return host.Get("/v1/status", &status) == nil && len(status.Loads) == 1 && status.Loads[0].InFlight[0] == 1
	}), qt.IsNil)
	second, err := host.Query(request)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, second.Code, qt.Equals, string(verdict.DuplicateRequest))
	qt.Assert(t, second.Verdict, qt.Equals, verdict.MayHaveRun.String())
	for _, server := range fleet.Servers {
		server.SetFault(standin.ServerFault{})
	}
	qt.Assert(t, (<-firstAnswer).ShardsCovered, qt.Equals, 2)
}

// Connections that send nothing, part of a request or malformed data to either
// TCP port, and malformed datagrams, do not affect other requests.
func TestMalformedTrafficIsHarmless(t *testing.T) {
	fleet := startFleet(t)
	host := fleet.Hosts[0]
	for _, address := range []string{host.Settings.CallerAddress, host.Settings.PeerAddress} {
		for _, data := range []string{"", "POST /v1/query HTTP/1.1\r\nContent-Le", "\x00\x00\x00\x05\x01\x01", "\xff\xff\xff\xff\xff\xff"} {
			conn, err := net.Dial("tcp", address)
			qt.Assert(t, err, qt.IsNil)
			defer conn.Close()
			io.WriteString(conn, data)
		}
	}
	socket, err := net.Dial("udp", host.Settings.PeerAddress)
	qt.Assert(t, err, qt.IsNil)
	defer socket.Close()
	socket.Write(bytes.Repeat([]byte{0xff}, 3000))
	got, err := host.Query(answer.Request{Service: "Desk", Kind: "Lookup", Limit: 3})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.ShardsCovered, qt.Equals, 2)
}

func TestInvalidPatchIsRefused(t *testing.T) {
	fleet := startFleet(t)
	tests := []struct {
		name   string
		body   string
		status int
		detail string
	}{
		{name: "broken JSON", body: `{`, status: 400, detail: "unexpected EOF"},
		{name: "missing PatchId", body: `{"Against": 1, "Merge": {}}`, status: 400, detail: "patch has no PatchId"},
		{name: "unknown field", body: `{"PatchId": "x", "Aginst": 1}`, status: 400, detail: "Aginst"},
		{name: "removed service part", body: `{"PatchId": "x", "Against": 1, "Merge": {"Services": {"Desk": {"Kinds": null}}}}`, status: 409, detail: "problems"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			status, body := post(t, fleet.Hosts[0].URL+"/v1/patch", test.body)
			var reply patch.Reply
			qt.Assert(t, json.Unmarshal([]byte(body), &reply), qt.IsNil)
			qt.Assert(t, reply.Outcome, qt.Equals, patch.Refused)
			qt.Assert(t, status, qt.Equals, test.status)
			qt.Assert(t, strings.Contains(reply.Detail, test.detail), qt.IsTrue, qt.Commentf("%s", body))
		})
	}
}

func TestExplainReturnsLogLines(t *testing.T) {
	fleet := startFleet(t)
	_, err := fleet.Hosts[0].Query(answer.Request{RequestID: "traced", Service: "Desk", Kind: "Lookup"})
	qt.Assert(t, err, qt.IsNil)
	var lines []string
	qt.Assert(t, fleet.Hosts[0].Get("/v1/explain/traced", &lines), qt.IsNil)
	qt.Assert(t, lines, qt.HasLen, 1)
	qt.Assert(t, lines[0], qt.Matches, `query: Request traced of Desk/Lookup at rank Urgent: Ran in .* 2 of 2 shards, fronted by host-1:2, slowest shard .*`)
}
