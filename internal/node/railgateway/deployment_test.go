package railgateway_test

import (
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
	dueAt time.Time
	// unplaced says that the other entries are not known.
	unplaced bool
	ready    string
	catalog  railcatalog.Catalog
	mu       sync.Mutex
	stop     func()
	stopped  chan error
}

func newDeployment(t *testing.T, endpoints ...*endpoint) *deployment {
	t.Helper()
	d := &deployment{catalog: newCatalog(), stopped: make(chan error, 1)}
	callers, ready := listen(t), listen(t)
	d.url, d.ready = "http://"+callers.Addr().String(), "http://"+ready.Addr().String()
	d.gateway = &railgateway.Gateway{
		CallerListener: callers, ReadyListener: ready, Translator: platform.Translator{}, MaxConfigAge: 4 * time.Second, RetryShare: 0.1,
		ReadyPath: platform.ReadyPath, EntriesKnown: func() bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			return !d.unplaced
		},
		MinVersion: func(string) int64 { return 0 }, NextMinVersion: d.due, Log: slog.New(slog.DiscardHandler),
		Catalog: func() (railcatalog.Catalog, bool) {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.catalog, d.catalog.Version > 0
		},
		ConfigAge: func() time.Duration {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.age
		},
	}
	d.gateway.EndpointListAge = d.gateway.ConfigAge
	d.gateway.Fleet = &railfleet.Fleet{Share: func(_ string, total int) int { return total }, OnChange: d.gateway.Wake, Log: slog.New(slog.DiscardHandler)}
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
			ID: e.name, Service: "desk", Address: lis.Addr().String(), Slots: 6, Zone: far, Region: far, WeightsVersion: int64(1 + i),
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

func script(list ...func(http.ResponseWriter, *http.Request)) []func(http.ResponseWriter, *http.Request) {
	return list
}
