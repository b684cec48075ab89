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
		"blank in a name":                "HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + end,
		"blank after a name":             "HTTP/1.1 200 OK\r\nX-Odd : 1\r\n" + end,
		"tab after a name":               "HTTP/1.1 200 OK\r\nX-Odd\t: 1\r\n" + end,
		"control byte in a name":         "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n" + end,
		"zero byte in a name":            "HTTP/1.1 200 OK\r\nX\x00Odd: 1\r\n" + end,
		"carriage return in a name":      "HTTP/1.1 200 OK\r\nX\rOdd: 1\r\n" + end,
		"delete in a name":               "HTTP/1.1 200 OK\r\nX\x7fOdd: 1\r\n" + end,
		"control byte in a length":       "HTTP/1.1 200 OK\r\nContent-Length\x01: 4\r\n\r\ndone",
		"no name":                        "HTTP/1.1 200 OK\r\n: 1\r\n" + end,
		"no colon":                       "HTTP/1.1 200 OK\r\nX-Odd\r\n" + end,
		"blank before the first name":    "HTTP/1.1 200 OK\r\n X-Odd: 1\r\n" + end,
		"blank after a length":           "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\ndone and more",
		"blank after a failure's length": "HTTP/1.1 404 Not Found\r\nContent-Length : 4\r\n\r\ndone and more",
		"blank in a length":              "HTTP/1.1 200 OK\r\nContent Length: 4\r\n\r\ndone",
		"blank after an encoding":        "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
		"blank in informational":         "HTTP/1.1 103 Early Hints\r\nX-Odd : 1\r\n\r\nHTTP/1.1 200 OK\r\n" + end,
		"blank in a name, bare lines":    "HTTP/1.1 200 OK\nX Odd: 1\nContent-Length: 4\n\ndone",
	} {
		t.Run(name, func(t *testing.T) {
			_, verdict, err := startExchange(t, startServer(t, response, false))
			qt.Check(t, err, qt.IsNotNil)
			qt.Check(t, verdict, qt.Equals, railverdict.MayHaveRun)
		})
	}
}
