package railgateway_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railcatalog"
	"github.com/fulmarrail/fulmarrail/internal/config/railroute"
	"github.com/fulmarrail/fulmarrail/internal/node/railgateway"
)

const (
	// sharedPart is the part of the prompt of all requests of endingCase.
	sharedPart = "a1"
	// silence is the name of the event that an endpoint is silent.
	silence = "the endpoint is silent"
	// shortDeadline ends a request in a test of deadlines.
	shortDeadline = 700 * time.Millisecond
	// effectTime is the time for an event to take effect on a request before its endpoint goes on.
	effectTime = 250 * time.Millisecond
)

// endingPhase is a phase in which something happens to a request that has been received in full.
type endingPhase struct {
	path string
	// reach makes the request reach the phase. What it returns lets the request go on.
	reach func(d *deployment, near, far *endpoint, reached chan<- struct{}) (release func())
	// sent is set if the request may have run, and begun if its response has begun.
	sent, begun bool
	// impatient is set if another endpoint is sought soon for a response that has not begun.
	impatient bool
	body      string
}

// respondInParts returns a handler that responds with first, and with rest once release is closed.
func respondInParts(reached chan<- struct{}, release <-chan struct{}, first, rest handler) handler {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		first(w, r)
		reached <- struct{}{}
		select {
		case <-release:
			rest(w, r)
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// respondLater returns what makes the preferred endpoint respond with first, and with rest once it is released.
func respondLater(first, rest handler) func(*deployment, *endpoint, *endpoint, chan<- struct{}) func() {
	return func(_ *deployment, near, _ *endpoint, reached chan<- struct{}) func() {
		release := make(chan struct{})
		near.handlers = sequence(respondInParts(reached, release, first, rest))
		return func() { close(release) }
	}
}

// mapRoutes returns the routes of a configuration, each with a change.
func mapRoutes(c railcatalog.Catalog, change func(*railroute.Route)) []railroute.Route {
	routes := slices.Clone(c.Routes())
	for i := range routes {
		change(&routes[i])
	}
	return routes
}

func respondNothing(http.ResponseWriter, *http.Request) {}

func writeSome(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(sealHeader, "seal")
	_, _ = io.WriteString(w, "do")
	_ = http.NewResponseController(w).Flush()
}

func writeRest(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ne")
}

func endingPhases() map[string]endingPhase {
	return map[string]endingPhase{
		"queued": {path: "/unsafe/x", body: "done", reach: func(d *deployment, near, _ *endpoint, reached chan<- struct{}) func() {
			near.handlers = sequence(respondOK)
			d.gateway.Fleet.SetInstances(nil)
			go func() {
				for d.gateway.Report().QueuedRequests["desk"] == 0 {
					time.Sleep(time.Millisecond)
				}
				reached <- struct{}{}
			}()
			return func() { d.gateway.Fleet.SetInstances(d.instances) }
		}},
		"waiting for a trial": {path: "/unsafe/x", body: "done", reach: func(d *deployment, near, _ *endpoint, reached chan<- struct{}) func() {
			near.handlers = sequence(respondOK)
			parts := []string{"desk/" + sharedPart}
			enter := func() (endEngine, succeed func()) {
				pass, err := d.gateway.Quarantine.Enter(context.Background(), parts, time.Now())
				if err != nil || !pass.Begin() {
					panic("the quarantine gives no pass")
				}
				return func() { pass.EngineEnded("other") }, pass.Succeeded
			}
			endEngine, _ := enter()
			endEngine()
			_, succeed := enter()
			go func() {
				for d.gateway.Report().Running == 0 {
					time.Sleep(time.Millisecond)
				}
				reached <- struct{}{}
			}()
			return succeed
		}},
		"sent":                   {path: "/unsafe/x", sent: true, body: "done", reach: respondLater(respondNothing, respondOK)},
		"sent, safe":             {path: "/safe/x", sent: true, body: "done", reach: respondLater(respondNothing, respondOK)},
		"in the body":            {path: "/unsafe/x", sent: true, body: "done", reach: respondLater(writeSome, writeRest)},
		"before the first event": {path: "/stream/x", sent: true, body: allEvents, reach: respondLater(respondNothing, respondEvents(1, 4, true))},
		"in the stream":          {path: "/stream/x", sent: true, begun: true, body: allEvents, reach: respondLater(respondEvents(1, 2, true), respondEvents(3, 4, true))},
		"resuming": {path: "/stream/x", sent: true, begun: true, body: allEvents, reach: func(_ *deployment, near, far *endpoint, reached chan<- struct{}) func() {
			near.handlers = sequence(respondEvents(1, 2, false))
			release := make(chan struct{})
			far.handlers = sequence(respondInParts(reached, release, respondNothing, respondEvents(3, 4, true)))
			return func() { close(release) }
		}},
	}
}

// endingEvents are what may happen to a request without ending it.
func endingEvents() map[string]func(d *deployment) {
	change := func(f func(railcatalog.Catalog) railcatalog.Catalog) func(d *deployment) {
		return func(d *deployment) {
			d.changeCatalog(f)
			d.gateway.Wake()
		}
	}
	return map[string]func(d *deployment){
		"the route is gone":   change(func(c railcatalog.Catalog) railcatalog.Catalog { return c.WithRoutes(nil) }),
		"the service is gone": change(func(c railcatalog.Catalog) railcatalog.Catalog { return c.WithBackends(nil) }),
		"the key is gone":     change(func(c railcatalog.Catalog) railcatalog.Catalog { return c.WithCustomers(nil) }),
		"the time-out is shorter": change(func(c railcatalog.Catalog) railcatalog.Catalog {
			return c.WithRoutes(mapRoutes(c, func(r *railroute.Route) { r.Timeout = time.Millisecond }))
		}),
		"the limits are shorter": change(func(c railcatalog.Catalog) railcatalog.Catalog {
			c.Limits = railcatalog.Limits{MaxHeaderBytes: 1, MaxBodyBytes: 1, HeaderTimeout: time.Millisecond, IdleTimeout: time.Millisecond}
			return c
		}),
		"the route goes to another service": change(func(c railcatalog.Catalog) railcatalog.Catalog {
			return c.WithRoutes(mapRoutes(c, func(r *railroute.Route) { r.Services = []railroute.WeightedService{{Service: "annex", Weight: 1}} }))
		}),
		"the zones are out of service": change(func(c railcatalog.Catalog) railcatalog.Catalog { return c.WithZonesOut([]string{"", "far"}) }),
		"the store is out of reach": func(d *deployment) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.configAge = time.Minute
		},
		"the endpoint leaves the list": func(d *deployment) { d.gateway.Fleet.SetInstances(nil) },
		silence:                        func(*deployment) { time.Sleep(pause) },
		"the drain starts":             func(d *deployment) { d.stop() },
	}
}

// endingCase is a request in a phase.
type endingCase struct {
	endingPhase
	d         *deployment
	near, far *endpoint
	release   func()
	responses chan response
	// leave disconnects the caller.
	leave func()
}

// startEndingCase sends a request and waits until it has reached the phase.
func startEndingCase(t *testing.T, phase endingPhase, deadline, drainTimeout time.Duration) *endingCase {
	t.Helper()
	c := &endingCase{endingPhase: phase, near: &endpoint{name: "near"}, far: &endpoint{name: "far", handlers: sequence(respondNotRun)}, responses: make(chan response, 1)}
	c.d = newDrainableDeployment(t, drainTimeout, func(*railgateway.Gateway) {}, c.near, c.far)
	if phase.impatient {
		c.d.changeCatalog(withShortTarget)
	}
	reached := make(chan struct{}, 1)
	c.release = phase.reach(c.d, c.near, c.far, reached)
	ctx, leave := context.WithCancel(context.Background())
	c.leave = leave
	t.Cleanup(leave)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.d.url+phase.path, strings.NewReader("body"))
	qt.Assert(t, err, qt.IsNil)
	req.Host = "host.example"
	req.Header.Set(idHeader, "id-1")
	req.Header.Set("X-Fulmarrail-Request-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Token "+validKey)
	req.Header.Set(promptHeader, sharedPart+":10,b2:10")
	go func() { c.responses <- roundTrip(req) }()
	<-reached
	return c
}

// Guards against a request that was received in full and ends without a complete answer, whatever happens while it waits or runs: only its caller's
// leaving, its deadline and the end of the drain end it, and these only break off a response that has begun.
func TestRequestEndsWithAnswerWhateverHappens(t *testing.T) {
	for phaseName, phase := range endingPhases() {
		for event, happen := range endingEvents() {
			t.Run(phaseName+", "+event, func(t *testing.T) {
				t.Parallel()
				phase := phase
				phase.impatient = event == silence && phase.sent // Or the silence would end before another endpoint is sought.
				c := startEndingCase(t, phase, requestTimeout, requestTimeout)
				happen(c.d)
				select {
				case got := <-c.responses:
					c.responses <- got // The event has ended the request.
				case <-time.After(effectTime):
				}
				c.release()
				c.checkCompleted(t)
			})
		}
		for name, drainTimeout := range map[string]time.Duration{"the deadline passes": requestTimeout, "the drain ends": time.Second} {
			t.Run(phaseName+", "+name, func(t *testing.T) {
				t.Parallel()
				deadline := requestTimeout
				if drainTimeout == requestTimeout {
					deadline = shortDeadline
				}
				c := startEndingCase(t, phase, deadline, drainTimeout)
				if drainTimeout != requestTimeout {
					c.d.stop()
				}
				c.checkEnded(t)
			})
		}
		t.Run(phaseName+", the caller leaves", func(t *testing.T) {
			t.Parallel()
			c := startEndingCase(t, phase, requestTimeout, requestTimeout)
			c.leave()
			<-c.responses
			for c.d.gateway.Report().Running > 0 {
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// checkCompleted checks that the caller has got the endpoint's complete response, or a refusal of a request that no endpoint has got.
func (c *endingCase) checkCompleted(t *testing.T) {
	t.Helper()
	got := <-c.responses
	qt.Assert(t, got.err, qt.IsNil, qt.Commentf("%q", got.body))
	if !c.sent && got.status == http.StatusServiceUnavailable {
		qt.Check(t, got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		qt.Check(t, c.near.requests(), qt.HasLen, 0)
		return
	}
	qt.Check(t, got.status, qt.Equals, http.StatusOK)
	qt.Check(t, got.body, qt.Equals, c.body)
}

// checkEnded checks the answer to a request that the entry has ended.
func (c *endingCase) checkEnded(t *testing.T) {
	t.Helper()
	got := <-c.responses
	switch {
	case c.begun:
		qt.Check(t, got.err, qt.IsNotNil, qt.Commentf("%q", got.body))
	case c.sent:
		qt.Check(t, got.err, qt.IsNil)
		qt.Check(t, got.status, qt.Equals, http.StatusGatewayTimeout)
	default:
		qt.Check(t, got.err, qt.IsNil)
		qt.Check(t, got.status, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, c.near.requests(), qt.HasLen, 0)
	}
}
