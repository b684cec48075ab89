package railframing

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// HeaderSize returns the size of the header at the start of b with its blank line, or 0 if it is not complete.
func HeaderSize(b []byte) int {
	size := 0
	for line := range bytes.Lines(b) {
		size += len(line)
		if len(bytes.TrimRight(line, "\r\n")) == 0 && line[len(line)-1] == '\n' {
			return size
		}
	}
	return 0
}

// HasClearEnd reports whether a header has either a length or an encoding or neither, and an encoding only in a protocol that has them.
func HasClearEnd(header []byte) bool {
	hasLength, hasEncoding := false, false
	for line := range bytes.Lines(header) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		name = bytes.TrimSpace(name)
		hasLength = hasLength || bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength))
		hasEncoding = hasEncoding || bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding))
	}
	return !hasEncoding || !hasLength && bytes.HasPrefix(header, []byte("HTTP/1.1 "))
}
