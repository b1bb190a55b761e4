// Package setting reads and validates the settings of an entry host.
package setting

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"fescuehall/schema"
)

// Error lists every problem of a settings file.
type Error struct {
	File     string
	Problems []schema.Problem
}

// Error returns the problems, one on each line.
func (err *Error) Error() string {
	lines := []string{fmt.Sprintf("settings file %q has %d problems:", err.File, len(err.Problems))}
	for _, problem := range err.Problems {
		lines = append(lines, "  "+problem.String())
	}
	return strings.Join(lines, "\n")
}

// Load reads and validates a settings file. The error is an *Error if the
// content is invalid.
func Load(file string) (*Settings, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	settings, problems := Parse(content)
	if len(problems) > 0 {
		return nil, &Error{File: file, Problems: problems}
	}
	return settings, nil
}

// Parse validates settings and sets the defaults of missing fields.
func Parse(content []byte) (*Settings, []schema.Problem) {
	if problems := schema.Check(schema.Settings, content); len(problems) > 0 {
		return nil, problems
	}
	settings := defaults()
	if err := json.Unmarshal(content, settings); err != nil {
		return nil, []schema.Problem{{Path: "/", Detail: err.Error()}}
	}
	if settings.CallerAddress == settings.PeerAddress {
		return nil, []schema.Problem{{Path: "/PeerAddress", Detail: fmt.Sprintf("value %q is the same as CallerAddress", settings.PeerAddress)}}
	}
	return settings, nil
}

func defaults() *Settings {
	return &Settings{
		MaxBodyBytes: 65536,
		Log:          &Log{Level: LogLevelInfo, Format: LogFormatText},
		Stop:         &Stop{BalancerLagMillis: 5000, MaxMillis: 30000},
	}
}
