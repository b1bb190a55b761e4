package logbook

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Fields are the inputs and the outcome of a decision.
type Fields = logrus.Fields

// Event writes one line on a decision, with its inputs as fields.
func (logbook *Logbook) Event(part, event string, fields Fields) {
	line := logbook.logger.WithFields(fields).WithField("part", part)
	if logbook.Host != "" {
		line = line.WithField("host", logbook.Host)
	}
	line.Info(event)
}

const (
	// queuedLines bounds the lines that wait for a slow reader of the log.
	queuedLines = 1024
	// mostLines is the most lines a second, at about 300 bytes each: several times
	// what a host answers at the size to design for, 202 requests a second and the
	// bundles of its peers.
	mostLines = 2000
)

// Queue is a writer that never blocks: it drops lines when its reader is slow, or
// when there are too many in a second, and says how many were dropped.
type Queue struct {
	// Now is the clock; set it before the first line.
	Now func() time.Time

	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.Mutex
	second time.Time
	count  int
}

// NewQueue returns a queue that writes to out.
func NewQueue(out io.Writer) *Queue {
	queue := &Queue{Now: time.Now, lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go queue.run(out)
	return queue
}

// Write takes one line. It implements io.Writer and never fails.
func (queue *Queue) Write(line []byte) (int, error) {
	if !queue.admit() {
		queue.dropped.Add(1)
		return len(line), nil
	}
	copied := append([]byte(nil), line...)
	select {
	case queue.lines <- copied:
	default:
		queue.dropped.Add(1)
	}
	return len(line), nil
}

// admit reports whether a line is within the most lines of this second.
func (queue *Queue) admit() bool {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	if now := queue.Now(); now.Sub(queue.second) >= time.Second {
		queue.second, queue.count = now, 0
	}
	queue.count++
	return queue.count <= mostLines
}

// Dropped returns the number of lines dropped and not yet told of.
func (queue *Queue) Dropped() int64 {
	return queue.dropped.Load()
}

// Close writes what is queued. Nothing may be written afterwards.
func (queue *Queue) Close() {
	close(queue.lines)
	<-queue.done
}

func (queue *Queue) run(out io.Writer) {
	defer close(queue.done)
	for line := range queue.lines {
		if dropped := queue.dropped.Swap(0); dropped > 0 {
			fmt.Fprintf(out, "{\"part\":\"log\",\"msg\":\"lines dropped\",\"count\":%d}\n", dropped)
		}
		if _, err := out.Write(line); err != nil {
			// There is nowhere left to tell of a log that can't be written.
			queue.dropped.Add(1)
		}
	}
}
