package logbook

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Fields are the inputs and the outcome of a decision, by name.
type Fields = logrus.Fields

// Event logs a decision of one part of the program, with its inputs and outcome
// as fields.
func (logbook *Logbook) Event(part, event string, fields Fields) {
	if !logbook.logger.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	if !logbook.json {
		logbook.eventText(part, event, fields)
		return
	}
	all := make([]field, 0, usualFields)
	for name, value := range fields {
		if name != "part" && (name != "host" || logbook.Host == "") {
			all = append(all, newField(name, value))
		}
	}
	all = append(all, field{"level", "info"}, field{"msg", event}, field{"time", time.Now().Format(timeFormat)}, field{"part", part})
	if logbook.Host != "" {
		all = append(all, field{"host", logbook.Host})
	}
	// A failed write of the log can't be logged itself; Queue counts them.
	_, _ = logbook.out.Write(appendLine(make([]byte, 0, usualLineBytes), all))
}

// eventText logs an event as a line of text.
func (logbook *Logbook) eventText(part, event string, fields Fields) {
	line := logbook.logger.WithFields(fields).WithField("part", part)
	if logbook.Host != "" {
		line = line.WithField("host", logbook.Host)
	}
	line.Info(event)
}

// usualFields is the number of fields of most lines.
const usualFields = 24

// usualLineBytes is enough for most lines.
const usualLineBytes = 512

const (
	// maxQueuedLines limits the lines that wait while the log's output is slow.
	maxQueuedLines = 1024
	// maxLinesPerSecond limits the lines written in a second, at about 300 bytes
	// each. It is several times what a host writes at its design load, which is
	// 202 requests a second and the bundles of shard requests from its peers.
	maxLinesPerSecond = 2000
)

// Queue is a writer that never blocks. It drops lines when the output is slow
// or when there are too many in one second, and logs how many it dropped.
type Queue struct {
	// Now returns the current time; set it before the first line is written.
	Now func() time.Time

	lines chan []byte
	// dropped counts the lines dropped since the count was last logged.
	dropped atomic.Int64
	// done is closed when all lines are written after Close.
	done chan struct{}

	mu sync.Mutex
	// windowStart is the start of the one-second window of the line limit.
	windowStart time.Time
	// windowLines counts the lines in the window, dropped ones included.
	windowLines int
	closed      bool
}

// NewQueue returns a queue that writes to out in the background.
func NewQueue(out io.Writer) *Queue {
	queue := &Queue{Now: time.Now, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go queue.run(out)
	return queue
}

// Write queues or drops one line. It implements io.Writer and never fails. Lines that
// are written after Close are dropped.
func (queue *Queue) Write(line []byte) (int, error) {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	if queue.closed || !queue.allow() {
		queue.dropped.Add(1)
		return len(line), nil
	}
	select {
	case queue.lines <- append([]byte(nil), line...):
	default:
		queue.dropped.Add(1)
	}
	return len(line), nil
}

// allow counts a line and reports whether it is within the limit of lines per
// second. The caller holds the lock.
func (queue *Queue) allow() bool {
	if now := queue.Now(); now.Sub(queue.windowStart) >= time.Second {
		queue.windowStart, queue.windowLines = now, 0
	}
	queue.windowLines++
	return queue.windowLines <= maxLinesPerSecond
}

// Dropped returns the number of lines dropped since the last log line that
// reported dropped lines.
func (queue *Queue) Dropped() int64 {
	return queue.dropped.Load()
}

// Close writes the queued lines and stops the queue.
func (queue *Queue) Close() {
	queue.mu.Lock()
	queue.closed = true
	close(queue.lines)
	queue.mu.Unlock()
	<-queue.done
}

// maxBatchBytes limits the lines that are written at once, unless a single one is
// longer.
const maxBatchBytes = 16 << 10

// run writes queued lines to out until Close, those that wait at once.
func (queue *Queue) run(out io.Writer) {
	defer close(queue.done)
	var batch []byte
	for line := range queue.lines {
		batch = queue.appendWaiting(append(batch[:0], line...))
		if _, err := out.Write(batch); err != nil {
			// A failed write of the log can't be logged itself; its lines are counted as
			// dropped.
			queue.dropped.Add(int64(bytes.Count(batch, []byte("\n"))))
		}
		queue.reportDropped(out)
	}
}

// reportDropped logs how many lines were dropped since the last report, if any.
func (queue *Queue) reportDropped(out io.Writer) {
	dropped := queue.dropped.Swap(0)
	if dropped == 0 {
		return
	}
	if _, err := fmt.Fprintf(out, "{\"part\":\"log\",\"msg\":\"lines dropped\",\"count\":%d}\n", dropped); err != nil {
		queue.dropped.Add(dropped)
	}
}

// appendWaiting appends queued lines to a batch, without waiting for more.
func (queue *Queue) appendWaiting(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line, ok := <-queue.lines:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
