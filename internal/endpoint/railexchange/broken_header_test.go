package railexchange_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
)

// Guards against a response with a broken header that counts as one, and tells whether its request has run.
func TestBrokenHeaderIsNoResponse(t *testing.T) {
	const end = "Content-Length: 4\r\n\r\ndone"
	for name, response := range map[string]string{
		"status 000":                     "HTTP/1.1 000 OK\r\n" + end,
		"status 000 in an older version": "HTTP/1.0 000 OK\r\n" + end,
		"status 000 without a length":    "HTTP/1.1 000 OK\r\n\r\ndone",
		"status 000 in chunks":           "HTTP/1.1 000 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
		"status 000 without a reason":    "HTTP/1.1 000\r\n" + end,
		"status 000 after two blanks":    "HTTP/1.1  000 OK\r\n" + end,
		"status 000 before another":      "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\n" + end,
		"status 000 after informational": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n" + end,
		"status 042":                     "HTTP/1.1 042 Text\r\n" + end,
		"status 999":                     "HTTP/1.1 999 Text\r\n" + end,
		"four digits":                    "HTTP/1.1 2000 OK\r\n" + end,
		"blank line first":               "\r\nHTTP/1.1 200 OK\r\n" + end,
	} {
		t.Run(name, func(t *testing.T) {
			_, verdict, err := startExchange(t, startServer(t, response, false))
			qt.Check(t, err, qt.IsNotNil)
			qt.Check(t, verdict, qt.Equals, railverdict.MayHaveRun)
		})
	}
}
