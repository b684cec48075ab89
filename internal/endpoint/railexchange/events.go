package railexchange

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

const maxEventBytes = 1 << 20

// Events reads a stream of server-sent events. It returns only complete events.
type Events struct {
	reader *bufio.Reader
}

// Event is a server-sent event. Raw holds its bytes as received, including the terminating blank line.
type Event struct {
	ID  string
	Raw []byte
}

// NewEvents returns a reader for the events of a response body.
func NewEvents(body io.Reader) *Events {
	return &Events{reader: bufio.NewReaderSize(body, bufferBytes)}
}

// Next returns the next complete event. It returns io.EOF at the end of a complete response, ErrTruncated if the response ends
// within an event, and an error for an event over maxEventBytes.
func (s *Events) Next() (Event, error) {
	var e Event
	lineStart := 0 // Offset of the current line in e.Raw.
	for {
		fragment, err := s.reader.ReadSlice('\n')
		e.Raw = append(e.Raw, fragment...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(e.Raw) <= maxEventBytes:
			continue
		case errors.Is(err, io.EOF) && len(e.Raw) > 0:
			return Event{}, errors.Wrap(ErrTruncated, "an event is cut off")
		case err != nil:
			return Event{}, err
		case len(e.Raw) > maxEventBytes:
			return Event{}, errors.Newf("an event is over %d bytes", maxEventBytes)
		}
		line := bytes.TrimRight(e.Raw[lineStart:], "\r\n")
		lineStart = len(e.Raw)
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.ID = string(bytes.TrimSpace(id))
		}
		if len(line) == 0 {
			return e, nil
		}
	}
}
