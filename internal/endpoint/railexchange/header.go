package railexchange

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railframing"
)

const (
	// headerTimeout limits the time from the first byte of a response's header to its last.
	headerTimeout = 2 * time.Second
	// maxInformational is the maximum number of informational responses before the final one.
	maxInformational = 16
	protocolPrefix   = "HTTP/1."
)

var errAmbiguousHeader = errors.New("the header is not clear on where it ends")

// readHeader reads the header of the final response and skips informational ones.
func (e *Exchange) readHeader() error {
	for range maxInformational + 1 {
		if err := e.readNextHeader(); err != nil {
			return err
		}
		switch code := e.Header.StatusCode(); {
		case code >= fasthttp.StatusOK:
			return nil
		case code == fasthttp.StatusSwitchingProtocols:
			return errors.Newf("unexpected status %d", code)
		}
	}
	return errors.Newf("over %d informational responses", maxInformational)
}

// readNextHeader waits for a response and reads its header, which must be complete within headerTimeout.
func (e *Exchange) readNextHeader() error {
	if _, err := e.reader.Peek(1); err != nil {
		return err
	}
	_ = e.conn.SetReadDeadline(time.Now().Add(headerTimeout)) // Fails only on a closed connection, which the next read reports.
	defer func() { _ = e.conn.SetReadDeadline(time.Time{}) }()
	if err := e.peekProtocol(); err != nil {
		return err
	}
	raw, err := e.peekHeader()
	if err != nil {
		return err
	}
	if err := railframing.Check(raw); err != nil {
		return err
	}
	buffered, size := e.reader.Buffered(), len(raw)
	if err := e.Header.Read(e.reader); err != nil {
		return err
	}
	if buffered-e.reader.Buffered() != size {
		return errAmbiguousHeader
	}
	return nil
}

// peekProtocol returns an error as soon as the next bytes can't be the beginning of a response.
func (e *Exchange) peekProtocol() error {
	for n := 1; n <= len(protocolPrefix); n++ {
		b, err := e.reader.Peek(n)
		if err != nil {
			return err
		}
		if b[n-1] != protocolPrefix[n-1] {
			return errors.Newf("a response can't begin with %q", b)
		}
	}
	return nil
}

// peekHeader returns the bytes of the next response's header with its blank line, which remain to be read.
func (e *Exchange) peekHeader() ([]byte, error) {
	for {
		b, err := e.reader.Peek(e.reader.Buffered())
		if err != nil {
			return nil, err
		}
		if size := railframing.HeaderSize(b); size > 0 {
			return b[:size], nil
		}
		if _, err := e.reader.Peek(len(b) + 1); err != nil {
			return nil, err
		}
	}
}
