// Package story explains how one request was handled, from the logs of several
// hosts. It lists the hosts' decisions in order of time, each with the state of
// its host at that time.
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

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// Line is one decoded line of a log.
type Line struct {
	Time    time.Time
	Host    string
	Part    string
	Message string
	// Fields are all fields of the line, as decoded from JSON.
	Fields map[string]any
}

// Read reads a log. It ignores any text in front of the JSON object of a line.
// Lines without a JSON object or a valid time are skipped and counted. Lines
// that name no host get the given one.
func Read(reader io.Reader, host string) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, err := parseLine(scanner.Bytes(), host)
		if err != nil {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}

func parseLine(raw []byte, host string) (Line, error) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, fmt.Errorf("line %q has no JSON object", raw)
	}
	var fields map[string]any
	if err := json.Unmarshal(raw[start:], &fields); err != nil {
		return Line{}, err
	}
	line := Line{Host: cmp.Or(stringField(fields["host"]), host), Part: stringField(fields["part"]), Message: stringField(fields["msg"]), Fields: fields}
	timestamp, err := time.Parse(time.RFC3339Nano, stringField(fields["time"]))
	if err != nil {
		return Line{}, err
	}
	line.Time = timestamp
	return line, nil
}

// stringField returns a field that is a string, and "" for any other.
func stringField(field any) string {
	value, _ := field.(string)
	return value
}

// Sort sorts lines by time. Lines with the same time keep their order.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// mentions reports whether a line is about a request. Events name the request
// in their field id, other log lines in their message.
func (line Line) mentions(id string) bool {
	return stringField(line.Fields["id"]) == id || strings.Contains(line.Message, "equest "+id+" ")
}
