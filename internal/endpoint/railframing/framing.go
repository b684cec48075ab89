package railframing

import (
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

const (
	statusDigits = 3
	minStatus    = 100
	maxStatus    = 599
)

var (
	// ErrInvalidStatus means that a header does not begin with a status line that states one of the valid statuses, 100 to 599. fasthttp would
	// return 200 for the status 000.
	ErrInvalidStatus = errors.New("the header states no valid status")
	// ErrInvalidName means that a line of a header does not begin with a field's name, which is a token, and a colon. fasthttp would trim or keep
	// a name's blanks.
	ErrInvalidName = errors.New("the header has a field without a valid name")
	// ErrUnclearEnd means that a header contradicts itself on where the body ends. fasthttp would follow one of its statements.
	ErrUnclearEnd = errors.New("the header is not clear on where the body ends")
)

// HeaderSize returns the size of the header at the start of b with its blank line, or 0 if it is not complete.
func HeaderSize(b []byte) int {
	size := 0
	for line := range bytes.Lines(b) {
		size += len(line)
		if isBlank(line) {
			return size
		}
	}
	return 0
}

// Status returns the status that a header states, or 0 if it states no valid one.
func Status(header []byte) int {
	line, _, _ := bytes.Cut(header, []byte("\n"))
	_, rest, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(" "))
	text, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	code, err := strconv.ParseUint(string(text), 10, 0)
	if err != nil || len(text) != statusDigits || code < minStatus || code > maxStatus {
		return 0
	}
	return int(code)
}

// Check returns an error unless a header states a valid status, all its fields have valid names, and it says clearly where the body ends: it has
// either a length or an encoding or neither, and an encoding only in a protocol that has them.
func Check(header []byte) error {
	if Status(header) == 0 {
		return ErrInvalidStatus
	}
	_, fields, _ := bytes.Cut(header, []byte("\n"))
	hasLength, hasEncoding := false, false
	for line := range bytes.Lines(fields) {
		if isBlank(line) {
			break
		}
		if isContinuation(line) {
			continue
		}
		name, _, found := bytes.Cut(line, []byte(":"))
		if !found || !isToken(name) {
			return ErrInvalidName
		}
		hasLength = hasLength || bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength))
		hasEncoding = hasEncoding || bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding))
	}
	if hasEncoding && (hasLength || !bytes.HasPrefix(header, []byte("HTTP/1.1 "))) {
		return ErrUnclearEnd
	}
	return nil
}

// isBlank reports whether a line with its end is empty, as the one that ends a header.
func isBlank(line []byte) bool {
	return len(bytes.TrimRight(line, "\r\n")) == 0 && line[len(line)-1] == '\n'
}

// isContinuation reports whether a line continues the value of the line before, to which fasthttp joins it.
func isContinuation(line []byte) bool {
	return line[0] == ' ' || line[0] == '\t'
}

func isToken(name []byte) bool {
	for _, b := range name {
		if !httpguts.IsTokenRune(rune(b)) {
			return false
		}
	}
	return len(name) > 0
}
