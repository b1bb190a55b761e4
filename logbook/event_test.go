package logbook_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

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
