package railgateway_test

import (
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

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
	"blank in a name":                withLine("200 OK", "X Odd: 1"),
	"blank after a name":             withLine("200 OK", "X-Odd : 1"),
	"tab after a name":               withLine("200 OK", "X-Odd\t: 1"),
	"control byte in a name":         withLine("200 OK", "X\x01Odd: 1"),
	"zero byte in a name":            withLine("200 OK", "X\x00Odd: 1"),
	"delete in a name":               withLine("200 OK", "X\x7fOdd: 1"),
	"no colon":                       withLine("200 OK", "X-Odd"),
	"blank in a failure's name":      withLine("404 Not Found", "X Odd: 1"),
	"blank in a refusal's name":      withLine("503 Service Unavailable", notRunHeader+": 1\r\nX Odd: 1"),
	"blank after a refusal's proof":  withLine("503 Service Unavailable", notRunHeader+" : 1"),
	"blank in a wrong engine's name": withLine("421 Misdirected Request", "X Odd: 1"),
	"blank in informational":         "HTTP/1.1 103 Early Hints\r\nX-Odd : 1\r\n\r\nHTTP/1.1 200 OK\r\n" + idLine + sealLine + reportLines + doneLines,
	"blank after a length":           "HTTP/1.1 200 OK\r\n" + idLine + sealLine + reportLines + "Content-Length : 4\r\n\r\ndone and more",
	"blank after a failure's length": "HTTP/1.1 404 Not Found\r\n" + idLine + sealLine + reportLines + "Content-Length : 4\r\n\r\nnone and more",
	"blank in a length":              "HTTP/1.1 200 OK\r\n" + idLine + sealLine + reportLines + "Content Length: 4\r\n\r\ndone",
	"blank after an encoding":        "HTTP/1.1 200 OK\r\n" + idLine + sealLine + reportLines + "Transfer-Encoding : chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
	"blank in a name, in events":     "HTTP/1.1 200 OK\r\n" + idLine + sealLine + reportLines + "X Odd: 1\r\n\r\nid: 1\ndata: x\n\n",
	"blank in the seal's name":       "HTTP/1.1 200 OK\r\n" + idLine + reportLines + sealHeader + " : seal\r\n" + doneLines,
}

// withLine returns a complete response with a status and a line in its header.
func withLine(status, line string) string {
	return "HTTP/1.1 " + status + "\r\n" + idLine + sealLine + reportLines + line + "\r\n" + doneLines
}

// truncatedAnswers are responses with sound headers that break off in their body.
var truncatedAnswers = map[string]string{
	"truncated success":      "HTTP/1.1 200 OK\r\n" + idLine + sealLine + reportLines + "Content-Length: 9\r\n\r\ndone",
	"truncated failure":      "HTTP/1.1 500 Text\r\n" + idLine + sealLine + reportLines + "Content-Length: 9\r\n\r\nfail",
	"truncated refusal":      "HTTP/1.1 503 Text\r\n" + idLine + notRunHeader + ": 1\r\n" + reportLines + "Content-Length: 9\r\n\r\nfull",
	"refusal in half chunks": "HTTP/1.1 503 Text\r\n" + idLine + notRunHeader + ": 1\r\n" + reportLines + "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n",
	"refusal in odd chunks":  "HTTP/1.1 503 Text\r\n" + idLine + notRunHeader + ": 1\r\n" + reportLines + "Transfer-Encoding: chunked\r\n\r\nzz\r\nfull\r\n0\r\n\r\n",
	"truncated wrong engine": "HTTP/1.1 421 Text\r\n" + idLine + reportLines + "Content-Length: 9\r\n\r\nelse",
	"truncated first event":  "HTTP/1.1 200 OK\r\n" + idLine + sealLine + reportLines + "Content-Length: 20\r\n\r\nid: 1\ndata: x\n",
}

// allBrokenAnswers returns the answers with broken headers and the truncated ones.
func allBrokenAnswers() map[string]string {
	all := maps.Clone(truncatedAnswers)
	maps.Copy(all, brokenHeaders)
	return all
}

// respondText returns a response of an engine that writes the text and closes.
func respondText(text string) func(*net.TCPConn, *http.Request) {
	return func(conn *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(conn, text) }
}

// newBrokenDeployment returns a deployment with the preferred engine near, and another one that responds with a success.
func newBrokenDeployment(t *testing.T, path string, near *rawEngine) (d *deployment, far *rawEngine) {
	t.Helper()
	body := "done"
	if strings.HasPrefix(path, "/stream/") {
		body = "id: 1\ndata: a\n\n"
	}
	far = &rawEngine{name: "far", respond: respondRaw(200, "ID\r\n"+sealLine, body)}
	d = newRawDeployment(t, near, far)
	d.gateway.Fleet.Log = slog.New(slog.NewTextHandler(&d.log, nil))
	return d, far
}

// Guards against broken answers that callers get, that count as a refusal or a success, or whose headers say something of their engine.
func TestBrokenAnswerIsNeitherPassedOnNorProof(t *testing.T) {
	for name, answer := range allBrokenAnswers() {
		for path, want := range map[string]struct {
			status     int
			farArrives int64
		}{
			"/unsafe/x": {http.StatusBadGateway, 0},
			"/safe/x":   {http.StatusOK, 1},
			"/stream/x": {http.StatusOK, 1},
		} {
			t.Run(name+path, func(t *testing.T) {
				near := &rawEngine{name: "near", respond: respondText(answer)}
				d, far := newBrokenDeployment(t, path, near)
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
	for name, answer := range allBrokenAnswers() {
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

// Guards against sound answers that are refused because their headers are unusual.
func TestUnusualAnswerIsPassedOn(t *testing.T) {
	const (
		ok   = "HTTP/1.1 200 OK\r\n"
		rest = idLine + sealLine + doneLines
		name = "!#$%&'*+-.^_`|~0aZ"
	)
	for kind, c := range map[string]struct{ answer, name, value string }{
		"every sign of a token in a name": {ok + name + ": 1\r\n" + rest, name, "1"},
		"empty value":                     {ok + "X-Odd:\r\n" + rest, "X-Odd", ""},
		"no blank before the value":       {ok + "X-Odd:1\r\n" + rest, "X-Odd", "1"},
		"tabs in the value":               {ok + "X-Odd:\t1\t2\t\r\n" + rest, "X-Odd", "1\t2"},
		"colons in the value":             {ok + "X-Odd: a : b:c\r\n" + rest, "X-Odd", "a : b:c"},
		"bytes that are no ASCII":         {ok + "X-Odd: \xe9\xff\r\n" + rest, "X-Odd", "\xe9\xff"},
		"value on two lines":              {ok + "X-Odd: 1\r\n  Content-Length: 9\r\n" + rest, "X-Odd", "1 Content-Length: 9"}, // RFC 9112, section 5.2: a proxy joins the lines.
		"no reason":                       {"HTTP/1.1 200\r\nX-Odd: 1\r\n" + rest, "X-Odd", "1"},
		"empty reason":                    {"HTTP/1.1 200 \r\nX-Odd: 1\r\n" + rest, "X-Odd", "1"},
		"control byte in the reason":      {"HTTP/1.1 200 \x01\r\nX-Odd: 1\r\n" + rest, "X-Odd", "1"}, // The reason is not forwarded.
		"two blanks before the status":    {"HTTP/1.1  200 OK\r\nX-Odd: 1\r\n" + rest, "X-Odd", "1"},  // RFC 9112, section 4, allows to read this.
		"lower case":                      {ok + strings.ToLower("X-Odd: 1\r\n"+rest), "X-Odd", "1"},
		"informational first":             {"HTTP/1.1 102\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok + "X-Odd: 1\r\n" + rest, "X-Odd", "1"},
		"older protocol":                  {"HTTP/1.0 200 OK\r\nX-Odd: 1\r\n" + rest, "X-Odd", "1"},
		"no length":                       {ok + "X-Odd: 1\r\n" + idLine + sealLine + "\r\ndone", "X-Odd", "1"},
	} {
		t.Run(kind, func(t *testing.T) {
			d, far := newBrokenDeployment(t, "/unsafe/x", &rawEngine{name: "near", respond: respondText(c.answer)})
			got := d.call(t, "/unsafe/x", validKey)
			qt.Check(t, got.err, qt.IsNil)
			qt.Check(t, got.status, qt.Equals, http.StatusOK)
			qt.Check(t, got.body, qt.Equals, "done")
			qt.Check(t, got.header.Get(sealHeader), qt.Equals, "seal")
			qt.Check(t, strings.Join(got.header[http.CanonicalHeaderKey(c.name)], ","), qt.Equals, c.value, qt.Commentf("%v", got.header))
			qt.Check(t, far.arrivals.Load(), qt.Equals, int64(0))
		})
	}
}

// Guards against requests that wait for their deadline at an engine that has begun to refuse them.
func TestRefusalThatDoesNotEndIsNoProof(t *testing.T) {
	for path, status := range map[string]int{"/unsafe/x": http.StatusBadGateway, "/safe/x": http.StatusOK} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			near := &rawEngine{name: "near", respond: func(conn *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(conn, truncatedAnswers["truncated refusal"])
				_, _ = io.Copy(io.Discard, conn)
			}}
			d, _ := newBrokenDeployment(t, path, near)
			begun := time.Now()
			got := d.call(t, path, validKey)
			qt.Check(t, got.status, qt.Equals, status)
			qt.Check(t, time.Since(begun) < requestTimeout/2, qt.IsTrue)
			qt.Check(t, near.arrivals.Load(), qt.Equals, int64(1))
			qt.Check(t, d.log.String(), qt.Not(qt.Contains), "source=response")
		})
	}
}

// Trailers are dropped, whatever they say: a body in chunks is complete with its last chunk.
func TestTrailersAreNeitherPassedOnNorHeeded(t *testing.T) {
	const chunks = "HTTP/1.1 200 OK\r\n" + idLine + sealLine + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n"
	for name, trailers := range map[string]string{
		"reports":         reportLines + notRunHeader + ": 1\r\n\r\n",
		"other seal":      sealHeader + ": other\r\n\r\n",
		"blank in a name": "X Odd: 1\r\n\r\n",
		"cut":             "X-Odd",
	} {
		t.Run(name, func(t *testing.T) {
			d, _ := newBrokenDeployment(t, "/unsafe/x", &rawEngine{name: "near", respond: respondText(chunks + trailers)})
			got := d.call(t, "/unsafe/x", validKey)
			qt.Check(t, got.err, qt.IsNil)
			qt.Check(t, got.status, qt.Equals, http.StatusOK)
			qt.Check(t, got.body, qt.Equals, "done")
			qt.Check(t, got.header.Get(sealHeader), qt.Equals, "seal")
			qt.Check(t, d.log.String(), qt.Not(qt.Contains), "source=response")
		})
	}
}
