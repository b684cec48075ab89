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

func TestAnswersAndRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		path    string
		key     string
		scripts []func(http.ResponseWriter, *http.Request)
		status  int
		first   int
		second  int
	}{
		"served":                             {"/safe/x", key, script(good), 200, 1, 0},
		"no route":                           {"/none/x", key, script(good), 404, 0, 0},
		"unknown key":                        {"/safe/x", "k2", script(good), 401, 0, 0},
		"a safe request is repeated":         {"/safe/x", key, script(failing), 200, 1, 1},
		"a cut safe request is repeated":     {"/safe/x", key, script(cut), 200, 1, 1},
		"an unsafe one that was refused":     {"/unsafe/x", key, script(full), 200, 1, 1},
		"an unsafe one that may have run":    {"/unsafe/x", key, script(cut), 502, 1, 0},
		"an unsafe one that failed":          {"/unsafe/x", key, script(failing), 500, 1, 0},
		"the answer to another request":      {"/unsafe/x", key, script(other), 502, 1, 0},
		"a stream cut before its first part": {"/stream/x", key, script(cut), 200, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			near := &endpoint{name: "near", scripts: c.scripts}
			far := &endpoint{name: "far", scripts: script(good)}
			if strings.HasPrefix(c.path, "/stream/") {
				far.scripts = script(events(1, 2, true))
			}
			d := newDeployment(t, near, far)
			got := d.call(t, c.path, c.key)
			qt.Check(t, got.err, qt.IsNil)
			qt.Check(t, got.status, qt.Equals, c.status)
			qt.Check(t, len(near.requests()), qt.Equals, c.first)
			qt.Check(t, len(far.requests()), qt.Equals, c.second)
		})
	}
}

func TestTheEndpointSeesTheCustomerAndNotTheKey(t *testing.T) {
	e := &endpoint{name: "near", scripts: script(good)}
	d := newDeployment(t, e)
	qt.Assert(t, d.call(t, "/unsafe/x", key).err, qt.IsNil)
	h := e.requests()[0]
	qt.Check(t, h.Get("Authorization"), qt.Equals, "")
	qt.Check(t, h.Get("X-Fulmarrail-Tenant"), qt.Equals, "box-office")
	qt.Check(t, h.Get("X-Fulmarrail-Expected-Instance"), qt.Equals, "near")
	qt.Check(t, h.Get(idHeader), qt.Equals, "id-1")
}

func TestABrokenStreamGoesOnElsewhereAsOneAnswer(t *testing.T) {
	near := &endpoint{name: "near", scripts: script(events(1, 2, false))}
	far := &endpoint{name: "far", scripts: script(events(3, 4, true))}
	d := newDeployment(t, near, far)
	got := d.call(t, "/stream/x", key)
	qt.Check(t, got.err, qt.IsNil)
	qt.Check(t, got.body, qt.Equals, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n")
	qt.Check(t, far.requests()[0].Get("Last-Event-Id"), qt.Equals, "2")
}

func TestABrokenStreamNeverLooksWhole(t *testing.T) {
	for name, far := range map[string]func(http.ResponseWriter, *http.Request){"cut too": cut, "with a gap": events(4, 5, true)} {
		t.Run(name, func(t *testing.T) {
			near := &endpoint{name: "near", scripts: script(events(1, 2, false))}
			d := newDeployment(t, near, &endpoint{name: "far", scripts: script(far)})
			got := d.call(t, "/stream/x", key)
			qt.Check(t, got.err, qt.IsNotNil, qt.Commentf("%q", got.body))
		})
	}
}

// An engine may take far longer to begin than predicted; what has not begun on old weights shortly before their time is over is
// taken back from there.
func TestAnAnswerThatHasNotBegunOnOldWeightsInTimeIsTakenElsewhere(t *testing.T) {
	gone := make(chan struct{})
	near := &endpoint{name: "near", scripts: script(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // Only then does the stand-in notice that the connection ends.
		<-r.Context().Done()
		close(gone)
	})}
	far := &endpoint{name: "far", scripts: script(events(1, 2, true))}
	d := newDeployment(t, near, far)
	d.mu.Lock()
	engine := &railbackend.Engine{Model: "m", Slots: 6, Timing: railbackend.Timing{Step: time.Millisecond, Stride: 5, ReadPerSecond: 1e6}}
	d.catalog = d.catalog.WithBackends([]railbackend.Backend{{Name: "desk", Engine: engine}})
	d.dueAt = time.Now().Add(time.Second)
	d.mu.Unlock()
	got := d.call(t, "/stream/x", key)
	<-gone
	qt.Check(t, got.err, qt.IsNil)
	qt.Check(t, got.status, qt.Equals, http.StatusOK)
	qt.Check(t, len(near.requests()), qt.Equals, 1)
	qt.Check(t, len(far.requests()), qt.Equals, 1)
}

func TestKeysAreRefusedWhileTheirRevocationCannotBeKnown(t *testing.T) {
	e := &endpoint{name: "near", scripts: script(good)}
	d := newDeployment(t, e)
	d.mu.Lock()
	d.age = 4100 * time.Millisecond
	d.mu.Unlock()
	got := d.call(t, "/safe/x", key)
	qt.Check(t, got.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	qt.Check(t, len(e.requests()), qt.Equals, 0)
}

func TestACallerThatLeavesEndsTheEndpointsWork(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	e := &endpoint{name: "near", scripts: script(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // Only then does the stand-in notice that the connection ends.
		close(began)
		<-r.Context().Done()
		close(ended)
	})}
	d := newDeployment(t, e)
	conn, err := net.Dial("tcp", strings.TrimPrefix(d.url, "http://"))
	qt.Assert(t, err, qt.IsNil)
	_, err = io.WriteString(conn, "POST /safe/x HTTP/1.1\r\nHost: host.example\r\n"+idHeader+": id-1\r\nAuthorization: Token "+key+"\r\nContent-Length: 0\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	<-began
	qt.Assert(t, conn.Close(), qt.IsNil)
	<-ended
}

func TestAPlannedStopClosesIdleConnectionsAndCutsNothing(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	e := &endpoint{name: "near", scripts: script(good, func(w http.ResponseWriter, r *http.Request) {
		close(began)
		<-release
		good(w, r)
	})}
	d := newDeployment(t, e)
	idle, err := net.Dial("tcp", strings.TrimPrefix(d.url, "http://"))
	qt.Assert(t, err, qt.IsNil)
	request := "GET /safe/x HTTP/1.1\r\nHost: host.example\r\n" + idHeader + ": id-1\r\nAuthorization: Token " + key + "\r\n\r\n"
	_, err = io.WriteString(idle, request)
	qt.Assert(t, err, qt.IsNil)
	reader := bufio.NewReader(idle)
	first, err := http.ReadResponse(reader, nil)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.Copy(io.Discard, first.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, first.Body.Close(), qt.IsNil)
	answered := make(chan answer, 1)
	go func() { answered <- d.call(t, "/unsafe/x", key) }()
	<-began
	d.stop()
	_, err = reader.ReadByte()
	qt.Check(t, err, qt.ErrorIs, io.EOF, qt.Commentf("an idle connection is closed in order"))
	close(release)
	got := <-answered
	qt.Check(t, got.err, qt.IsNil)
	qt.Check(t, got.body, qt.Equals, "done")
	qt.Check(t, <-d.stopped, qt.IsNil)
}

func TestAnEntryIsReadyOnceItKnowsAllThatItDecidesBy(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*deployment)
		status int
	}{
		"all known":                 {func(*deployment) {}, http.StatusOK},
		"no configuration":          {func(d *deployment) { d.catalog = railcatalog.Catalog{} }, http.StatusServiceUnavailable},
		"the store is out of reach": {func(d *deployment) { d.age = 4100 * time.Millisecond }, http.StatusServiceUnavailable},
		"the other entries unknown": {func(d *deployment) { d.unplaced = true }, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.mu.Lock()
			c.change(d)
			d.mu.Unlock()
			resp, err := http.Get(d.ready + platform.ReadyPath)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.Body.Close(), qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, c.status)
		})
	}
}
