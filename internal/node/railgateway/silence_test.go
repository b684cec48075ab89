package railgateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railcatalog"
	"github.com/fulmarrail/fulmarrail/internal/config/railroute"
)

const (
	// pause is longer than the time after which an endpoint counts as silent.
	pause     = 1800 * time.Millisecond
	allEvents = "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n"
)

// respondWithPause returns a handler for a stream of four events that calls begun and pauses after the first n.
func respondWithPause(n int, begun func()) handler {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if n > 0 {
			respondEvents(1, n, true)(w, r)
		}
		begun()
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(pause):
		}
		respondEvents(n+1, 4, true)(w, r)
	}
}

// changeCatalog changes the configuration.
func (d *deployment) changeCatalog(change func(railcatalog.Catalog) railcatalog.Catalog) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.catalog = change(d.catalog)
}

// Guards against responses that are ended because their endpoint is silent for a while, although no other endpoint can go on with them: the
// silent one does.
func TestSilenceEndsNoResponseThatOnlyItsEndpointCanGive(t *testing.T) {
	nothing := func(*deployment) {}
	for name, c := range map[string]struct {
		// change happens when the endpoint has become silent.
		change func(d *deployment)
		// far is what another endpoint responds, or nil if there is none.
		far handler
	}{
		"no other endpoint":    {nothing, nil},
		"the other one leaves": {func(d *deployment) { d.gateway.Fleet.SetInstances(d.instances[:1]) }, respondNotRun},
		"all endpoints leave":  {func(d *deployment) { d.gateway.Fleet.SetInstances(nil) }, respondNotRun},
		"the key is gone": {func(d *deployment) {
			d.changeCatalog(func(c railcatalog.Catalog) railcatalog.Catalog { return c.WithCustomers(nil) })
		}, respondEvents(3, 4, true)},
		"the service is gone": {func(d *deployment) {
			d.changeCatalog(func(c railcatalog.Catalog) railcatalog.Catalog { return c.WithBackends(nil) })
		}, respondEvents(3, 4, true)},
		"the route is gone": {func(d *deployment) {
			d.changeCatalog(func(c railcatalog.Catalog) railcatalog.Catalog { return c.WithRoutes(nil) })
		}, respondNotRun},
		"the other one refuses":    {nothing, respondNotRun},
		"the other one breaks off": {nothing, abortConnection},
		"the other one fails":      {nothing, respondServerError},
		"the other one is silent":  {nothing, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body); <-r.Context().Done() }},
		"the other one has a gap":  {nothing, respondEvents(4, 4, true)},
	} {
		for _, begun := range []int{0, 2} {
			if begun == 0 && name == "the other one has a gap" {
				continue // To a request without a response, this is a valid one.
			}
			t.Run(fmt.Sprintf("%s after %d events", name, begun), func(t *testing.T) {
				t.Parallel()
				silent := make(chan struct{})
				endpoints := []*endpoint{{name: "near", handlers: sequence(respondWithPause(begun, func() { close(silent) }))}}
				if c.far != nil {
					endpoints = append(endpoints, &endpoint{name: "far", handlers: sequence(c.far)})
				}
				d := newDeployment(t, endpoints...)
				d.changeCatalog(withShortTarget) // Or the pause would end before another endpoint is sought for a response.
				responses := make(chan response, 1)
				go func() { responses <- d.call(t, "/stream/x", validKey) }()
				<-silent
				c.change(d)
				got := <-responses
				qt.Check(t, got.err, qt.IsNil)
				qt.Check(t, got.status, qt.Equals, http.StatusOK)
				qt.Check(t, got.body, qt.Equals, allEvents)
			})
		}
	}
}

// Guards against one request that spends the retries of all others, since endpoint after endpoint refuses it while its own is silent.
func TestSilentEndpointCostsFewRetries(t *testing.T) {
	const (
		most  = 5 // Of one request, without the first.
		pause = 4500 * time.Millisecond
	)
	endpoints := []*endpoint{{name: "near", handlers: sequence(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		respondEvents(1, 2, true)(w, r)
		time.Sleep(pause)
		respondEvents(3, 4, true)(w, r)
	})}}
	for i := range 3 * most {
		endpoints = append(endpoints, &endpoint{name: fmt.Sprint("far", i), handlers: sequence(respondNotRun)})
	}
	d := newDeployment(t, endpoints...)
	qt.Check(t, d.call(t, "/stream/x", validKey).body, qt.Equals, allEvents)
	retries := 0
	for _, e := range endpoints[1:] {
		retries += len(e.requests())
	}
	qt.Check(t, retries <= most, qt.IsTrue, qt.Commentf("%d retries", retries))
}

// Guards against a pause of many endpoints that ends their streams, since the retry budget is spent.
func TestSilenceOfManyEndpointsEndsNoStream(t *testing.T) {
	const streams = 30
	near := &endpoint{name: "near", handlers: sequence(respondWithPause(2, func() {}))}
	far := &endpoint{name: "far", handlers: sequence(respondNotRun)}
	d := newDeployment(t, near, far)
	d.instances[0].Slots = streams
	d.gateway.Fleet.SetInstances(d.instances)
	responses := make(chan response, streams)
	for range streams {
		go func() { responses <- d.call(t, "/stream/x", validKey) }()
	}
	for range streams {
		got := <-responses
		qt.Check(t, got.err, qt.IsNil)
		qt.Check(t, got.body, qt.Equals, allEvents)
	}
}

// Guards against retries that are lost from the budget, since no endpoint had room for them: one that fails later is not replaced then.
func TestSearchWithoutRoomCostsNoRetry(t *testing.T) {
	const streams = 30 // More than the budget's retries.
	near := &endpoint{name: "near"}
	for range streams {
		near.handlers = append(near.handlers, respondWithPause(2, func() {}))
	}
	near.handlers = append(near.handlers, abortConnection)
	d := newDeployment(t, near, &endpoint{name: "far", handlers: sequence(respondOK)})
	instances := slices.Clone(d.instances)
	instances[0].Slots = streams
	d.gateway.Fleet.SetInstances(instances[:1])
	responses := make(chan response, streams)
	for range streams {
		go func() { responses <- d.call(t, "/stream/x", validKey) }()
	}
	for range streams {
		got := <-responses
		qt.Check(t, got.err, qt.IsNil)
		qt.Check(t, got.body, qt.Equals, allEvents)
	}
	d.gateway.Fleet.SetInstances(instances)
	got := d.call(t, "/safe/x", validKey)
	qt.Check(t, got.status, qt.Equals, http.StatusOK)
	qt.Check(t, near.requests(), qt.HasLen, streams+1)
}

// A stream whose endpoint stays silent goes on at another endpoint, and the silent one is left once that has begun. No event is lost or doubled.
func TestSilentStreamGoesOnElsewhere(t *testing.T) {
	for name, begun := range map[string]int{"before its first event": 0, "in the middle": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			started, left := make(chan struct{}, 1), make(chan struct{})
			near := &endpoint{name: "near", handlers: sequence(func(w http.ResponseWriter, r *http.Request) {
				defer close(left)
				respondNever(started, func(w http.ResponseWriter, r *http.Request) {
					if begun > 0 {
						respondEvents(1, begun, true)(w, r)
					}
				})(w, r)
			})}
			far := &endpoint{name: "far", handlers: sequence(func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-left:
					t.Error("the silent endpoint was left before another one had begun")
				default:
				}
				respondEvents(begun+1, 4, true)(w, r)
			})}
			if begun == 0 {
				d := newDeployment(t, near, far)
				d.changeCatalog(withShortTarget)
				qt.Check(t, d.call(t, "/stream/x", validKey).body, qt.Equals, allEvents)
				<-left
				return
			}
			d := newDeployment(t, near, far)
			qt.Check(t, d.call(t, "/stream/x", validKey).body, qt.Equals, allEvents)
			<-left
		})
	}
}

// withShortTarget sets a target latency after which another endpoint is sought soon.
func withShortTarget(c railcatalog.Catalog) railcatalog.Catalog {
	return c.WithRoutes(mapRoutes(c, func(r *railroute.Route) { r.TargetLatency = 300 * time.Millisecond }))
}

// Guards against a response of a safe request that is given up because its endpoint is slow, although no other endpoint can give one.
func TestSlowSafeRequestIsAnsweredIfOthersCannot(t *testing.T) {
	for name, far := range map[string]handler{"refuses": respondNotRun, "breaks off": abortConnection, "fails": respondServerError} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			near := &endpoint{name: "near", handlers: sequence(func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(pause)
				respondOK(w, r)
			})}
			d := newDeployment(t, near, &endpoint{name: "far", handlers: sequence(far)}, &endpoint{name: "third", handlers: sequence(far)})
			d.changeCatalog(withShortTarget)
			d.changeCatalog(func(c railcatalog.Catalog) railcatalog.Catalog {
				return c.WithRoutes(mapRoutes(c, func(r *railroute.Route) { r.MaxAttempts = 3 }))
			})
			got := d.call(t, "/safe/x", validKey)
			qt.Check(t, got.status, qt.Equals, http.StatusOK)
			qt.Check(t, got.body, qt.Equals, "done")
		})
	}
}

// Guards against both endpoints working on after their caller has left, while another endpoint is sought.
func TestCallerDisconnectCancelsSilentEndpointAndItsReplacement(t *testing.T) {
	started := make(chan struct{}, 2)
	left := make(chan struct{}, 2)
	hang := func(first handler) handler {
		return func(w http.ResponseWriter, r *http.Request) {
			defer func() { left <- struct{}{} }()
			respondNever(started, first)(w, r)
		}
	}
	near := &endpoint{name: "near", handlers: sequence(hang(respondEvents(1, 2, true)))}
	far := &endpoint{name: "far", handlers: sequence(hang(func(http.ResponseWriter, *http.Request) {}))}
	d := newDeployment(t, near, far)
	conn, err := net.Dial("tcp", strings.TrimPrefix(d.url, "http://"))
	qt.Assert(t, err, qt.IsNil)
	_, err = io.WriteString(conn, requestTo("/stream/x", "id-1"))
	qt.Assert(t, err, qt.IsNil)
	<-started
	<-started
	qt.Assert(t, conn.Close(), qt.IsNil)
	<-left
	<-left
}

// Guards against a stream that runs on more endpoints than its route allows, since each resume counted anew.
func TestResumesCountAgainstAttemptsOfRoute(t *testing.T) {
	relayed := []chan struct{}{make(chan struct{}), make(chan struct{})}
	breaking := func(event int) handler {
		return func(w http.ResponseWriter, r *http.Request) {
			respondEvents(event, event, true)(w, r)
			<-relayed[event-1]
			panic(http.ErrAbortHandler)
		}
	}
	near := &endpoint{name: "near", handlers: sequence(breaking(1))}
	far := &endpoint{name: "far", handlers: sequence(breaking(2))}
	third := &endpoint{name: "third", handlers: sequence(respondEvents(3, 4, true))}
	d := newDeployment(t, near, far, third)
	d.gateway.Fleet.SetInstances(d.instances[:2])
	body := bufio.NewReader(d.openStream(t))
	for i, c := range relayed {
		for range 3 {
			_, err := body.ReadString('\n')
			qt.Assert(t, err, qt.IsNil)
		}
		d.gateway.Fleet.SetInstances(d.instances[:i+2])
		close(c)
	}
	_, err := io.ReadAll(body)
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, third.requests(), qt.HasLen, 0)
}

// Guards against a slow caller whose stream is moved to another endpoint, since the time that the caller took to read counted as its endpoint's
// silence.
func TestSlowCallerIsNoSilentEndpoint(t *testing.T) {
	const large = 200 << 10
	finished := make(chan struct{})
	near := &endpoint{name: "near", handlers: sequence(func(w http.ResponseWriter, _ *http.Request) {
		defer close(finished)
		w.Header().Set(sealHeader, "seal")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= 60; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", large))
			_ = http.NewResponseController(w).Flush()
		}
	})}
	far := &endpoint{name: "far", handlers: sequence(abortConnection)}
	d := newDeployment(t, near, far)
	body := bufio.NewReader(d.openStream(t))
	_, err := body.ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(pause)
	rest, err := io.ReadAll(body)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, strings.Count(string(rest), "data: "), qt.Equals, 60)
	qt.Check(t, far.requests(), qt.HasLen, 0)
	<-finished
}

// Guards against an endpoint that gets no requests for a while since a caller has left: the entry may find that it can't write to the caller
// before it sees the end of the connection.
func TestCallerThatLeavesIsNoFailureOfEndpoint(t *testing.T) {
	ended := make(chan struct{})
	near := &endpoint{name: "near", handlers: sequence(func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		_, _ = io.Copy(io.Discard, r.Body)
		for i := 1; r.Context().Err() == nil; i++ {
			respondEvents(i, i, true)(w, r)
			time.Sleep(10 * time.Millisecond)
		}
	}, respondOK)}
	far := &endpoint{name: "far", handlers: sequence(respondOK)}
	d := newDeployment(t, near, far)
	conn, err := net.Dial("tcp", strings.TrimPrefix(d.url, "http://"))
	qt.Assert(t, err, qt.IsNil)
	_, err = io.WriteString(conn, requestTo("/stream/x", "id-1"))
	qt.Assert(t, err, qt.IsNil)
	reader := bufio.NewReader(conn)
	_, err = reader.ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	_, err = io.WriteString(conn, "G") // After the start of another request, the entry doesn't see the end of the connection.
	qt.Assert(t, err, qt.IsNil)
	for range 20 {
		_, err = reader.ReadString('\n')
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, conn.Close(), qt.IsNil)
	<-ended
	for d.gateway.Report().Running > 0 {
		time.Sleep(time.Millisecond)
	}
	qt.Check(t, d.call(t, "/safe/x", validKey).status, qt.Equals, http.StatusOK)
	qt.Check(t, far.requests(), qt.HasLen, 0)
}

// Guards against a stream that holds its place at an endpoint after its deadline, and a drain that it delays, since its caller reads nothing.
func TestStreamEndsAtDeadlineThoughItsCallerReadsNothing(t *testing.T) {
	near := &endpoint{name: "near", handlers: sequence(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(sealHeader, "seal")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; r.Context().Err() == nil; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 200<<10))
		}
	})}
	d := newDeployment(t, near)
	d.changeCatalog(func(c railcatalog.Catalog) railcatalog.Catalog {
		return c.WithRoutes(mapRoutes(c, func(r *railroute.Route) { r.Timeout = shortDeadline }))
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(d.url, "http://"))
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, requestTo("/stream/x", "id-1"))
	qt.Assert(t, err, qt.IsNil)
	for d.gateway.Report().Running == 0 {
		time.Sleep(time.Millisecond)
	}
	limit := time.Now().Add(eofTimeout)
	for d.gateway.Report().Running > 0 && time.Now().Before(limit) {
		time.Sleep(time.Millisecond)
	}
	qt.Check(t, d.gateway.Report().Running, qt.Equals, 0)
	qt.Check(t, d.gateway.Fleet.Snapshot()[0].InFlight, qt.Equals, 0)
}
