package railgateway_test

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railcatalog"
	"github.com/fulmarrail/fulmarrail/internal/config/railroute"
	"github.com/fulmarrail/fulmarrail/internal/node/railgateway"
)

// newDrainWatchedDeployment is newDrainableDeployment with a channel that is closed once the drain has dealt with the open connections.
func newDrainWatchedDeployment(t *testing.T, drainTimeout time.Duration, e *endpoint) (*deployment, <-chan struct{}) {
	t.Helper()
	draining := make(chan struct{})
	d := newDrainableDeployment(t, drainTimeout, func(g *railgateway.Gateway) {
		g.Log = slog.New(newMessageHandler(drainMessage, draining))
	}, e)
	return d, draining
}

// respondNever returns a handler that calls first, then closes started and waits until the request is canceled.
func respondNever(started chan<- struct{}, first handler) handler {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // The server detects a closed connection only after the body has been read.
		first(w, r)
		started <- struct{}{}
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// Guards against requests that are cut without an answer, since they still run when the grace period ends.
func TestEndOfDrainAnswersRequestsThatStillRun(t *testing.T) {
	nothing := func(http.ResponseWriter, *http.Request) {}
	for name, c := range map[string]struct {
		path   string
		first  handler
		status int
	}{
		"unsafe":                    {"/unsafe/x", nothing, http.StatusGatewayTimeout},
		"safe":                      {"/safe/x", nothing, http.StatusGatewayTimeout},
		"stream that has not begun": {"/stream/x", nothing, http.StatusGatewayTimeout},
		"response without its end": {"/unsafe/x", withHeader(sealHeader, "seal", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "some")
			_ = http.NewResponseController(w).Flush()
		}), http.StatusGatewayTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			started := make(chan struct{}, 1)
			near := &endpoint{name: "near", handlers: sequence(respondNever(started, c.first))}
			d := newDrainableDeployment(t, time.Second, func(*railgateway.Gateway) {}, near)
			responses := make(chan response, 1)
			go func() { responses <- d.call(t, c.path, validKey) }()
			<-started
			d.stop()
			got := <-responses
			qt.Check(t, got.err, qt.IsNil)
			qt.Check(t, got.status, qt.Equals, c.status)
			qt.Check(t, got.close, qt.IsTrue)
			qt.Check(t, <-d.stopped, qt.ErrorMatches, "drain timed out, 1 requests got no response of an endpoint")
		})
	}
}

// Guards against a request that waits for an endpoint when the grace period ends, and gets no answer although it has not run.
func TestEndOfDrainRejectsQueuedRequestAsNotRun(t *testing.T) {
	const most = 20 // More than an endpoint holds.
	started := make(chan struct{}, most)
	near := &endpoint{name: "near", handlers: sequence(respondNever(started, func(http.ResponseWriter, *http.Request) {}))}
	d := newDrainableDeployment(t, time.Second, func(*railgateway.Gateway) {}, near)
	d.instances[0].Slots = 1
	d.gateway.Fleet.SetInstances(d.instances)
	responses := make(chan response, most)
	sent := 0
	for ; d.gateway.Report().QueuedRequests["desk"] == 0 && sent < most; sent++ {
		go func() { responses <- d.call(t, "/unsafe/x", validKey) }()
		time.Sleep(50 * time.Millisecond)
	}
	d.stop()
	statuses := map[int]int{}
	for range sent {
		got := <-responses
		qt.Check(t, got.err, qt.IsNil)
		statuses[got.status]++
	}
	qt.Check(t, statuses, qt.DeepEquals, map[int]int{http.StatusGatewayTimeout: sent - 1, http.StatusServiceUnavailable: 1})
	qt.Check(t, near.requests(), qt.HasLen, sent-1)
}

// Guards against a final response that is cut, since the process was delayed and ends as soon as it has ended the requests.
func TestDelayedProcessGivesLastResponsesTheirTime(t *testing.T) {
	started := make(chan struct{}, 1)
	near := &endpoint{name: "near", handlers: sequence(respondNever(started, func(http.ResponseWriter, *http.Request) {}))}
	d := newDrainableDeployment(t, time.Second, func(g *railgateway.Gateway) {
		g.Log = slog.New(callingHandler{Handler: slog.DiscardHandler, prefix: "gateway ends the requests", call: func() { time.Sleep(time.Second) }})
	}, near)
	responses := make(chan response, 1)
	go func() { responses <- d.call(t, "/unsafe/x", validKey) }()
	<-started
	d.stop()
	got := <-responses
	qt.Check(t, got.err, qt.IsNil)
	qt.Check(t, got.status, qt.Equals, http.StatusGatewayTimeout)
	qt.Check(t, <-d.stopped, qt.ErrorMatches, "drain timed out, 1 requests got no response of an endpoint")
}

// Guards against requests that are accepted late in the grace period, and against endpoints that are handed more time than is left of it.
func TestDrainAcceptsOnlyRequestsThatFit(t *testing.T) {
	for name, c := range map[string]struct {
		deadline string
		status   int
	}{
		"fits":                    {"1000", http.StatusOK},
		"may end after the drain": {"21000", http.StatusOK},
		"needs far more":          {"60000", http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const drainTimeout = 20 * time.Second
			near := &endpoint{name: "near", handlers: sequence(respondOK)}
			d, draining := newDrainWatchedDeployment(t, drainTimeout, near)
			d.changeCatalog(func(c railcatalog.Catalog) railcatalog.Catalog {
				return c.WithRoutes(mapRoutes(c, func(r *railroute.Route) { r.Timeout = time.Minute }))
			})
			d.stop()
			<-draining
			req, err := http.NewRequest(http.MethodPost, d.url+"/unsafe/x", nil)
			qt.Assert(t, err, qt.IsNil)
			req.Host = "host.example"
			req.Header.Set(idHeader, "id-1")
			req.Header.Set("X-Fulmarrail-Request-Deadline", c.deadline)
			req.Header.Set("Authorization", "Token "+validKey)
			resp, err := http.DefaultTransport.RoundTrip(req)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.Body.Close(), qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, c.status)
			for _, header := range near.requests() {
				handed, err := strconv.Atoi(header.Get("X-Fulmarrail-Request-Deadline"))
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, time.Duration(handed)*time.Millisecond < drainTimeout, qt.IsTrue, qt.Commentf("%d ms", handed))
			}
			qt.Check(t, len(near.requests()) == 1, qt.Equals, c.status == http.StatusOK)
			qt.Check(t, <-d.stopped, qt.IsNil)
		})
	}
}

// Guards against requests that are accepted in the drain after the load balancer has stopped to send any, though the process may end at any moment.
func TestDrainRejectsRequestsOnceBalancerSendsNone(t *testing.T) {
	const drainTimeout = time.Minute // So that all requests fit.
	started, release := make(chan struct{}, 1), make(chan struct{})
	near := &endpoint{name: "near", handlers: sequence(respondInParts(started, release, respondNothing, respondOK), respondOK)}
	d, draining := newDrainWatchedDeployment(t, drainTimeout, near)
	responses := make(chan response, 1)
	go func() { responses <- d.call(t, "/unsafe/x", validKey) }() // Until it is answered, the drain doesn't end.
	<-started
	begun := time.Now()
	d.stop()
	<-draining
	accepted := 0
	for ; ; accepted++ {
		got := d.call(t, "/unsafe/x", validKey)
		qt.Assert(t, got.err, qt.IsNil)
		qt.Check(t, got.close, qt.IsTrue)
		if got.status == http.StatusServiceUnavailable {
			break
		}
		qt.Assert(t, got.status, qt.Equals, http.StatusOK)
		qt.Assert(t, time.Since(begun) < requestTimeout, qt.IsTrue, qt.Commentf("%d requests were accepted", accepted))
		time.Sleep(10 * time.Millisecond)
	}
	qt.Check(t, accepted > 0, qt.IsTrue, qt.Commentf("a request was rejected while the load balancer may send some"))
	close(release)
	got := <-responses
	qt.Check(t, got.err, qt.IsNil)
	qt.Check(t, got.body, qt.Equals, "done")
	qt.Check(t, near.requests(), qt.HasLen, accepted+1)
	qt.Check(t, <-d.stopped, qt.IsNil)
}

// Guards against a request that is read after the drain has ended, and is cut when the process ends.
func TestNoConnectionIsAcceptedOnceDrainHasEnded(t *testing.T) {
	const drainedMessage = "gateway drained"
	dialed := make(chan error, 1)
	d := newCustomDeployment(t, func(g *railgateway.Gateway) {
		address := g.CallerListener.Addr().String()
		g.Log = slog.New(callingHandler{Handler: slog.DiscardHandler, prefix: drainedMessage, call: func() { // The process has not ended.
			conn, err := net.Dial("tcp", address)
			if err == nil {
				_ = conn.Close()
			}
			dialed <- err
		}})
	})
	d.stop()
	qt.Assert(t, <-d.stopped, qt.IsNil)
	qt.Check(t, <-dialed, qt.ErrorIs, syscall.ECONNREFUSED)
	_, err := net.Dial("tcp", strings.TrimPrefix(d.url, "http://"))
	qt.Check(t, err, qt.ErrorIs, syscall.ECONNREFUSED)
}

// brokenListener accepts one connection, and fails with err after it until it is healed.
type brokenListener struct {
	net.Listener
	err      error
	accepted atomic.Bool
	broken   chan struct{}
	healed   atomic.Bool
}

func (l *brokenListener) Accept() (net.Conn, error) {
	if !l.accepted.Swap(true) {
		return l.Listener.Accept()
	}
	<-l.broken
	if l.healed.Load() {
		return l.Listener.Accept()
	}
	return nil, l.err
}

// Guards against requests that are cut since the process can accept no further connection, and against a process that serves nobody any more, and
// ends, since there was no descriptor for a while.
func TestFailedListenerCutsNoRequest(t *testing.T) {
	for name, c := range map[string]struct {
		err   error
		heals bool
	}{
		"no descriptors": {syscall.EMFILE, true},
		"for good":       {errors.New("the listener is gone"), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release, started := make(chan struct{}), make(chan struct{}, 1)
			near := &endpoint{name: "near", handlers: sequence(respondInParts(started, release, respondNothing, respondOK), respondOK)}
			lis := &brokenListener{err: c.err, broken: make(chan struct{})}
			d := newDrainableDeployment(t, 5*time.Second, func(g *railgateway.Gateway) {
				lis.Listener = g.CallerListener
				g.CallerListener = lis
			}, near)
			responses := make(chan response, 1)
			go func() { responses <- d.call(t, "/unsafe/x", validKey) }()
			<-started
			close(lis.broken)
			select {
			case err := <-d.stopped:
				t.Fatalf("the process ends while a request is in flight: %v", err)
			case <-time.After(100 * time.Millisecond):
			}
			close(release)
			got := <-responses
			qt.Check(t, got.err, qt.IsNil)
			qt.Check(t, got.body, qt.Equals, "done")
			if !c.heals {
				qt.Check(t, <-d.stopped, qt.ErrorIs, c.err)
				return
			}
			lis.healed.Store(true)
			late := &http.Transport{} // With a connection of its own.
			defer late.CloseIdleConnections()
			resp, err := late.RoundTrip(d.newRequest(t, "/unsafe/x", validKey, ""))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
			qt.Check(t, resp.Body.Close(), qt.IsNil)
		})
	}
}
