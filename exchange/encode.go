package exchange

import (
	"bytes"
	"fmt"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
)

// Field is a field of a header.
type Field struct {
	Name  string
	Value string
}

// Template is a request of which variants are sent, which differ in a few header
// fields only. It encodes what they share once.
type Template struct {
	Request *Request

	shared atomic.Pointer[sharedHead]
}

// sharedHead is the encoded head of a request without some of its fields, up to
// the blank line.
type sharedHead struct {
	omitted []string
	encoded []byte
}

// With returns the request of the template with other header fields in place of
// those of the same names, which are canonical. They are sent, but not added to
// the Header of the request.
func (template *Template) With(fields ...Field) *Request {
	request := *template.Request
	request.template, request.replaced = template, fields
	return &request
}

// sharedHead returns the head of the template's request without some fields.
func (template *Template) sharedHead(omitted []Field) []byte {
	sameName := func(name string, field Field) bool { return name == field.Name }
	shared := template.shared.Load()
	if shared == nil || !slices.EqualFunc(shared.omitted, omitted, sameName) {
		shared = &sharedHead{encoded: template.Request.encodeHead(omitted)}
		for _, field := range omitted {
			shared.omitted = append(shared.omitted, field.Name)
		}
		template.shared.Store(shared)
	}
	return shared.encoded
}

// encode returns the request in the wire format of HTTP/1.1.
func (request *Request) encode() []byte {
	var head []byte
	if request.template != nil {
		head = request.template.sharedHead(request.replaced)
	} else {
		head = request.encodeHead(nil)
	}
	const fieldBytes = 64
	encoded := make([]byte, 0, len(head)+len(request.replaced)*fieldBytes+len(lineEnd)+len(request.Body))
	encoded = append(encoded, head...)
	for _, field := range request.replaced {
		encoded = append(encoded, field.Name...)
		encoded = append(encoded, ": "...)
		encoded = append(encoded, textproto.TrimString(newlineToSpace.Replace(field.Value))...)
		encoded = append(encoded, lineEnd...)
	}
	encoded = append(encoded, lineEnd...)
	return append(encoded, request.Body...)
}

// newlineToSpace keeps a value within its line.
var newlineToSpace = strings.NewReplacer("\n", " ", "\r", " ")

// encodeHead returns the head of the request without some fields and without the
// blank line.
func (request *Request) encodeHead(omitted []Field) []byte {
	var buffer bytes.Buffer
	fmt.Fprintf(&buffer, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.Target, request.Host)
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + lineEnd)
	}
	exclude := make(map[string]bool, len(omitted))
	for _, field := range omitted {
		exclude[field.Name] = true
	}
	// WriteSubset returns only errors of the buffer, which never fails.
	_ = request.Header.WriteSubset(&buffer, exclude)
	return buffer.Bytes()
}
