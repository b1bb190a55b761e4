package quota

import (
	"cmp"
	"errors"
	"fmt"
	"io"
)

// ErrExhausted is returned when too little of the quota is left for a message.
var ErrExhausted = errors.New("the memory for messages is in use")

// LimitError is the error for a message that exceeds a limit of its own.
type LimitError struct {
	// What names the part of the message, such as "head" or "body".
	What string
	// Max is the limit in bytes. Received is the number of bytes that were read,
	// or the length that the sender declared.
	Max      int64
	Received int64
}

// Error implements error.
func (err *LimitError) Error() string {
	return fmt.Sprintf("%s of at least %d bytes exceeds the limit of %d", err.What, err.Received, err.Max)
}

const initialBytes = 512

// ReadAll reads to the end of a message's part, named by what. It returns a
// *LimitError after more than limit bytes, and ErrExhausted when the bytes can't be
// reserved.
func ReadAll(reader io.Reader, what string, limit int64, reservation *Reservation) ([]byte, error) {
	var content []byte
	for {
		if len(content) == cap(content) {
			grown := cmp.Or(min(2*cap(content), int(limit)+1), initialBytes)
			if !reservation.Reserve(grown - cap(content)) {
				return nil, ErrExhausted
			}
			content = append(make([]byte, 0, grown), content...)
		}
		count, err := reader.Read(content[len(content):cap(content)])
		content = content[:len(content)+count]
		if int64(len(content)) > limit {
			return nil, &LimitError{What: what, Max: limit, Received: int64(len(content))}
		}
		if err == io.EOF {
			return content, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
