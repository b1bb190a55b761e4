package story_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/story"
)

// localLog is the log of h1, the host that received the request.
const localLog = `line without JSON
   0.1 h1 {"host":"h1","msg":"start","part":"host","time":"2026-01-01T10:00:00.000Z"}
{"host":"h1","msg":"in force","part":"config","source":"peer","time":"2026-01-01T10:00:01.000Z","version":7}
{"error":"status 503","host":"h1","msg":"lost","part":"replicas","time":"2026-01-01T10:00:02.000Z"}
{"host":"h1","msg":"gone","part":"roster","replica":"i-9","service":"s3","time":"2026-01-01T10:00:02.500Z"}
{"host":"h1","late_ms":400,"msg":"late","name":"i-4","part":"suspect","time":"2026-01-01T10:00:02.600Z"}
{"host":"h1","id":"abc","msg":"peer failed","part":"request","peer":"h2","shards":8,"took_ms":349,"verdict":"MayHaveRun","detail":"cancelled","time":"2026-01-01T10:00:03.100Z"}
{"host":"h1","id":"abc","msg":"failed","part":"request","code":"Cancelled","verdict":"Ran","detail":"11 of 20 parts answered, 18 needed","in":11,"parts":20,"took_ms":350,"hedges":1,"retries":0,"cut":false,"missing":"s3: no replica accepts requests","peer_h2":"0 of 8 answered","time":"2026-01-01T10:00:03.100Z"}
{"host":"h1","msg":"paused","part":"host","paused_ms":3500,"time":"2026-01-01T10:00:04.000Z"}
{"host":"h1","id":"late","msg":"stopping","part":"request","time":"2026-01-01T10:00:04.400Z"}
{"host":"h1","id":"late","msg":"unservable","part":"request","time":"2026-01-01T10:00:04.500Z"}
{"host":"h1","id":"other","msg":"answered","part":"request","time":"2026-01-01T10:00:03.200Z"}
`

// peerLog is the log of h2, a peer that answered a part of the request. Its
// lines don't name the host.
const peerLog = `{"msg":"answered a peer","part":"request","id":"abc","in":5,"parts":8,"took_ms":176,"hedges":2,"retries":0,"cut":true,"time":"2026-01-01T10:00:03.000Z"}
`

// The decisions of all hosts are listed in order of time, each with the state
// of its host.
func ExampleExplain() {
	lines, skipped, err := story.Read(strings.NewReader(localLog), "h1")
	if err != nil {
		panic(err)
	}
	fmt.Println("skipped", skipped)
	peerLines, _, err := story.Read(strings.NewReader(peerLog), "h2")
	if err != nil {
		panic(err)
	}
	lines = append(lines, peerLines...)
	story.Sort(lines)
	for _, line := range story.Explain(lines, "abc") {
		fmt.Println(line)
	}
	// Output:
	// skipped 1
	// 10:00:03.000 h2: answered a peer: 5 of 8 parts answered after 176 ms, 2 hedges, 0 retries, partial answer at the latency target
	// 10:00:03.100 h1: request to host h2 for 8 shards failed after 349 ms, MayHaveRun: cancelled
	//     version 7 from the peer, activated 2.1 s earlier
	//     dependency replicas lost 1.1 s earlier
	//     1 replicas and hosts with consecutive late replies recently: i-4
	// 10:00:03.100 h1: failed, Cancelled (Ran): 11 of 20 parts answered, 18 needed; 11 of 20 parts answered after 350 ms, 1 hedges, 0 retries; host h2: 0 of 8 answered; missing s3: no replica accepts requests
	//     version 7 from the peer, activated 2.1 s earlier
	//     dependency replicas lost 1.1 s earlier
	//     replica i-9 of s3: gone 0.6 s earlier
	//     1 replicas and hosts with consecutive late replies recently: i-4
}

// A pause of the host is mentioned with the requests that follow.
func TestExplainAfterAPause(t *testing.T) {
	lines, _, err := story.Read(strings.NewReader(localLog), "h1")
	qt.Assert(t, err, qt.IsNil)
	story.Sort(lines)
	explained := strings.Join(story.Explain(lines, "late"), "\n")
	qt.Assert(t, explained, qt.Contains, "h1: refused as not run: too few of its shards had a replica")
	qt.Assert(t, explained, qt.Contains, "h1: refused as not run: this host was stopping")
	qt.Assert(t, explained, qt.Contains, "was paused for 3.5 s until 0.5 s earlier")
}

// A request that no line mentions gives no output.
func TestUnknownRequest(t *testing.T) {
	lines, _, err := story.Read(strings.NewReader(localLog), "h1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, story.Explain(lines, "nobody"), qt.HasLen, 0)
}
