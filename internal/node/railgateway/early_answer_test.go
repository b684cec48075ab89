package railgateway_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// uploadBytes is more than the buffers of both sockets of a connection hold.
	uploadBytes = 4 << 20
	// uploads is the number of plays of a case whose outcome depends on which part of the gateway finds the reset first.
	uploads = 3
)

// respondEarly returns a response of an engine that writes the text before it has read the request's body, and goes on with then.
func respondEarly(text string, then func(conn *net.TCPConn, r *http.Request)) func(*net.TCPConn, *http.Request) {
	return func(conn *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(conn, text)
		then(conn, r)
	}
}

// resetAfter resets the connection some time after the response.
func resetAfter(pause time.Duration) func(*net.TCPConn, *http.Request) {
	return func(conn *net.TCPConn, _ *http.Request) {
		time.Sleep(pause)
		_ = conn.SetLinger(0)
	}
}

// readOnAfter reads the request's body some time after the response.
func readOnAfter(pause time.Duration) func(*net.TCPConn, *http.Request) {
	return func(_ *net.TCPConn, r *http.Request) {
		time.Sleep(pause)
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// endSending ends the engine's sending direction before next.
func endSending(next func(*net.TCPConn, *http.Request)) func(*net.TCPConn, *http.Request) {
	return func(conn *net.TCPConn, r *http.Request) {
		_ = conn.CloseWrite()
		next(conn, r)
	}
}

// upload sends a request with a long body to a path.
func (d *deployment) upload(t *testing.T, path string) response {
	t.Helper()
	req := d.newRequest(t, path, validKey, "")
	req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, uploadBytes))), uploadBytes
	return roundTrip(req)
}

// Guards against a part of an answer that callers get as the whole, since it had no length, and its engine reset the connection while the gateway still
// sent the request.
func TestEarlyAnswerThatIsResetIsNotPassedOnAsComplete(t *testing.T) {
	const rest = idLine + sealLine + "\r\npart"
	for name, text := range map[string]string{
		"success":        "HTTP/1.1 200 OK\r\n" + rest,
		"failure":        "HTTP/1.1 404 Not Found\r\n" + rest,
		"older protocol": "HTTP/1.0 200 OK\r\n" + rest,
	} {
		for ending, then := range map[string]func(*net.TCPConn, *http.Request){
			"reset":                     resetAfter(30 * time.Millisecond),
			"reset later":               resetAfter(400 * time.Millisecond),
			"closed without reading on": func(*net.TCPConn, *http.Request) {},
			"ended, then reset":         endSending(resetAfter(100 * time.Millisecond)),
		} {
			t.Run(name+", "+ending, func(t *testing.T) {
				for path, status := range map[string]int{"/unsafe/x": http.StatusBadGateway, "/safe/x": http.StatusOK} {
					for range uploads {
						near := &rawEngine{name: "near", early: true, respond: respondEarly(text, then)}
						d, far := newBrokenDeployment(t, path, near)
						got := d.upload(t, path)
						qt.Check(t, got.err, qt.IsNil)
						qt.Check(t, got.status, qt.Equals, status)
						qt.Check(t, got.body, qt.Not(qt.Equals), "part")
						qt.Check(t, near.arrivals.Load()+far.arrivals.Load() <= 2, qt.IsTrue)
					}
				}
			})
		}
	}
}

// Guards against a stream that ends as if it were complete, since it had no length and was reset between two events while the gateway still sent the
// request.
func TestEarlyStreamThatIsResetIsNotComplete(t *testing.T) {
	for range uploads {
		near := &rawEngine{name: "near", early: true, respond: respondEarly("HTTP/1.1 200 OK\r\n"+idLine+sealLine+"\r\n"+firstEvents, resetAfter(100*time.Millisecond))}
		far := &rawEngine{name: "far", respond: respondRaw(200, "ID\r\n"+sealLine, "id: 3\ndata: c\n\n")}
		got := newRawDeployment(t, near, far).upload(t, "/stream/x")
		qt.Check(t, got.err, qt.IsNil)
		qt.Check(t, got.body, qt.Equals, firstEvents+"id: 3\ndata: c\n\n")
		qt.Check(t, far.arrivals.Load(), qt.Equals, int64(1))
	}
}

func TestSoundEarlyAnswerIsPassedOn(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + idLine + sealLine
	for name, respond := range map[string]func(*net.TCPConn, *http.Request){
		"length":                           respondEarly(head+doneLines, readOnAfter(0)),
		"length, reads on later":           respondEarly(head+doneLines, readOnAfter(400*time.Millisecond)),
		"chunks, reads on later":           respondEarly(head+"Transfer-Encoding: chunked\r\n\r\n4;x=y\r\ndone\r\n0\r\n\r\n", readOnAfter(400*time.Millisecond)),
		"after informational":              respondEarly("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+head+doneLines, readOnAfter(400*time.Millisecond)),
		"no length, ended":                 respondEarly(head+"\r\ndone", endSending(readOnAfter(0))),
		"no length, ended, reads on later": respondEarly(head+"\r\ndone", endSending(readOnAfter(400*time.Millisecond))),
	} {
		t.Run(name, func(t *testing.T) {
			d, _ := newBrokenDeployment(t, "/unsafe/x", &rawEngine{name: "near", early: true, respond: respond})
			got := d.upload(t, "/unsafe/x")
			qt.Check(t, got.err, qt.IsNil)
			qt.Check(t, got.status, qt.Equals, http.StatusOK)
			qt.Check(t, got.body, qt.Equals, "done")
		})
	}
}
