// Package schema holds the JSON Schemas that messages, settings and the
// configuration are generated from, and checks documents against them.
package schema

import (
	"bytes"
	"embed"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

//go:embed *.json
var files embed.FS

// Documents that can be checked, as schema locations.
const (
	Configuration = "Configuration.json#/$defs/Configuration"
	Settings      = "Settings.json#/$defs/Settings"
	Request       = "Answer.json#/$defs/Request"
)

// Problem is one fault of a document.
type Problem struct {
	// Path is the JSON pointer of the field.
	Path string
	// Detail says what is wrong and what is allowed.
	Detail string
}

// String returns the path and the detail.
func (problem Problem) String() string {
	return problem.Path + ": " + problem.Detail
}

var (
	compileOnce sync.Once
	compiled    map[string]*jsonschema.Schema
)

// Check returns every problem of a document, sorted by path.
func Check(location string, content []byte) []Problem {
	compileOnce.Do(compile)
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(content))
	if err != nil {
		return []Problem{{Path: "/", Detail: fmt.Sprintf("not JSON: %v", err)}}
	}
	err = compiled[location].Validate(value)
	var invalid *jsonschema.ValidationError
	if errors.As(err, &invalid) {
		return problems(invalid, value)
	}
	return nil
}

func compile() {
	compiler := jsonschema.NewCompiler()
	for _, name := range []string{"Configuration.json", "Settings.json", "Answer.json"} {
		content, err := files.ReadFile(name)
		if err != nil {
			panic(err)
		}
		document, err := jsonschema.UnmarshalJSON(bytes.NewReader(content))
		if err != nil {
			panic(err)
		}
		if err := compiler.AddResource(name, document); err != nil {
			panic(err)
		}
	}
	compiled = make(map[string]*jsonschema.Schema)
	for _, location := range []string{Configuration, Settings, Request} {
		compiled[location] = compiler.MustCompile(location)
	}
}

// problems collects the leaves of the error tree.
func problems(invalid *jsonschema.ValidationError, value any) []Problem {
	var found []Problem
	printer := message.NewPrinter(language.English)
	var walk func(*jsonschema.ValidationError)
	walk = func(node *jsonschema.ValidationError) {
		for _, cause := range node.Causes {
			walk(cause)
		}
		if len(node.Causes) > 0 {
			return
		}
		detail := node.ErrorKind.LocalizedString(printer)
		if shown := at(value, node.InstanceLocation); shown != "" {
			detail = fmt.Sprintf("value %s: %s", shown, detail)
		}
		found = append(found, Problem{Path: "/" + strings.Join(node.InstanceLocation, "/"), Detail: detail})
	}
	walk(invalid)
	slices.SortFunc(found, func(a, b Problem) int { return strings.Compare(a.String(), b.String()) })
	return found
}

// at returns the scalar at a location as text, or nothing.
func at(value any, location []string) string {
	for _, step := range location {
		switch node := value.(type) {
		case map[string]any:
			value = node[step]
		case []any:
			place := 0
			if _, err := fmt.Sscan(step, &place); err != nil || place >= len(node) {
				return ""
			}
			value = node[place]
		}
	}
	switch value.(type) {
	case map[string]any, []any, nil:
		return ""
	}
	return fmt.Sprintf("%q", fmt.Sprint(value))
}
