package railgateway_test

import (
	"bytes"
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
	"github.com/fulmarrail/fulmarrail/internal/lab/railendinglistener"
	"github.com/fulmarrail/fulmarrail/internal/limit/railquarantine"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/node/railgateway"
	"github.com/fulmarrail/fulmarrail/platform"
)

const (
	idHeader     = "X-Fulmarrail-Request-Id"
	sealHeader   = "X-Fulmarrail-Response-Seal"
	notRunHeader = "X-Fulmarrail-Not-Executed"
	promptHeader = "X-Fulmarrail-Prompt-Prefix"
	validKey     = "k1"
)

// endpoint is a fake endpoint that records the headers of requests. It serves each request with the next of its handlers, and all
// further ones with the last.
type endpoint struct {
	name     string
	handlers []func(w http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	received []http.Header
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	handler := e.handlers[min(len(e.received), len(e.handlers)-1)]
	e.received = append(e.received, r.Header.Clone())
	e.mu.Unlock()
	w.Header().Set(idHeader, r.Header.Get(idHeader))
	handler(w, r)
}

func (e *endpoint) requests() []http.Header {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.received)
}

func respondOK(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(sealHeader, "seal")
	_, _ = io.WriteString(w, "done")
}

func respondServerError(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(sealHeader, "seal")
	http.Error(w, "own failure", http.StatusInternalServerError)
}

func respondNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(notRunHeader, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func abortConnection(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

func respondWrongID(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(idHeader, "another")
	respondOK(w, r)
}

// respondEvents returns a handler that sends the events with IDs in [from, to], and aborts the connection afterwards unless complete.
func respondEvents(from, to int, complete bool) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(sealHeader, "seal")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := from; i <= to; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
			_ = http.NewResponseController(w).Flush()
		}
		if !complete {
			panic(http.ErrAbortHandler)
		}
	}
}

// deployment is a gateway with fake endpoints behind it.
type deployment struct {
	url       string
	gateway   *railgateway.Gateway
	configAge time.Duration
	// dueAt is the time after which no response may start on weights older than version 2, or zero for none.
	dueAt time.Time
	// entriesUnknown makes the gateway start without knowing the other entries.
	entriesUnknown bool
	readyURL       string
	catalog        railcatalog.Catalog
	instances      []railinstance.Instance
	log            lockedBuffer
	mu             sync.Mutex
	stop           func()
	// stopped receives the result of the gateway's Run once the process has ended.
	stopped chan error
}

func newDeployment(t *testing.T, endpoints ...*endpoint) *deployment {
	t.Helper()
	return newCustomDeployment(t, func(*railgateway.Gateway) {}, endpoints...)
}

// newCustomDeployment is newDeployment with a gateway that customize may change before it runs.
func newCustomDeployment(t *testing.T, customize func(*railgateway.Gateway), endpoints ...*endpoint) *deployment {
	t.Helper()
	return newDrainableDeployment(t, 5*time.Second, customize, endpoints...)
}

// newDrainableDeployment is newCustomDeployment with a gateway that waits up to drainTimeout for requests in flight. Once its Run has returned, its
// connections are closed, as the kernel does at the end of a process.
func newDrainableDeployment(t *testing.T, drainTimeout time.Duration, customize func(*railgateway.Gateway), endpoints ...*endpoint) *deployment {
	t.Helper()
	d := &deployment{catalog: newCatalog(), stopped: make(chan error, 1)}
	callers, ready := listen(t), listen(t)
	d.url, d.readyURL = "http://"+callers.Addr().String(), "http://"+ready.Addr().String()
	d.gateway = &railgateway.Gateway{
		CallerListener: callers, ReadyListener: ready, Translator: platform.Translator{}, MaxConfigAge: 4 * time.Second, RetryShare: 0.1,
		ReadyPath: platform.ReadyPath, EntriesKnown: func() bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			return !d.entriesUnknown
		},
		MinVersion: func(string) int64 { return 0 }, NextMinVersion: d.nextMinVersion, Log: slog.New(slog.NewTextHandler(&d.log, nil)),
		Catalog: func() (railcatalog.Catalog, bool) {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.catalog, d.catalog.Version > 0
		},
		ConfigAge: func() time.Duration {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.configAge
		},
	}
	d.gateway.Quarantine = &railquarantine.Quarantine{Log: slog.New(slog.DiscardHandler)}
	d.gateway.EndpointListAge = d.gateway.ConfigAge
	d.gateway.Fleet = &railfleet.Fleet{Share: func(_ string, total int) int { return total }, OnChange: d.gateway.Wake, OnRestart: d.gateway.Quarantine.EngineRestarted, Log: slog.New(slog.DiscardHandler)}
	d.instances = serve(t, endpoints)
	d.gateway.Fleet.SetInstances(d.instances)
	customize(d.gateway)
	process := &railendinglistener.Listener{Listener: d.gateway.CallerListener}
	d.gateway.CallerListener = process
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	go func() {
		err := d.gateway.Run(ctx, drainTimeout)
		process.EndProcess()
		d.stopped <- err
	}()
	t.Cleanup(stop)
	return d
}

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

func (d *deployment) nextMinVersion(string) (int64, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dueAt.IsZero() {
		return 0, 0
	}
	return 2, time.Until(d.dueAt)
}

// serve starts the endpoints and returns their instances. The first one is in the gateway's region and is preferred.
func serve(t *testing.T, endpoints []*endpoint) []railinstance.Instance {
	var list []railinstance.Instance
	for i, e := range endpoints {
		lis := listen(t)
		server := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(lis) }()
		t.Cleanup(func() { _ = server.Close() })
		region := ""
		if i > 0 {
			region = "far"
		}
		list = append(list, railinstance.Instance{
			ID: e.name, Service: "desk", Address: lis.Addr().String(), Slots: 6, Zone: region, Region: region, WeightsVersion: int64(1 + i),
		})
	}
	return list
}

func newCatalog() railcatalog.Catalog {
	route := func(prefix, kind string, attempts int) railroute.Route {
		service := "desk"
		if prefix == "/annex/" {
			service = "annex"
		}
		return railroute.Route{
			Name: prefix, Host: "host.example", Prefix: prefix, Kind: kind, Timeout: 20 * time.Second, TargetLatency: 10 * time.Second,
			MaxAttempts: attempts, Resumable: kind == railroute.KindStreaming, Services: []railroute.WeightedService{{Service: service, Weight: 1}},
		}
	}
	return railcatalog.Catalog{Version: 1}.WithBackends([]railbackend.Backend{{Name: "desk"}, {Name: "annex"}}).
		WithRoutes([]railroute.Route{
			route("/safe/", railroute.KindSafe, 2), route("/unsafe/", railroute.KindUnsafe, 1), route("/stream/", railroute.KindStreaming, 2), route("/annex/", railroute.KindSafe, 2),
		}).
		WithCustomers(map[string]railcustomer.Customer{validKey: {Name: "box-office"}})
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	return lis
}

// response is what a caller received; err covers the exchange and reading the body.
type response struct {
	status int
	// close is set if the response announces the end of its connection.
	close  bool
	header http.Header
	body   string
	err    error
}

// call sends one request to a path with a customer key. The request carries a forged tenant header.
func (d *deployment) call(t *testing.T, path, key string) response {
	t.Helper()
	return d.send(t, path, key, "")
}

// callWithPrompt sends one request whose prompt has the given parts.
func (d *deployment) callWithPrompt(t *testing.T, path, parts string) response {
	t.Helper()
	return d.send(t, path, validKey, parts)
}

func (d *deployment) send(t *testing.T, path, key, parts string) response {
	t.Helper()
	return roundTrip(d.newRequest(t, path, key, parts))
}

func (d *deployment) newRequest(t *testing.T, path, key, parts string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, d.url+path, strings.NewReader("body"))
	qt.Assert(t, err, qt.IsNil)
	req.Host = "host.example"
	req.Header.Set(idHeader, "id-1")
	req.Header.Set("X-Fulmarrail-Request-Deadline", "20000")
	req.Header.Set("X-Fulmarrail-Tenant", "forged")
	req.Header.Set("Authorization", "Token "+key)
	if parts != "" {
		req.Header.Set(promptHeader, parts)
	}
	return req
}

// roundTrip sends a request and reads its response.
func roundTrip(req *http.Request) response {
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return response{err: err} // An aborted connection may lose the response's header too.
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, close: resp.Close, header: resp.Header, body: string(body), err: err}
}

func sequence(list ...func(http.ResponseWriter, *http.Request)) []func(http.ResponseWriter, *http.Request) {
	return list
}
