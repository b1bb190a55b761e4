package caller

// headScanner finds the empty line that ends the head of a request in the bytes that
// are read from a connection.
type headScanner struct {
	// started is set after the first byte that is not part of a leading empty line.
	started bool
	// lineUsed is set when the current line is not empty.
	lineUsed bool
}

// scan reports whether the head ends in the bytes, which follow those of earlier
// calls.
func (scanner *headScanner) scan(bytes []byte) bool {
	for _, char := range bytes {
		switch char {
		case '\n':
			if scanner.started && !scanner.lineUsed {
				return true
			}
			scanner.lineUsed = false
		case '\r':
		default:
			scanner.started, scanner.lineUsed = true, true
		}
	}
	return false
}
