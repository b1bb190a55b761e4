// Package story tells what became of one request, from the log lines of several
// hosts: their decisions in the order of time, and what each host believed then.
package story

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	Time    time.Time
	Host    string
	Part    string
	Message string
	// Fields are the inputs and the outcome, as JSON decodes them.
	Fields map[string]any
}

// Read reads a log. What stands before the JSON of a line is passed over, and so
// are lines without JSON; skipped counts these. Lines that name no host get the
// given one.
func Read(reader io.Reader, host string) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, err := parse(scanner.Bytes(), host)
		if err != nil {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}

func parse(raw []byte, host string) (Line, error) {
	begin := bytes.IndexByte(raw, '{')
	if begin < 0 {
		return Line{}, fmt.Errorf("line %q has no JSON", raw)
	}
	var fields map[string]any
	if err := json.Unmarshal(raw[begin:], &fields); err != nil {
		return Line{}, err
	}
	line := Line{Host: cmp.Or(text(fields["host"]), host), Part: text(fields["part"]), Message: text(fields["msg"]), Fields: fields}
	at, err := time.Parse(time.RFC3339Nano, text(fields["time"]))
	if err != nil {
		return Line{}, err
	}
	line.Time = at
	return line, nil
}

// text returns a field that is text, empty for others.
func text(field any) string {
	value, _ := field.(string)
	return value
}

// Sort orders lines by time; those of one host keep their order.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// about reports whether a line is of a request. A line without structure names
// it in its text.
func (line Line) about(id string) bool {
	return text(line.Fields["id"]) == id || strings.Contains(line.Message, "equest "+id+" ")
}
