package exchange

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// head is the head of a response with a body of known length.
type head struct {
	status        int
	header        http.Header
	contentLength int64
}

const (
	// statusPrefix begins the status line of a plain head.
	statusPrefix = "HTTP/1.1 "
	// protocolPrefix is in each status line.
	protocolPrefix = "HTTP/1."
	headEnd        = "\r\n\r\n"
	lineEnd        = "\r\n"
	// statusDigits is the length of a status code, minStatus and maxStatus are the
	// lowest and the highest one of HTTP (RFC 9110, section 15).
	statusDigits = 3
	minStatus    = 100
	maxStatus    = 599
	// maxLengthDigits bounds the length of a plain Content-Length, so that it
	// fits into 63 bits.
	maxLengthDigits = 18
)

// readPlainHead reads the head of a response if it is in the buffer and plain:
// one Content-Length, and none of what changes the meaning of a head. It
// consumes nothing of any other head, which net/http is to read.
func readPlainHead(reader *bufio.Reader, method string) (head, bool) {
	// An error is found again by the one who reads the head.
	_, _ = reader.Peek(1)
	buffered, _ := reader.Peek(reader.Buffered())
	end := bytes.Index(buffered, []byte(headEnd))
	if end < 0 || method == http.MethodHead {
		return head{}, false
	}
	parsed, ok := parsePlainHead(string(buffered[:end]))
	if ok {
		// The bytes are in the buffer.
		_, _ = reader.Discard(end + len(headEnd))
	}
	return parsed, ok
}

// parsePlainHead parses a head without its last two line ends. It reports false
// if the head is not plain.
func parsePlainHead(text string) (head, bool) {
	statusLine, fields, _ := strings.Cut(text, lineEnd)
	status, ok := plainStatus(statusLine)
	if !ok || strings.Contains(text[len(statusPrefix):], protocolPrefix) {
		return head{}, false
	}
	header, ok := plainHeader(fields)
	if !ok {
		return head{}, false
	}
	length := header["Content-Length"]
	if len(length) == 0 || len(length[0]) > maxLengthDigits {
		return head{}, false
	}
	contentLength, err := strconv.ParseUint(length[0], 10, 63)
	if err != nil {
		return head{}, false
	}
	return head{status: status, header: header, contentLength: int64(contentLength)}, true
}

// plainStatus returns the status code of a status line. It reports false for
// the codes without a body and those that HTTP does not have, among others.
func plainStatus(line string) (int, bool) {
	rest, ok := strings.CutPrefix(line, statusPrefix)
	if !ok || len(rest) < statusDigits || len(rest) > statusDigits && rest[statusDigits] != ' ' || !isPlainValue(rest) {
		return 0, false
	}
	status, err := strconv.ParseUint(rest[:statusDigits], 10, 16)
	if err != nil || status < http.StatusOK || status > maxStatus || status == http.StatusNoContent || status == http.StatusNotModified {
		return 0, false
	}
	return int(status), true
}

// plainHeader parses the lines of a header. It reports false if one is not
// plain.
func plainHeader(fields string) (http.Header, bool) {
	count := strings.Count(fields, lineEnd) + 1
	header := make(http.Header, count)
	values := make([]string, 0, count)
	for fields != "" {
		var line string
		line, fields, _ = strings.Cut(fields, lineEnd)
		name, value, ok := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		key, plain := plainKey(name)
		if !ok || !plain || !isPlainValue(value) {
			return nil, false
		}
		if header[key] != nil || changesMeaning(key, value) {
			return nil, false
		}
		values = append(values, value)
		header[key] = values[len(values)-1 : len(values) : len(values)]
	}
	return header, true
}

// changesMeaning reports whether a field affects the length of the response,
// the reuse of its connection or other fields.
func changesMeaning(key, value string) bool {
	switch key {
	case "Connection":
		return !strings.EqualFold(value, "keep-alive")
	case "Transfer-Encoding", "Trailer", "Pragma":
		return true
	}
	return false
}

// plainKey returns the canonical form of a field's name. It reports false unless
// the name consists of letters, digits, hyphens and underscores.
func plainKey(name string) (string, bool) {
	canonical, first := true, true
	for index := range len(name) {
		char := name[index]
		lower, upper := char >= 'a' && char <= 'z', char >= 'A' && char <= 'Z'
		if !lower && !upper && strings.IndexByte("0123456789-_", char) < 0 {
			return "", false
		}
		if first && lower || !first && upper {
			canonical = false
		}
		first = char == '-'
	}
	if canonical {
		return name, name != ""
	}
	return textproto.CanonicalMIMEHeaderKey(name), true
}

// isPlainValue reports whether a value consists of printable ASCII characters
// and tabs.
func isPlainValue(value string) bool {
	for index := range len(value) {
		if char := value[index]; char != '\t' && (char < ' ' || char > '~') {
			return false
		}
	}
	return true
}
