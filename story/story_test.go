package story_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuehall/story"
)

const near = `noise that is no JSON
   0.1 h1 {"host":"h1","msg":"start","part":"host","time":"2026-01-01T10:00:00.000Z"}
{"host":"h1","msg":"in force","part":"config","source":"peer","time":"2026-01-01T10:00:01.000Z","version":7}
{"error":"status 503","host":"h1","msg":"lost","part":"replicas","time":"2026-01-01T10:00:02.000Z"}
{"host":"h1","msg":"gone","part":"roster","replica":"i-9","service":"s3","time":"2026-01-01T10:00:02.500Z"}
{"host":"h1","late_ms":400,"msg":"late","name":"i-4","part":"suspect","time":"2026-01-01T10:00:02.600Z"}
{"host":"h1","id":"abc","msg":"peer failed","part":"request","peer":"h2","shards":8,"took_ms":349,"verdict":"MayHaveRun","detail":"withdrawn","time":"2026-01-01T10:00:03.100Z"}
{"host":"h1","id":"abc","msg":"failed","part":"request","code":"Cancelled","verdict":"Ran","detail":"11 of 20 parts in, 18 needed","in":11,"parts":20,"took_ms":350,"hedges":1,"retries":0,"cut":false,"missing":"s3: no replica takes work","peer_h2":"0 of 8 in","time":"2026-01-01T10:00:03.100Z"}
{"host":"h1","id":"other","msg":"answered","part":"request","time":"2026-01-01T10:00:03.200Z"}
`

const far = `{"msg":"answered a peer","part":"request","id":"abc","in":5,"parts":8,"took_ms":176,"hedges":2,"retries":0,"cut":true,"time":"2026-01-01T10:00:03.000Z"}
`

// The lines of all hosts are told in the order of time, each with what its host
// believed.
func ExampleTell() {
	lines, skipped, err := story.Read(strings.NewReader(near), "h1")
	if err != nil {
		panic(err)
	}
	fmt.Println("passed over", skipped)
	more, _, err := story.Read(strings.NewReader(far), "h2")
	if err != nil {
		panic(err)
	}
	lines = append(lines, more...)
	story.Sort(lines)
	for _, line := range story.Tell(lines, "abc") {
		fmt.Println(line)
	}
	// Output:
	// passed over 1
	// 10:00:03.000 h2: answered a peer: 5 of 8 parts in after 176 ms, 2 hedges, 0 retries, cut at the target
	// 10:00:03.100 h1: host h2 failed with 8 shards after 349 ms, MayHaveRun: withdrawn
	//     version 7, in force from the peer 2.1 s before
	//     replicas lost 1.1 s before
	//     1 replicas and hosts late in a row lately: i-4
	// 10:00:03.100 h1: failed, Cancelled (Ran): 11 of 20 parts in, 18 needed; 11 of 20 parts in after 350 ms, 1 hedges, 0 retries; host h2: 0 of 8 in; missing s3: no replica takes work
	//     version 7, in force from the peer 2.1 s before
	//     replicas lost 1.1 s before
	//     replica i-9 of s3: gone 0.6 s before
	//     1 replicas and hosts late in a row lately: i-4
}

// A request that no line names has no story.
func TestUnknownRequest(t *testing.T) {
	lines, _, err := story.Read(strings.NewReader(near), "h1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, story.Tell(lines, "nobody"), qt.HasLen, 0)
}
