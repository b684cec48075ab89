package railgateway_test

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	idLine   = idHeader + ": id-1\r\n"
	sealLine = sealHeader + ": seal\r\n"
	// reportLines is all that an engine can say of itself.
	reportLines = leavingHeader + ": 1\r\n" + limitHeader + ": 0.5\r\n" + retryAfterHeader + ": 40\r\n"
	doneLines   = "Content-Length: 4\r\n\r\ndone"
)

// brokenHeaders are responses whose header is none in the protocol. They state all that could make a proxy act on them.
var brokenHeaders = map[string]string{
	"status 000":                     "HTTP/1.1 000 OK\r\n" + idLine + sealLine + reportLines + doneLines,
	"status 000, not run":            "HTTP/1.1 000 OK\r\n" + idLine + notRunHeader + ": 1\r\n" + reportLines + doneLines,
	"status 000 without a length":    "HTTP/1.1 000 OK\r\n" + idLine + sealLine + reportLines + "\r\nid: 1\ndata: x\n\n",
	"status 000 in events":           "HTTP/1.1 000 OK\r\n" + idLine + sealLine + reportLines + "Content-Type: text/event-stream\r\nContent-Length: 15\r\n\r\nid: 1\ndata: x\n\n",
	"status 000 after informational": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n" + idLine + sealLine + reportLines + doneLines,
	"status 042":                     "HTTP/1.1 042 Text\r\n" + idLine + sealLine + reportLines + doneLines,
	"status 999":                     "HTTP/1.1 999 Text\r\n" + idLine + sealLine + reportLines + doneLines,
	"four digits":                    "HTTP/1.1 2000 OK\r\n" + idLine + sealLine + reportLines + doneLines,
}

// respondText returns a response of an engine that writes the text and closes.
func respondText(text string) func(*net.TCPConn, *http.Request) {
	return func(conn *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(conn, text) }
}

// newBrokenDeployment returns a deployment whose preferred engine responds with respond, and whose other one with a success.
func newBrokenDeployment(t *testing.T, path string, respond func(*net.TCPConn, *http.Request)) (d *deployment, near, far *rawEngine) {
	t.Helper()
	body := "done"
	if strings.HasPrefix(path, "/stream/") {
		body = "id: 1\ndata: a\n\n"
	}
	near = &rawEngine{name: "near", respond: respond}
	far = &rawEngine{name: "far", respond: respondRaw(200, "ID\r\n"+sealLine, body)}
	d = newRawDeployment(t, near, far)
	d.gateway.Fleet.Log = slog.New(slog.NewTextHandler(&d.log, nil))
	return d, near, far
}

// Guards against broken answers that callers get, that count as a refusal or a success, or whose headers say something of their engine.
func TestBrokenAnswerIsNeitherPassedOnNorProof(t *testing.T) {
	for name, answer := range brokenHeaders {
		for path, want := range map[string]struct {
			status     int
			farArrives int64
		}{
			"/unsafe/x": {http.StatusBadGateway, 0},
			"/safe/x":   {http.StatusOK, 1},
			"/stream/x": {http.StatusOK, 1},
		} {
			t.Run(name+path, func(t *testing.T) {
				d, near, far := newBrokenDeployment(t, path, respondText(answer))
				got := d.call(t, path, validKey)
				qt.Check(t, got.err, qt.IsNil)
				qt.Check(t, got.status, qt.Equals, want.status)
				qt.Check(t, got.header.Get(sealHeader) != "", qt.Equals, want.status == http.StatusOK)
				qt.Check(t, near.arrivals.Load(), qt.Equals, int64(1))
				qt.Check(t, far.arrivals.Load(), qt.Equals, want.farArrives)
				qt.Check(t, d.log.String(), qt.Not(qt.Contains), "source=response", qt.Commentf("the engine has said nothing of itself"))
			})
		}
	}
}

// Guards against streams that are resumed with a broken answer, or end with it as if they were complete.
func TestBrokenAnswerDoesNotResumeAStream(t *testing.T) {
	for name, answer := range brokenHeaders {
		t.Run(name, func(t *testing.T) {
			near := &rawEngine{name: "near", respond: respondBrokenStream(true, "")}
			far := &rawEngine{name: "far", respond: respondText(strings.ReplaceAll(answer, "id: 1", "id: 3"))}
			d := newRawDeployment(t, near, far)
			d.gateway.Fleet.Log = slog.New(slog.NewTextHandler(&d.log, nil))
			body, err := io.ReadAll(d.openStream(t))
			qt.Check(t, err, qt.IsNotNil)
			qt.Check(t, string(body), qt.Equals, firstEvents)
			qt.Check(t, far.arrivals.Load(), qt.Equals, int64(1))
			qt.Check(t, d.log.String(), qt.Not(qt.Contains), "source=response", qt.Commentf("the engine has said nothing of itself"))
		})
	}
}
