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

// blockedWriter is a log output that blocks until it is released.
type blockedWriter struct {
	released chan bool
	written  bytes.Buffer
}

func (writer *blockedWriter) Write(line []byte) (int, error) {
	<-writer.released
	return writer.written.Write(line)
}

// When the log's output blocks, writes to the queue don't; the dropped lines
// are counted and the count is logged.
func TestQueueNeverBlocks(t *testing.T) {
	writer := &blockedWriter{released: make(chan bool)}
	queue := logbook.NewQueue(writer)
	log, err := logbook.New(queue, "info", "json")
	qt.Assert(t, err, qt.IsNil)
	const lines = 5000
	for i := range lines {
		log.Event("request", "answered", logbook.Fields{"number": i})
	}
	dropped := queue.Dropped()
	qt.Assert(t, dropped > 0, qt.IsTrue)
	close(writer.released)
	queue.Close()
	writtenLines := strings.Split(strings.TrimSpace(writer.written.String()), "\n")
	qt.Assert(t, len(writtenLines), qt.Equals, lines-int(dropped)+1)
	reports := 0
	for _, line := range writtenLines {
		var fields map[string]any
		qt.Assert(t, json.Unmarshal([]byte(line), &fields), qt.IsNil, qt.Commentf("%s", line))
		if fields["msg"] == "lines dropped" {
			reports++
			qt.Assert(t, fields["count"], qt.Equals, float64(dropped))
		}
	}
	qt.Assert(t, reports, qt.Equals, 1)
}

// Lines above the limit for one second are dropped and counted, also when the
// output is fast.
func TestLineRateIsLimited(t *testing.T) {
	now := time.Unix(1000, 0)
	var output bytes.Buffer
	queue := logbook.NewQueue(&output)
	queue.Now = func() time.Time { return now }
	const lines, maxKept = 5000, 2000
	for range lines {
		_, err := queue.Write([]byte("{}\n"))
		qt.Assert(t, err, qt.IsNil)
	}
	now = now.Add(time.Second)
	_, err := queue.Write([]byte("{\"next\":1}\n"))
	qt.Assert(t, err, qt.IsNil)
	queue.Close()
	kept, dropped := 0, queue.Dropped()
	for line := range strings.Lines(output.String()) {
		var fields struct{ Count int64 }
		qt.Assert(t, json.Unmarshal([]byte(line), &fields), qt.IsNil)
		dropped += fields.Count
		if line == "{}\n" {
			kept++
		}
	}
	qt.Assert(t, kept <= maxKept, qt.IsTrue)
	qt.Assert(t, kept+int(dropped) >= lines, qt.IsTrue, qt.Commentf("%d kept, %d dropped", kept, dropped))
}

// Guards against a request whose answer is lost because it is logged while the process
// ends: a line that is written after Close is dropped.
func TestWriteAfterClose(t *testing.T) {
	var written bytes.Buffer
	queue := logbook.NewQueue(&written)
	_, err := queue.Write([]byte("first\n"))
	qt.Assert(t, err, qt.IsNil)
	queue.Close()
	_, err = queue.Write([]byte("late\n"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, written.String(), qt.Equals, "first\n")
	qt.Assert(t, queue.Dropped(), qt.Equals, int64(1))
}
