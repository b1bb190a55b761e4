// Package logbook writes the log and keeps the latest decision lines, so that
// the way of a request can be explained.
package logbook

import (
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"
)

// keptLines is how many decision lines are kept in memory.
const keptLines = 8192

// timeFormat tells milliseconds, which order the lines of several hosts.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Logbook is the log of one process.
type Logbook struct {
	// Host is named in the lines of events; set it before use.
	Host string

	logger *logrus.Logger

	mu    sync.Mutex
	lines []string
	next  int
}

// New returns a logbook that writes lines of at least the given level, as text
// or JSON.
func New(out io.Writer, level, format string) (*Logbook, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(parsed)
	if format == "json" {
		logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	}
	return &Logbook{logger: logger}, nil
}

// Part returns the function that logs for one part of the program, with the
// part's name as prefix.
func (logbook *Logbook) Part(name string) func(format string, args ...any) {
	prefix := name + ": "
	return func(format string, args ...any) {
		line := prefix + fmt.Sprintf(format, args...)
		logbook.keep(line)
		logbook.logger.Info(line)
	}
}

func (logbook *Logbook) keep(line string) {
	logbook.mu.Lock()
	defer logbook.mu.Unlock()
	if len(logbook.lines) < keptLines {
		logbook.lines = append(logbook.lines, line)
		return
	}
	logbook.lines[logbook.next] = line
	logbook.next = (logbook.next + 1) % keptLines
}

// About returns the kept lines that name a request, oldest first.
func (logbook *Logbook) About(requestID string) []string {
	logbook.mu.Lock()
	defer logbook.mu.Unlock()
	wanted := "equest " + requestID + " "
	found := []string{}
	for place := range logbook.lines {
		line := logbook.lines[(logbook.next+place)%len(logbook.lines)]
		if strings.Contains(line, wanted) {
			found = append(found, line)
		}
	}
	return found
}
