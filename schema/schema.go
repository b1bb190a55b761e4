// Package schema contains the JSON Schemas from which the Go types of messages,
// settings and the configuration are generated, and validates documents against
// them.
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

// Locations of the schemas that Check can validate a document against.
const (
	Configuration = "Configuration.json#/$defs/Configuration"
	Settings      = "Settings.json#/$defs/Settings"
	Request       = "Answer.json#/$defs/Request"
)

// Problem is one validation error of a document.
type Problem struct {
	// Path is the JSON pointer of the field.
	Path string
	// Detail describes the error and what is allowed.
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

// Check validates a document against the schema at a location, and returns all
// problems, sorted by path.
func Check(location string, content []byte) []Problem {
	compileOnce.Do(compile)
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(content))
	if err != nil {
		return []Problem{{Path: "/", Detail: fmt.Sprintf("not JSON: %v", err)}}
	}
	err = compiled[location].Validate(value)
	var invalid *jsonschema.ValidationError
	if errors.As(err, &invalid) {
		return collectProblems(invalid, value)
	}
	return nil
}

// compile compiles the schemas of all locations. It panics if an embedded
// schema is invalid.
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

// collectProblems returns the leaves of the tree of validation errors as
// problems. The value is the document.
func collectProblems(invalid *jsonschema.ValidationError, value any) []Problem {
	var problems []Problem
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
		if scalar := scalarAt(value, node.InstanceLocation); scalar != "" {
			detail = fmt.Sprintf("value %s: %s", scalar, detail)
		}
		problems = append(problems, Problem{Path: "/" + strings.Join(node.InstanceLocation, "/"), Detail: detail})
	}
	walk(invalid)
	slices.SortFunc(problems, func(a, b Problem) int { return strings.Compare(a.String(), b.String()) })
	return problems
}

// scalarAt returns the scalar at a location of a document as quoted text, or an
// empty string if there is no scalar.
func scalarAt(value any, location []string) string {
	for _, key := range location {
		switch node := value.(type) {
		case map[string]any:
			value = node[key]
		case []any:
			index := 0
			if _, err := fmt.Sscan(key, &index); err != nil || index >= len(node) {
				return ""
			}
			value = node[index]
		}
	}
	switch value.(type) {
	case map[string]any, []any, nil:
		return ""
	}
	return fmt.Sprintf("%q", fmt.Sprint(value))
}
