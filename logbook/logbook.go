// Package logbook writes the log of a process. It also keeps the latest lines
// of its part loggers in memory, so that the lines about one request can be
// looked up. Events are written only.
package logbook

import (
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"
)

// maxKeptLines is the number of log lines kept in memory.
const maxKeptLines = 8192

// timeFormat includes milliseconds, so that lines of several hosts can be
// sorted by time.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Logbook is the log of one process.
type Logbook struct {
	// Host is the name of the host, which is added to events unless empty. Set it
	// before use.
	Host string

	logger *logrus.Logger
	out    io.Writer
	// json is set when events are written as JSON.
	json bool

	mu sync.Mutex
	// lines is a ring buffer once it is full.
	lines []string
	// next is the index of the oldest line once the buffer is full.
	next int
}

// New returns a logbook that writes lines of the given level and above to out.
// The lines are JSON if format is "json", otherwise text.
func New(out io.Writer, level, format string) (*Logbook, error) {
	minLevel, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	locked := &lockedWriter{out: out}
	logger.SetOutput(locked)
	logger.SetLevel(minLevel)
	if format == "json" {
		logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	}
	return &Logbook{logger: logger, out: locked, json: format == "json"}, nil
}

// PartLogger returns a log function for one part of the program, which prefixes
// each line with the part's name and keeps it in memory.
func (logbook *Logbook) PartLogger(name string) func(format string, args ...any) {
	prefix := name + ": "
	return func(format string, args ...any) {
		line := prefix + fmt.Sprintf(format, args...)
		logbook.keep(line)
		logbook.logger.Info(line)
	}
}

// keep stores a line in memory, in place of the oldest one if the buffer is
// full.
func (logbook *Logbook) keep(line string) {
	logbook.mu.Lock()
	defer logbook.mu.Unlock()
	if len(logbook.lines) < maxKeptLines {
		logbook.lines = append(logbook.lines, line)
		return
	}
	logbook.lines[logbook.next] = line
	logbook.next = (logbook.next + 1) % maxKeptLines
}

// LinesAbout returns the lines in memory that name a request, oldest first.
// They name it as "Request ID " or "request ID ".
func (logbook *Logbook) LinesAbout(requestID string) []string {
	logbook.mu.Lock()
	defer logbook.mu.Unlock()
	mention := "equest " + requestID + " "
	lines := []string{}
	for i := range logbook.lines {
		line := logbook.lines[(logbook.next+i)%len(logbook.lines)]
		if strings.Contains(line, mention) {
			lines = append(lines, line)
		}
	}
	return lines
}
