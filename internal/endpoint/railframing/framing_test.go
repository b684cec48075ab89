package railframing_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railframing"
)

// Guards against a response that counts as a success, since fasthttp takes the status 000 for 200.
func TestStatusLineMustStateAValidStatus(t *testing.T) {
	for line, status := range map[string]int{
		"HTTP/1.1 200 OK":                     200,
		"HTTP/1.1 200":                        200,
		"HTTP/1.1 200 ":                       200,
		"HTTP/1.0 404 Not Found":              404,
		"HTTP/1.1 599 Text with 000":          599,
		"HTTP/1.1 100 Continue":               100,
		"HTTP/1.1  200 two blanks":            200, // RFC 9112, section 4, allows this.
		"HTTP/1.1 200 \x01 in the reason":     200, // The reason phrase is not forwarded.
		"HTTP/1.1 000 OK":                     0,
		"HTTP/1.1 000":                        0,
		"HTTP/1.1 099 Text":                   0,
		"HTTP/1.1 600 Text":                   0, // RFC 9110, section 15: statuses are in the range of 100 to 599.
		"HTTP/1.1 999 Text":                   0,
		"HTTP/1.1 20 OK":                      0,
		"HTTP/1.1 2000 OK":                    0,
		"HTTP/1.1 +20 OK":                     0,
		"HTTP/1.1 20x OK":                     0,
		"HTTP/1.1 OK":                         0,
		"HTTP/1.1":                            0,
		"":                                    0,
		"HTTP/1.1 000 OK\r\nHTTP/1.1 200 OK:": 0,
	} {
		t.Run(line, func(t *testing.T) {
			header := []byte(line + "\r\nContent-Length: 0\r\n\r\n")
			qt.Check(t, railframing.Status(header), qt.Equals, status)
			if status == 0 {
				qt.Check(t, railframing.Check(header), qt.ErrorIs, railframing.ErrInvalidStatus)
				return
			}
			qt.Check(t, railframing.Check(header), qt.IsNil)
		})
	}
}
