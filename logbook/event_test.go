package logbook_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/logbook"
)

// gate is a reader of the log that stands still until it is opened.
type gate struct {
	opened chan bool
	read   bytes.Buffer
}

func (gate *gate) Write(line []byte) (int, error) {
	<-gate.opened
	return gate.read.Write(line)
}

// A log that nobody reads blocks no one; the lines dropped are counted and told
// of.
func TestQueueNeverBlocks(t *testing.T) {
	gate := &gate{opened: make(chan bool)}
	queue := logbook.NewQueue(gate)
	log, err := logbook.New(queue, "info", "json")
	qt.Assert(t, err, qt.IsNil)
	const lines = 5000
	for number := range lines {
		log.Event("request", "answered", logbook.Fields{"number": number})
	}
	dropped := queue.Dropped()
	qt.Assert(t, dropped > 0, qt.IsTrue)
	close(gate.opened)
	queue.Close()
	written := strings.Split(strings.TrimSpace(gate.read.String()), "\n")
	qt.Assert(t, len(written), qt.Equals, lines-int(dropped)+1)
	counts := 0
	for _, line := range written {
		var fields map[string]any
		qt.Assert(t, json.Unmarshal([]byte(line), &fields), qt.IsNil, qt.Commentf("%s", line))
		if fields["msg"] == "lines dropped" {
			counts++
			qt.Assert(t, fields["count"], qt.Equals, float64(dropped))
		}
	}
	qt.Assert(t, counts, qt.Equals, 1)
}

// More lines in a second than the bound are dropped and told of, whoever reads.
func TestLinesAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	var read bytes.Buffer
	queue := logbook.NewQueue(&read)
	queue.Now = func() time.Time { return now }
	const lines, most = 5000, 2000
	for range lines {
		_, err := queue.Write([]byte("{}\n"))
		qt.Assert(t, err, qt.IsNil)
	}
	now = now.Add(time.Second)
	_, err := queue.Write([]byte("{\"next\":1}\n"))
	qt.Assert(t, err, qt.IsNil)
	queue.Close()
	kept, told := 0, queue.Dropped()
	for line := range strings.Lines(read.String()) {
		var fields struct{ Count int64 }
		qt.Assert(t, json.Unmarshal([]byte(line), &fields), qt.IsNil)
		told += fields.Count
		if line == "{}\n" {
			kept++
		}
	}
	qt.Assert(t, kept <= most, qt.IsTrue)
	qt.Assert(t, kept+int(told) >= lines, qt.IsTrue, qt.Commentf("%d kept, %d told of", kept, told))
}
