package railexchange

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

const maxEventBytes = 1 << 20

// Events reads a stream of events; only whole events are returned.
type Events struct {
	reader *bufio.Reader
}

// Event is one event as it came, with the blank line that ends it.
type Event struct {
	ID  string
	Raw []byte
}

// NewEvents returns the events of an answer's body.
func NewEvents(body io.Reader) *Events {
	return &Events{reader: bufio.NewReaderSize(body, bufferBytes)}
}

// Next returns the next whole event, io.EOF at the end of a whole answer, or ErrTruncated.
func (s *Events) Next() (Event, error) {
	var e Event
	begin := 0 // Where the line that is being read begins in e.Raw.
	for {
		part, err := s.reader.ReadSlice('\n')
		e.Raw = append(e.Raw, part...)
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
		line := bytes.TrimRight(e.Raw[begin:], "\r\n")
		begin = len(e.Raw)
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.ID = string(bytes.TrimSpace(id))
		}
		if len(line) == 0 {
			return e, nil
		}
	}
}
