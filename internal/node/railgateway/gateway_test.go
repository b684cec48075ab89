package railgateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/config/railcatalog"
	"github.com/fulmarrail/fulmarrail/internal/config/railcustomer"
	"github.com/fulmarrail/fulmarrail/internal/config/railroute"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/node/railgateway"
	"github.com/fulmarrail/fulmarrail/platform"
)

const (
	idHeader    = "X-Fulmarrail-Request-Id"
	sealHeader  = "X-Fulmarrail-Response-Seal"
	noRunHeader = "X-Fulmarrail-Not-Executed"
	key         = "k1"
)

// endpoint is a stand-in that answers each request by the next of its scripts and notes what came.
type endpoint struct {
	name    string
	scripts []func(w http.ResponseWriter, r *http.Request)

	mu   sync.Mutex
	came []http.Header
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	script := e.scripts[min(len(e.came), len(e.scripts)-1)]
	e.came = append(e.came, r.Header.Clone())
	e.mu.Unlock()
	w.Header().Set(idHeader, r.Header.Get(idHeader))
	script(w, r)
}

func (e *endpoint) requests() []http.Header {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.came)
}

func good(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(sealHeader, "seal")
	_, _ = io.WriteString(w, "done")
}

func failing(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(sealHeader, "seal")
	http.Error(w, "own failure", http.StatusInternalServerError)
}

func full(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(noRunHeader, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func cut(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

func other(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(idHeader, "another")
	good(w, r)
}

// events answers with some events and cuts the stream before its end when last is false.
func events(from, to int, last bool) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(sealHeader, "seal")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := from; i <= to; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
			_ = http.NewResponseController(w).Flush()
		}
		if !last {
			panic(http.ErrAbortHandler)
		}
	}
}

// deployment is a gateway before some endpoints.
type deployment struct {
	url     string
	gateway *railgateway.Gateway
	age     time.Duration
	// dueAt is the time from which on no answer may begin on weights older than version 2, or zero.
	dueAt   time.Time
	catalog railcatalog.Catalog
	mu      sync.Mutex
	stop    func()
	stopped chan error
}

func newDeployment(t *testing.T, endpoints ...*endpoint) *deployment {
	t.Helper()
	d := &deployment{catalog: newCatalog(), stopped: make(chan error, 1)}
	callers, ready := listen(t), listen(t)
	d.url = "http://" + callers.Addr().String()
	d.gateway = &railgateway.Gateway{
		Callers: callers, Ready: ready, Translator: platform.Translator{}, KeyAge: 4 * time.Second, RetryShare: 0.1,
		Oldest: func(string) int64 { return 0 }, Due: d.due, Log: slog.New(slog.DiscardHandler),
		Catalog: func() (railcatalog.Catalog, bool) {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.catalog, true
		},
		Age: func() time.Duration {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.age
		},
	}
	d.gateway.Fleet = &railfleet.Fleet{Entries: func() int { return 1 }, Changed: d.gateway.Wake, Log: slog.New(slog.DiscardHandler)}
	d.gateway.Fleet.SetInstances(serve(t, endpoints))
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	go func() { d.stopped <- d.gateway.Run(ctx, 5*time.Second) }()
	t.Cleanup(stop)
	return d
}

func (d *deployment) due(string) (int64, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dueAt.IsZero() {
		return 0, 0
	}
	return 2, time.Until(d.dueAt)
}

// serve starts the endpoints; the first is the one that is asked first.
func serve(t *testing.T, endpoints []*endpoint) []railinstance.Instance {
	var list []railinstance.Instance
	for i, e := range endpoints {
		lis := listen(t)
		server := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(lis) }()
		t.Cleanup(func() { _ = server.Close() })
		far := ""
		if i > 0 {
			far = "far"
		}
		list = append(list, railinstance.Instance{
			ID: e.name, Service: "desk", Address: lis.Addr().String(), Slots: 6, Zone: far, Region: far, Version: int64(1 + i),
		})
	}
	return list
}

func newCatalog() railcatalog.Catalog {
	route := func(prefix, kind string, attempts int) railroute.Route {
		return railroute.Route{
			Name: prefix, Host: "host.example", Prefix: prefix, Kind: kind, Timeout: 20 * time.Second, Target: 10 * time.Second,
			Attempts: attempts, Resumable: kind == railroute.Streaming, Services: []railroute.Share{{Service: "desk", Weight: 1}},
		}
	}
	return railcatalog.Catalog{Version: 1}.WithBackends([]railbackend.Backend{{Name: "desk"}}).
		WithRoutes([]railroute.Route{
			route("/safe/", railroute.Safe, 2), route("/unsafe/", railroute.Unsafe, 1), route("/stream/", railroute.Streaming, 2),
		}).
		WithCustomers(map[string]railcustomer.Customer{key: {Name: "box-office"}})
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	return lis
}

// answer is what a caller got; err is that of the exchange, the reading of the body included.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// call makes one request.
func (d *deployment) call(t *testing.T, path, key string) answer {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, d.url+path, strings.NewReader("body"))
	qt.Assert(t, err, qt.IsNil)
	req.Host = "host.example"
	req.Header.Set(idHeader, "id-1")
	req.Header.Set("X-Fulmarrail-Request-Deadline", "20000")
	req.Header.Set("X-Fulmarrail-Tenant", "forged")
	req.Header.Set("Authorization", "Token "+key)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return answer{err: err} // A connection that is aborted may lose the answer's header too.
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

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

func script(list ...func(http.ResponseWriter, *http.Request)) []func(http.ResponseWriter, *http.Request) {
	return list
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
