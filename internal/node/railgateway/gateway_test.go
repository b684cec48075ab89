package railgateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/config/railcatalog"
	"github.com/fulmarrail/fulmarrail/platform"
)

func TestGatewayForwardsRetriesAndRefuses(t *testing.T) {
	for name, c := range map[string]struct {
		path         string
		key          string
		handlers     []func(http.ResponseWriter, *http.Request)
		status       int
		nearRequests int
		farRequests  int
	}{
		"served":                             {"/safe/x", validKey, sequence(respondOK), 200, 1, 0},
		"no route":                           {"/none/x", validKey, sequence(respondOK), 404, 0, 0},
		"unknown key":                        {"/safe/x", "k2", sequence(respondOK), 401, 0, 0},
		"a safe request is repeated":         {"/safe/x", validKey, sequence(respondServerError), 200, 1, 1},
		"a cut safe request is repeated":     {"/safe/x", validKey, sequence(abortConnection), 200, 1, 1},
		"an unsafe one that was refused":     {"/unsafe/x", validKey, sequence(respondNotRun), 200, 1, 1},
		"an unsafe one that may have run":    {"/unsafe/x", validKey, sequence(abortConnection), 502, 1, 0},
		"an unsafe one that failed":          {"/unsafe/x", validKey, sequence(respondServerError), 500, 1, 0},
		"the answer to another request":      {"/unsafe/x", validKey, sequence(respondWrongID), 502, 1, 0},
		"a stream cut before its first part": {"/stream/x", validKey, sequence(abortConnection), 200, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			near := &endpoint{name: "near", handlers: c.handlers}
			far := &endpoint{name: "far", handlers: sequence(respondOK)}
			if strings.HasPrefix(c.path, "/stream/") {
				far.handlers = sequence(respondEvents(1, 2, true))
			}
			d := newDeployment(t, near, far)
			got := d.call(t, c.path, c.key)
			qt.Check(t, got.err, qt.IsNil)
			qt.Check(t, got.status, qt.Equals, c.status)
			qt.Check(t, len(near.requests()), qt.Equals, c.nearRequests)
			qt.Check(t, len(far.requests()), qt.Equals, c.farRequests)
		})
	}
}

func TestForwardedRequestNamesCustomerAndOmitsKey(t *testing.T) {
	e := &endpoint{name: "near", handlers: sequence(respondOK)}
	d := newDeployment(t, e)
	qt.Assert(t, d.call(t, "/unsafe/x", validKey).err, qt.IsNil)
	h := e.requests()[0]
	qt.Check(t, h.Get("Authorization"), qt.Equals, "")
	qt.Check(t, h.Get("X-Fulmarrail-Tenant"), qt.Equals, "box-office")
	qt.Check(t, h.Get("X-Fulmarrail-Expected-Instance"), qt.Equals, "near")
	qt.Check(t, h.Get(idHeader), qt.Equals, "id-1")
}

func TestBrokenStreamResumesOnAnotherEndpoint(t *testing.T) {
	near := &endpoint{name: "near", handlers: sequence(respondEvents(1, 2, false))}
	far := &endpoint{name: "far", handlers: sequence(respondEvents(3, 4, true))}
	d := newDeployment(t, near, far)
	got := d.call(t, "/stream/x", validKey)
	qt.Check(t, got.err, qt.IsNil)
	qt.Check(t, got.body, qt.Equals, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n")
	qt.Check(t, far.requests()[0].Get("Last-Event-Id"), qt.Equals, "2")
}

func TestUnresumableStreamEndsWithError(t *testing.T) {
	for name, far := range map[string]func(http.ResponseWriter, *http.Request){"cut too": abortConnection, "with a gap": respondEvents(4, 5, true)} {
		t.Run(name, func(t *testing.T) {
			near := &endpoint{name: "near", handlers: sequence(respondEvents(1, 2, false))}
			d := newDeployment(t, near, &endpoint{name: "far", handlers: sequence(far)})
			got := d.call(t, "/stream/x", validKey)
			qt.Check(t, got.err, qt.IsNotNil, qt.Commentf("%q", got.body))
		})
	}
}

// An engine may take far longer to start a response than predicted. A request whose response has not started on old weights shortly
// before they expire is canceled and sent to another endpoint.
func TestResponseNotStartedBeforeWeightsExpireMovesToAnotherEndpoint(t *testing.T) {
	canceled := make(chan struct{})
	near := &endpoint{name: "near", handlers: sequence(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // The server detects a closed connection only after the body has been read.
		<-r.Context().Done()
		close(canceled)
	})}
	far := &endpoint{name: "far", handlers: sequence(respondEvents(1, 2, true))}
	d := newDeployment(t, near, far)
	d.mu.Lock()
	engine := &railbackend.Engine{Model: "m", Slots: 6, Timing: railbackend.Timing{StepTime: time.Millisecond, StepsPerPass: 5, PrefillTokensPerSecond: 1e6}}
	d.catalog = d.catalog.WithBackends([]railbackend.Backend{{Name: "desk", Engine: engine}})
	d.dueAt = time.Now().Add(time.Second)
	d.mu.Unlock()
	got := d.call(t, "/stream/x", validKey)
	<-canceled
	qt.Check(t, got.err, qt.IsNil)
	qt.Check(t, got.status, qt.Equals, http.StatusOK)
	qt.Check(t, len(near.requests()), qt.Equals, 1)
	qt.Check(t, len(far.requests()), qt.Equals, 1)
}

func TestKeysAreRefusedWhileConfigurationIsStale(t *testing.T) {
	e := &endpoint{name: "near", handlers: sequence(respondOK)}
	d := newDeployment(t, e)
	d.mu.Lock()
	d.configAge = 4100 * time.Millisecond
	d.mu.Unlock()
	got := d.call(t, "/safe/x", validKey)
	qt.Check(t, got.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	qt.Check(t, len(e.requests()), qt.Equals, 0)
}

func TestCallerDisconnectCancelsEndpointRequest(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	e := &endpoint{name: "near", handlers: sequence(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // The server detects a closed connection only after the body has been read.
		close(started)
		<-r.Context().Done()
		close(ended)
	})}
	d := newDeployment(t, e)
	conn, err := net.Dial("tcp", strings.TrimPrefix(d.url, "http://"))
	qt.Assert(t, err, qt.IsNil)
	_, err = io.WriteString(conn, "POST /safe/x HTTP/1.1\r\nHost: host.example\r\n"+idHeader+": id-1\r\nAuthorization: Token "+validKey+"\r\nContent-Length: 0\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	<-started
	qt.Assert(t, conn.Close(), qt.IsNil)
	<-ended
}

func TestDrainClosesIdleConnectionsAndCompletesResponses(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	e := &endpoint{name: "near", handlers: sequence(respondOK, func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-release
		respondOK(w, r)
	})}
	d := newDeployment(t, e)
	idle, err := net.Dial("tcp", strings.TrimPrefix(d.url, "http://"))
	qt.Assert(t, err, qt.IsNil)
	request := "GET /safe/x HTTP/1.1\r\nHost: host.example\r\n" + idHeader + ": id-1\r\nAuthorization: Token " + validKey + "\r\n\r\n"
	_, err = io.WriteString(idle, request)
	qt.Assert(t, err, qt.IsNil)
	reader := bufio.NewReader(idle)
	first, err := http.ReadResponse(reader, nil)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.Copy(io.Discard, first.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, first.Body.Close(), qt.IsNil)
	responses := make(chan response, 1)
	go func() { responses <- d.call(t, "/unsafe/x", validKey) }()
	<-started
	d.stop()
	_, err = reader.ReadByte()
	qt.Check(t, err, qt.ErrorIs, io.EOF, qt.Commentf("idle connections must be closed cleanly"))
	close(release)
	got := <-responses
	qt.Check(t, got.err, qt.IsNil)
	qt.Check(t, got.body, qt.Equals, "done")
	qt.Check(t, <-d.stopped, qt.IsNil)
}

func TestReadinessRequiresConfigurationStoreAndEntries(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*deployment)
		status int
	}{
		"all known":                 {func(*deployment) {}, http.StatusOK},
		"no configuration":          {func(d *deployment) { d.catalog = railcatalog.Catalog{} }, http.StatusServiceUnavailable},
		"the store is out of reach": {func(d *deployment) { d.configAge = 4100 * time.Millisecond }, http.StatusServiceUnavailable},
		"the other entries unknown": {func(d *deployment) { d.entriesUnknown = true }, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.mu.Lock()
			c.change(d)
			d.mu.Unlock()
			resp, err := http.Get(d.readyURL + platform.ReadyPath)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.Body.Close(), qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, c.status)
		})
	}
}
