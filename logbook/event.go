package logbook

import (
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
	line := logbook.logger.WithFields(fields).WithField("part", part)
	if logbook.Host != "" {
		line = line.WithField("host", logbook.Host)
	}
	line.Info(event)
}

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

// run writes queued lines to out until Close.
func (queue *Queue) run(out io.Writer) {
	defer close(queue.done)
	for line := range queue.lines {
		if dropped := queue.dropped.Swap(0); dropped > 0 {
			fmt.Fprintf(out, "{\"part\":\"log\",\"msg\":\"lines dropped\",\"count\":%d}\n", dropped)
		}
		if _, err := out.Write(line); err != nil {
			// A failed write of the log can't be logged itself; it is counted as a
			// dropped line.
			queue.dropped.Add(1)
		}
	}
}
