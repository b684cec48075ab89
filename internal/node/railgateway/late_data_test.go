package railgateway_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/node/railgateway"
)

// largeBody is longer than what a caller's socket takes, but not than what its entry's takes as well: it has been written when its connection is closed.
var largeBody = bytes.Repeat([]byte("x"), 256<<10)

func respondLarge(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(sealHeader, "seal")
	_, _ = w.Write(largeBody)
}

// Guards against a response that is cut by a reset, since its caller has sent more before the connection is closed.
func TestResponseIsNotLostToLaterData(t *testing.T) {
	closing := requestTo("/safe/x", "id-1")
	closing = closing[:len(closing)-len("\r\n")] + "Connection: close\r\n\r\n"
	for name, c := range map[string]struct {
		request, later string
		drain          bool
	}{
		"line break in a drain":                {request("id-1"), "\r\n", true},
		"request in a drain":                   {request("id-1"), request("id-2"), true},
		"line break, caller closes after this": {closing, "\r\n", false},
		"request, caller closes after this":    {closing, request("id-2"), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			started, release := make(chan struct{}, 1), make(chan struct{})
			near := &endpoint{name: "near", handlers: sequence(respondInParts(started, release, respondNothing, respondLarge))}
			d, draining := newDrainWatchedDeployment(t, 8*time.Second, near)
			conn, reader := d.sendSlowly(t, slowRequest{first: c.request})
			<-started
			if c.drain {
				d.stop()
				<-draining
			}
			_, err := io.WriteString(conn, c.later)
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(100 * time.Millisecond) // Without it, the data may arrive after the end of the connection.
			close(release)
			time.Sleep(500 * time.Millisecond) // A caller that is slow for a moment.
			got := readFrom(t, reader)
			qt.Check(t, got.status, qt.Equals, http.StatusOK)
			qt.Check(t, len(got.body), qt.Equals, len(largeBody))
		})
	}
}

// Guards against a process that ends since reading the ID of a discarded request for the log panics.
func TestPanicInLogOfDiscardedRequestIsContained(t *testing.T) {
	started, release := make(chan struct{}, 1), make(chan struct{})
	near := &endpoint{name: "near", handlers: sequence(respondOK, respondInParts(started, release, respondNothing, respondOK))}
	d := newDrainableDeployment(t, 8*time.Second, func(g *railgateway.Gateway) { g.Translator = panickingTranslator{} }, near)
	conn, reader := d.sendSlowly(t, slowRequest{first: request("id-1")})
	qt.Assert(t, readFrom(t, reader).status, qt.Equals, http.StatusOK)
	responses := make(chan response, 1)
	go func() { responses <- d.call(t, "/unsafe/x", validKey) }()
	<-started
	d.stop()
	_, err := reader.ReadByte()
	qt.Assert(t, err, qt.ErrorIs, io.EOF)
	later := request("id-2")
	_, err = io.WriteString(conn, later[:len(later)-len("\r\n")]+panicHeader+": "+panicParse+"\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, conn.Close(), qt.IsNil)
	d.awaitLog(t, "panic contained")
	close(release)
	got := <-responses
	qt.Check(t, got.err, qt.IsNil)
	qt.Check(t, got.status, qt.Equals, http.StatusOK)
}
