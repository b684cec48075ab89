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

// Guards against a field that is passed on with a name that is none, and against a body that ends where a field with such a name says, since fasthttp
// keeps blanks within a name and drops those after it.
func TestFieldsMustHaveValidNames(t *testing.T) {
	for line, valid := range map[string]bool{
		"X-Odd: 1": true,
		"X-Odd:":   true,
		"x:y:z":    true,
		"!#$%&'*+-.^_`|~09azAZ: every sign of a token": true,
		"X-Odd: first\r\n second:\r\n\tthird":          true,
		"X-Odd: \x80\t":                                true,
		"X Odd: 1":                                     false,
		"X-Odd : 1":                                    false,
		"X-Odd\t: 1":                                   false,
		"X\x01Odd: 1":                                  false,
		"X\x00Odd: 1":                                  false,
		"X\x7fOdd: 1":                                  false,
		"X\rOdd: 1":                                    false,
		"X\x80Odd: 1":                                  false,
		"X(Odd): 1":                                    false,
		"X/Odd: 1":                                     false,
		"\"X-Odd\": 1":                                 false,
		": 1":                                          false,
		"X-Odd":                                        false,
		"X-Odd 1":                                      false,
		"Content Length: 0":                            false,
		"Content-Type : a":                             false,
		"Transfer-Encoding : a":                        false,
		"X-Odd: 1\r\nX Odd: 1":                         false,
		"X Odd: 1\nX-Odd: 1":                           false,
		"X-Odd: 1\r\n a\r\nX : b":                      false,
	} {
		t.Run(line, func(t *testing.T) {
			header := []byte("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 0\r\n\r\nX Odd: in the body")
			header = header[:railframing.HeaderSize(header)]
			if valid {
				qt.Check(t, railframing.Check(header), qt.IsNil)
				return
			}
			qt.Check(t, railframing.Check(header), qt.ErrorIs, railframing.ErrInvalidName)
		})
	}
}
