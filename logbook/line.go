package logbook

import (
	"encoding/json"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// lockedWriter is a writer for several goroutines.
type lockedWriter struct {
	mu  sync.Mutex
	out io.Writer
}

// Write implements io.Writer.
func (writer *lockedWriter) Write(line []byte) (int, error) {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	return writer.out.Write(line)
}

// field is a field of a line.
type field struct {
	name  string
	value any
}

// clashPrefix is added to the names of fields that the logbook sets itself.
const clashPrefix = "fields."

// newField returns a field of an event, under another name if the logbook sets
// one of its name.
func newField(name string, value any) field {
	switch name {
	case "level", "msg", "time":
		name = clashPrefix + name
	}
	return field{name, value}
}

// appendLine appends fields as a line of JSON, in the order of their names.
func appendLine(line []byte, fields []field) []byte {
	slices.SortFunc(fields, func(a, b field) int { return strings.Compare(a.name, b.name) })
	separator := byte('{')
	for _, field := range fields {
		line = appendString(append(line, separator), field.name)
		line = appendValue(append(line, ':'), field.value)
		separator = ','
	}
	return append(line, '}', '\n')
}

// appendValue appends a value as encoding/json encodes it, an error as its
// text.
func appendValue(line []byte, value any) []byte {
	switch value := value.(type) {
	case string:
		return appendString(line, value)
	case error:
		return appendString(line, value.Error())
	case bool:
		return strconv.AppendBool(line, value)
	case int:
		return strconv.AppendInt(line, int64(value), 10)
	case int64:
		return strconv.AppendInt(line, value, 10)
	case uint64:
		return strconv.AppendUint(line, value, 10)
	case float64:
		// The range in which encoding/json uses no exponent.
		if size := math.Abs(value); value == 0 || size >= 1e-6 && size < 1e21 {
			return strconv.AppendFloat(line, value, 'f', -1, 64)
		}
	}
	return appendEncoded(line, value)
}

// appendString appends a string in quotes.
func appendString(line []byte, text string) []byte {
	for index := range len(text) {
		char := text[index]
		if char < ' ' || char > '~' || char == '"' || char == '\\' || char == '<' || char == '>' || char == '&' {
			return appendEncoded(line, text)
		}
	}
	line = append(line, '"')
	line = append(line, text...)
	return append(line, '"')
}

func appendEncoded(line []byte, value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		return appendString(line, "not encoded: "+err.Error())
	}
	return append(line, encoded...)
}
