// Package journal writes the log and keeps the latest decision lines, so that
// the way of a request can be explained.
package journal

import (
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"
)

// keptLines is how many decision lines are kept in memory.
const keptLines = 8192

// Journal is the log of one process.
type Journal struct {
	logger *logrus.Logger

	mu    sync.Mutex
	lines []string
	next  int
}

// New returns a journal that writes lines of at least the given level, as text
// or JSON.
func New(out io.Writer, level, format string) (*Journal, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(parsed)
	if format == "json" {
		logger.SetFormatter(&logrus.JSONFormatter{})
	}
	return &Journal{logger: logger}, nil
}

// Part returns the function that logs for one part of the program, with the
// part's name as prefix.
func (journal *Journal) Part(name string) func(format string, args ...any) {
	prefix := name + ": "
	return func(format string, args ...any) {
		line := prefix + fmt.Sprintf(format, args...)
		journal.keep(line)
		journal.logger.Info(line)
	}
}

func (journal *Journal) keep(line string) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	if len(journal.lines) < keptLines {
		journal.lines = append(journal.lines, line)
		return
	}
	journal.lines[journal.next] = line
	journal.next = (journal.next + 1) % keptLines
}

// About returns the kept lines that name a request, oldest first.
func (journal *Journal) About(requestID string) []string {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	wanted := "equest " + requestID + " "
	found := []string{}
	for place := range journal.lines {
		line := journal.lines[(journal.next+place)%len(journal.lines)]
		if strings.Contains(line, wanted) {
			found = append(found, line)
		}
	}
	return found
}
