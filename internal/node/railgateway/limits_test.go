package railgateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railcatalog"
)

const (
	// shortLimit is a time limit that a test waits for, to which a gateway adds one second for a head.
	shortLimit = 200 * time.Millisecond
	headSlack  = time.Second
)

// limit changes the limits of the configuration.
func (d *deployment) limit(limits railcatalog.Limits) {
	d.changeCatalog(func(c railcatalog.Catalog) railcatalog.Catalog {
		c.Limits = limits
		return c
	})
}

func write(t *testing.T, conn net.Conn, data string) {
	t.Helper()
	_, err := io.WriteString(conn, data)
	qt.Assert(t, err, qt.IsNil)
}

func expectEnd(t *testing.T, r *bufio.Reader) {
	t.Helper()
	_, err := r.ReadByte()
	qt.Check(t, err, qt.ErrorIs, io.EOF)
}

// Guards against callers that keep a connection for ever, since the operators' time limits were not applied.
func TestTimeLimitsOfConfigurationHold(t *testing.T) {
	for name, c := range map[string]struct {
		limits railcatalog.Limits
		sent   string
		status int
	}{
		"head that does not end":     {railcatalog.Limits{HeaderTimeout: shortLimit}, "GET /safe/x HTTP/1.1\r\nHost: host.example\r\n", http.StatusRequestTimeout},
		"connection without request": {railcatalog.Limits{IdleTimeout: shortLimit}, "", 0},
		"connection after a request": {railcatalog.Limits{IdleTimeout: shortLimit}, request("id-1"), http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, &endpoint{name: "near", handlers: sequence(respondOK)})
			d.limit(c.limits)
			_, reader := d.sendSlowly(t, slowRequest{first: c.sent})
			if c.status != 0 {
				got := readFrom(t, reader)
				qt.Check(t, got.status, qt.Equals, c.status)
				qt.Check(t, got.close, qt.Equals, c.status == http.StatusRequestTimeout)
			}
			expectEnd(t, reader)
		})
	}
}

// Guards against requests that are longer than the operators or the process allow and are passed on, or called malformed, and against refusing the longest
// that is allowed.
func TestSizeLimitsHold(t *testing.T) {
	const maxBytes, processMaxBody = 4096, 8 << 20
	padded := func(n int) string {
		head := strings.TrimSuffix(request("id-1"), "\r\n") + "Pad: "
		return head + strings.Repeat("x", n-len(head)-len("\r\n\r\n")) + "\r\n\r\n"
	}
	withBody := func(n int) string {
		return slowHead + "Content-Length: " + strconv.Itoa(n) + "\r\n\r\n" + strings.Repeat("x", min(n, 2*maxBytes))
	}
	configured := railcatalog.Limits{MaxHeaderBytes: maxBytes, MaxBodyBytes: maxBytes}
	for name, c := range map[string]struct {
		limits  railcatalog.Limits
		request string
		status  int
	}{
		"longest head":                {configured, padded(maxBytes), http.StatusOK},
		"head over the configuration": {configured, padded(maxBytes + 10), http.StatusRequestHeaderFieldsTooLarge},
		"head over the process":       {railcatalog.Limits{}, padded(40 << 10), http.StatusRequestHeaderFieldsTooLarge},
		"longest body":                {configured, withBody(maxBytes), http.StatusOK},
		"body over the configuration": {configured, withBody(maxBytes + 1), http.StatusRequestEntityTooLarge},
		"body over the process":       {railcatalog.Limits{}, withBody(processMaxBody + 1), http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			near := &endpoint{name: "near", handlers: sequence(respondOK)}
			d := newDeployment(t, near)
			d.limit(c.limits)
			_, reader := d.sendSlowly(t, slowRequest{first: c.request})
			qt.Check(t, readFrom(t, reader).status, qt.Equals, c.status)
			qt.Check(t, len(near.requests()) == 1, qt.Equals, c.status == http.StatusOK)
		})
	}
}

// Guards against a new configuration that ends a request that is arriving, or an idle connection sooner than its caller was told.
func TestShorterLimitsHoldFromTheNextRequestOn(t *testing.T) {
	const body = "0123456789"
	head := slowHead + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	whole := head + body
	for name, sent := range map[string]string{"in the head": head[:len(head)/2], "in the body": head + body[:5], "idle": ""} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			near := &endpoint{name: "near", handlers: sequence(respondOK)}
			d := newDeployment(t, near)
			conn, reader := d.sendSlowly(t, slowRequest{first: whole})
			qt.Assert(t, readFrom(t, reader).status, qt.Equals, http.StatusOK)
			write(t, conn, sent)
			time.Sleep(shortLimit) // The gateway reads what was sent, or waits for it.
			limits := railcatalog.Limits{HeaderTimeout: shortLimit, IdleTimeout: shortLimit}
			if sent != "" {
				limits.MaxHeaderBytes, limits.MaxBodyBytes = len(head)/2, len(body)/2
			}
			d.limit(limits)
			time.Sleep(2*shortLimit + headSlack)
			write(t, conn, whole[len(sent):])
			qt.Check(t, readFrom(t, reader).status, qt.Equals, http.StatusOK)
			qt.Check(t, near.requests(), qt.HasLen, 2)
			expectEnd(t, reader)
			if sent != "" {
				_, reader = d.sendSlowly(t, slowRequest{first: whole})
				qt.Check(t, readFrom(t, reader).status, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
			}
		})
	}
}

// Guards against a request that crosses the end of an idle connection, since its caller does not know how long the connection may stay idle.
func TestResponseAnnouncesIdleTimeout(t *testing.T) {
	d := newDeployment(t, &endpoint{name: "near", handlers: sequence(respondOK)})
	d.changeCatalog(func(c railcatalog.Catalog) railcatalog.Catalog {
		c.Limits.IdleTimeout = 15 * time.Second
		return c
	})
	qt.Check(t, d.call(t, "/safe/x", validKey).header.Get("Keep-Alive"), qt.Equals, "timeout=14")
}
