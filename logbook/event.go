package logbook

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// Fields are the inputs and the outcome of a decision.
type Fields = logrus.Fields

// Event writes one line on a decision, with its inputs as fields.
func (logbook *Logbook) Event(part, event string, fields Fields) {
	logbook.logger.WithFields(fields).WithField("part", part).Info(event)
}

// queuedLines bounds the lines that wait for a slow reader of the log.
const queuedLines = 1024

// Queue is a writer that never blocks: it drops lines when its reader is slow,
// and says how many were dropped.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewQueue returns a queue that writes to out.
func NewQueue(out io.Writer) *Queue {
	queue := &Queue{lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go queue.run(out)
	return queue
}

// Write takes one line. It implements io.Writer and never fails.
func (queue *Queue) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case queue.lines <- copied:
	default:
		queue.dropped.Add(1)
	}
	return len(line), nil
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
