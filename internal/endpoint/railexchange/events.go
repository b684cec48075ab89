package railexchange

import (
	"bufio"
	"bytes"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
)

// maxEventBytes is the maximum size of an event, and of what may come between two events with a field.
const maxEventBytes = 256 << 10

var (
	errNoEvent = errors.New("bytes in the stream are no event")
	// fieldNames are the fields that may have no value, and hence no colon.
	fieldNames = []string{"data", "event", "id", "retry"}
)

// Events reads a stream of server-sent events. It returns only complete events.
type Events struct {
	reader *bufio.Reader
	// emptyBytes is the number of bytes since the last event that had a field.
	emptyBytes int
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
// within an event, and an error for an event over maxEventBytes or for bytes that are no event.
func (s *Events) Next() (Event, error) {
	var e Event
	hasField := false
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
			return e, s.countEmpty(e, hasField)
		}
		if !isField(line) {
			return Event{}, errNoEvent
		}
		hasField = hasField || line[0] != ':'
	}
}

// countEmpty returns an error if comments and blank lines come without end in place of events.
func (s *Events) countEmpty(e Event, hasField bool) error {
	if hasField {
		s.emptyBytes = 0
		return nil
	}
	s.emptyBytes += len(e.Raw)
	if s.emptyBytes > maxEventBytes {
		return errors.Newf("over %d bytes without an event", maxEventBytes)
	}
	return nil
}

// isField reports whether a line is a comment or a field of an event: a name that may be followed by a colon and a value. An engine whose
// stream breaks off may write an error's header or text in place of the next event.
func isField(line []byte) bool {
	name, _, hasValue := bytes.Cut(line, []byte(":"))
	if !hasValue {
		return slices.Contains(fieldNames, string(name))
	}
	for _, b := range name {
		isLetter := 'a' <= b|0x20 && b|0x20 <= 'z'
		isDigit := '0' <= b && b <= '9'
		if !isLetter && !isDigit && b != '-' && b != '_' {
			return false
		}
	}
	return true
}
