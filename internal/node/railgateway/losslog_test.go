package railgateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/node/railgateway"
)

const (
	lossMessage = `msg="connection ended without a response"`
	lossTimeout = 10 * time.Second
)

// dial connects to the gateway as a caller.
func (d *deployment) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(d.url, "http://"))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	qt.Assert(t, conn.SetDeadline(time.Now().Add(lossTimeout)), qt.IsNil)
	return conn
}

// requestText is a whole request with an ID, as a caller sends it.
func requestText(id string) string {
	return fmt.Sprintf("POST /unsafe/x HTTP/1.1\r\nHost: host.example\r\n%s: %s\r\nX-Fulmarrail-Request-Deadline: 20000\r\nAuthorization: Token %s\r\nContent-Length: 0\r\n\r\n", idHeader, id, validKey)
}

// awaitLog waits until the gateway has logged a line with all of the texts.
func (d *deployment) awaitLog(t *testing.T, texts ...string) {
	t.Helper()
	for end := time.Now().Add(lossTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for line := range strings.Lines(d.log.String()) {
			if containsAll(line, texts) {
				return
			}
		}
	}
	t.Fatalf("no line has %q:\n%s", texts, d.log.String())
}

func containsAll(line string, texts []string) bool {
	for _, text := range texts {
		if !strings.Contains(line, text) {
			return false
		}
	}
	return true
}

// Guards against requests that end in the middle without a log line, and against callers that fill the log with them.
func TestIncompleteRequestsAreCountedAndSampled(t *testing.T) {
	const requests = 40
	d := newDeployment(t)
	counter := metrics.GetOrCreateCounter(`fulmarrail_gateway_connection_losses_total{loss="incomplete"}`)
	before := counter.Get()
	for range requests {
		conn := d.dial(t)
		_, err := conn.Write([]byte(strings.TrimSuffix(requestText("id-1"), "\r\n")))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, conn.Close(), qt.IsNil)
	}
	d.awaitLog(t, lossMessage, "loss=incomplete", "draining=false")
	for end := time.Now().Add(lossTimeout); counter.Get() < before+requests && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	qt.Check(t, counter.Get() >= before+requests, qt.IsTrue, qt.Commentf("%d of %d", counter.Get()-before, requests))
	lines := strings.Count(d.log.String(), lossMessage)
	qt.Check(t, lines < requests/2, qt.IsTrue, qt.Commentf("%d lines", lines))
}

// Guards against a request that crosses the end of its connection and that no log names.
func TestDiscardedRequestIsLoggedWithItsID(t *testing.T) {
	d := newDrainableDeployment(t, 5*time.Second, func(*railgateway.Gateway) {}, &endpoint{name: "near", handlers: sequence(respondOK)})
	conn := d.dial(t)
	reader := bufio.NewReader(conn)
	_, err := conn.Write([]byte(requestText("id-1")))
	qt.Assert(t, err, qt.IsNil)
	resp, err := http.ReadResponse(reader, nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.Body.Close(), qt.IsNil)
	d.stop()
	_, err = reader.ReadByte()
	for err == nil {
		_, err = reader.ReadByte()
	}
	_, err = conn.Write([]byte(requestText("id-2")))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, conn.Close(), qt.IsNil)
	d.awaitLog(t, lossMessage, "loss=discarded", "request=id-2", "draining=true")
}

// Guards against a process that ends without a word about the connections that its end closes.
func TestEndOfDrainTellsWhatIsOpen(t *testing.T) {
	d := newDrainableDeployment(t, time.Second, func(*railgateway.Gateway) {})
	d.stop()
	qt.Check(t, <-d.stopped, qt.IsNil)
	d.awaitLog(t, `msg="drain ended"`, "open=0", "states.receiving=0", "states.unread=0")
}
