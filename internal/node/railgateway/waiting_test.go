package railgateway_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railcatalog"
	"github.com/fulmarrail/fulmarrail/internal/config/railcustomer"
	"github.com/fulmarrail/fulmarrail/internal/config/railroute"
	"github.com/fulmarrail/fulmarrail/internal/node/railgateway"
	"github.com/fulmarrail/fulmarrail/internal/report/railentryreport"
)

const (
	// waitingKey is the key of the customer whose request waits behind those of the customer of validKey.
	waitingKey = "k2"
	// waitingID is the ID of the request that waits, and nextID that of the one behind it.
	waitingID, nextID = "waiting", "next"
	// promptRejection bounds the time until a request that can't be served any more is rejected. It may wait in the queue for 4.5 s.
	promptRejection = 3 * time.Second
)

// turnCase is a request that waits in turn with those of another customer for an endpoint whose capacity is used up.
type turnCase struct {
	d         *deployment
	near      *endpoint
	release   func()
	responses chan response
	// leave disconnects the caller.
	leave context.CancelFunc
}

// startTurnCase returns a request that waits, with one of another customer before it and one behind it.
func startTurnCase(t *testing.T, path string, deadline, drainTimeout time.Duration) *turnCase {
	t.Helper()
	release := make(chan struct{})
	c := &turnCase{near: &endpoint{name: "near"}}
	c.near.handlers = sequence(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-release:
			if strings.HasPrefix(r.URL.Path, "/stream/") {
				respondEvents(1, 4, true)(w, r)
				return
			}
			respondOK(w, r)
		case <-r.Context().Done():
		}
	})
	released := false
	c.release = func() {
		if !released {
			released = true
			close(release)
		}
	}
	c.d = newDrainableDeployment(t, drainTimeout, func(*railgateway.Gateway) {}, c.near)
	t.Cleanup(c.release)
	c.d.changeCatalog(func(v railcatalog.Catalog) railcatalog.Catalog {
		return v.WithCustomers(map[string]railcustomer.Customer{validKey: {Name: "box-office"}, waitingKey: {Name: "foyer"}})
	})
	c.d.instances[0].Slots = 1 // And two more beyond the slots.
	c.d.gateway.Fleet.SetInstances(c.d.instances)
	for n := range 4 {
		c.send(context.Background(), "/unsafe/x", "other-"+strconv.Itoa(n), validKey, requestTimeout)
	}
	c.waitFor(t, func(r railentryreport.Report) bool { return r.Running == 4 && r.QueuedRequests["desk"] == 1 })
	ctx, leave := context.WithCancel(context.Background())
	t.Cleanup(leave)
	c.leave = leave
	c.responses = c.send(ctx, path, waitingID, waitingKey, deadline)
	c.waitFor(t, func(r railentryreport.Report) bool { return r.QueuedRequests["desk"] == 2 })
	return c
}

func (c *turnCase) waitFor(t *testing.T, reached func(railentryreport.Report) bool) {
	t.Helper()
	for end := time.Now().Add(requestTimeout); !reached(c.d.gateway.Report()); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not reached: %+v", c.d.gateway.Report())
		}
	}
}

func (c *turnCase) send(ctx context.Context, path, id, key string, deadline time.Duration) chan response {
	responses := make(chan response, 1)
	go func() {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.d.url+path, strings.NewReader("body"))
		if err != nil {
			responses <- response{err: err}
			return
		}
		req.Host = "host.example"
		req.Header.Set(idHeader, id)
		req.Header.Set("X-Fulmarrail-Request-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
		req.Header.Set("Authorization", "Token "+key)
		responses <- roundTrip(req)
	}()
	return responses
}

// ran returns the number of times that the endpoint has got the request with an ID.
func (c *turnCase) ran(id string) int {
	n := 0
	for _, h := range c.near.requests() {
		if h.Get(idHeader) == id {
			n++
		}
	}
	return n
}

// checkServed checks that the caller gets the endpoint's complete response once there is capacity.
func (c *turnCase) checkServed(t *testing.T) {
	t.Helper()
	c.release()
	got := <-c.responses
	qt.Assert(t, got.err, qt.IsNil, qt.Commentf("%q", got.body))
	qt.Check(t, got.status, qt.Equals, http.StatusOK, qt.Commentf("%q", got.body))
	qt.Check(t, got.body == "done" || got.body == allEvents, qt.IsTrue, qt.Commentf("%q", got.body))
	qt.Check(t, c.ran(waitingID), qt.Equals, 1)
}

// checkRejected checks that the caller is told within a time that its request has not run, although there is no capacity, and that it does not run
// afterwards.
func (c *turnCase) checkRejected(t *testing.T, within time.Duration) {
	t.Helper()
	select {
	case got := <-c.responses:
		qt.Assert(t, got.err, qt.IsNil)
		qt.Check(t, got.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%q", got.body))
		qt.Check(t, got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	case <-time.After(within):
		t.Errorf("the request still waits after %s", within)
	}
	c.release()
	c.waitFor(t, func(r railentryreport.Report) bool { return r.Running == 0 })
	qt.Check(t, c.ran(waitingID), qt.Equals, 0)
}

// turnEvents are what may happen while a request waits in turn.
func turnEvents() map[string]struct {
	happen   func(d *deployment)
	rejected bool
} {
	type event = struct {
		happen   func(d *deployment)
		rejected bool
	}
	change := func(f func(railcatalog.Catalog) railcatalog.Catalog) func(d *deployment) {
		return func(d *deployment) { d.changeCatalog(f) }
	}
	customers := func(list map[string]railcustomer.Customer) func(d *deployment) {
		return change(func(c railcatalog.Catalog) railcatalog.Catalog { return c.WithCustomers(list) })
	}
	rank := 5
	boxOffice := railcustomer.Customer{Name: "box-office"}
	return map[string]event{
		"nothing":                            {happen: func(*deployment) {}},
		"its customer is dropped":            {happen: customers(map[string]railcustomer.Customer{validKey: boxOffice}), rejected: true},
		"all customers are dropped":          {happen: customers(nil), rejected: true},
		"the other customer is dropped":      {happen: customers(map[string]railcustomer.Customer{waitingKey: {Name: "foyer"}})},
		"its customer's rank is lower":       {happen: customers(map[string]railcustomer.Customer{validKey: boxOffice, waitingKey: {Name: "foyer", Rank: &rank}})},
		"its customer's weight is higher":    {happen: customers(map[string]railcustomer.Customer{validKey: boxOffice, waitingKey: {Name: "foyer", Weight: 9}})},
		"its key goes to the other customer": {happen: customers(map[string]railcustomer.Customer{validKey: boxOffice, waitingKey: boxOffice})},
		"its service is dropped":             {happen: change(func(c railcatalog.Catalog) railcatalog.Catalog { return c.WithBackends(nil) }), rejected: true},
		"its route is dropped":               {happen: change(func(c railcatalog.Catalog) railcatalog.Catalog { return c.WithRoutes(nil) })},
		"its route goes to another service": {happen: change(func(c railcatalog.Catalog) railcatalog.Catalog {
			return c.WithRoutes(mapRoutes(c, func(r *railroute.Route) { r.Services = []railroute.WeightedService{{Service: "annex", Weight: 1}} }))
		})},
		"the store is away and others have an older version": {happen: func(d *deployment) {
			d.changeCatalog(func(c railcatalog.Catalog) railcatalog.Catalog {
				c.Version--
				return c
			})
			d.mu.Lock()
			defer d.mu.Unlock()
			d.configAge = time.Minute
		}},
		"the drain starts": {happen: func(d *deployment) { d.stop() }},
	}
}

// Guards against a request that waits in turn and is run with a key or at a service that the configuration has dropped meanwhile, or is told that only
// once its time in the queue is over; and against one that ends without an answer on any other change.
func TestRequestThatWaitsInTurnEndsWithAnswer(t *testing.T) {
	for _, kind := range []string{"safe", "unsafe", "stream"} {
		path := "/" + kind + "/x"
		for name, event := range turnEvents() {
			t.Run(kind+", "+name, func(t *testing.T) {
				t.Parallel()
				c := startTurnCase(t, path, requestTimeout, requestTimeout)
				event.happen(c.d)
				if event.rejected {
					c.checkRejected(t, promptRejection)
					return
				}
				time.Sleep(150 * time.Millisecond) // Lets the change act on the request while it waits.
				c.checkServed(t)
			})
		}
		t.Run(kind+", its deadline passes", func(t *testing.T) {
			t.Parallel()
			startTurnCase(t, path, shortDeadline, requestTimeout).checkRejected(t, shortDeadline+promptRejection)
		})
		t.Run(kind+", the drain ends", func(t *testing.T) {
			t.Parallel()
			c := startTurnCase(t, path, requestTimeout, time.Second)
			c.d.stop()
			c.checkRejected(t, requestTimeout) // Without an answer, the connection ends with the process.
		})
	}
}

// Guards against a request that keeps its place in the queue although its caller has left.
func TestCallerThatLeavesGivesItsPlaceInTheQueueBack(t *testing.T) {
	c := startTurnCase(t, "/unsafe/x", requestTimeout, requestTimeout)
	next := c.send(context.Background(), "/unsafe/x", nextID, waitingKey, requestTimeout)
	c.waitFor(t, func(r railentryreport.Report) bool { return r.QueuedRequests["desk"] == 3 })
	c.leave()
	qt.Check(t, (<-c.responses).err, qt.IsNotNil)
	c.waitFor(t, func(r railentryreport.Report) bool { return r.QueuedRequests["desk"] == 2 })
	c.release()
	got := <-next
	qt.Assert(t, got.err, qt.IsNil)
	qt.Check(t, got.status, qt.Equals, http.StatusOK)
	qt.Check(t, c.ran(waitingID), qt.Equals, 0)
}
