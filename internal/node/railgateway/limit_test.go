package railgateway_test

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	limitHeader = "Server-Limit"
	// limitSpacing is the longest time until an endpoint with a limit of 0.5 per second gets the next request after it has named that.
	limitSpacing = 2 * time.Second
)

// limitTo returns a handler that names a limit of requests per second first.
func limitTo(perSecond string, next handler) handler {
	return withHeader(limitHeader, perSecond, next)
}

// Guards against requests to an engine beyond the limit that it has named in any kind of answer.
func TestEndpointThatNamesALimitGetsNoRequestsAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		path    string
		handler handler
		// later is the number of requests that the endpoint gets after the first.
		later int
	}{
		"in a complete response":      {"/unsafe/x", limitTo("0.5", respondOK), 0},
		"in a failure":                {"/unsafe/x", limitTo("0.5", respondServerError), 0},
		"in a rejection":              {"/unsafe/x", limitTo("0.5", respondNotRun), 0},
		"in a stream":                 {"/stream/x", limitTo("0.5", respondEvents(1, 2, true)), 0},
		"in a stream that breaks off": {"/stream/x", limitTo("0.5", respondEvents(1, 2, false)), 0},
		"zero":                        {"/unsafe/x", limitTo("0", respondOK), 0},
		"huge":                        {"/unsafe/x", limitTo("1000000", respondOK), 3},
		"no number":                   {"/unsafe/x", limitTo("NaN", respondOK), 3},
		"nothing":                     {"/unsafe/x", respondOK, 3},
	} {
		t.Run(name, func(t *testing.T) {
			near := &endpoint{name: "near", handlers: sequence(c.handler)}
			far := &endpoint{name: "far", handlers: sequence(respondOK)}
			if strings.HasPrefix(c.path, "/stream/") {
				far.handlers = sequence(respondEvents(3, 4, true))
			}
			d := newDeployment(t, near, far)
			got := d.call(t, c.path, validKey)
			qt.Check(t, got.header.Get(limitHeader), qt.Equals, "", qt.Commentf("it is not the gateway's limit"))
			if c.later == 0 {
				time.Sleep(160 * time.Millisecond) // The back-off after a rejection.
			}
			for range 3 {
				d.call(t, c.path, validKey)
			}
			qt.Check(t, len(near.requests()), qt.Equals, 1+c.later)
		})
	}
}

// Guards against a limit that outlives the need of its engine.
func TestLimitEndsWithAResponseThatNamesNone(t *testing.T) {
	for name, c := range map[string]struct {
		second handler
		// logged is set if the second response changes the limit, which the log then shows.
		logged string
	}{
		"none":                 {respondOK, "endpoint limits requests no more"},
		"none, in a rejection": {respondNotRun, "endpoint limits requests no more"},
		"a greater one":        {limitTo("1000", respondOK), "perSecond=1000 before=0.5"},
		"a malformed one":      {limitTo("-1", respondOK), ""},
		"the same":             {limitTo("0.5", respondOK), ""},
		"none, by another one": {respondWrongID, ""},
		"none, misdirected":    {respondMisdirected, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			near := &endpoint{name: "near", handlers: sequence(limitTo("0.5", respondOK), c.second)}
			d := newDeployment(t, near, &endpoint{name: "far", handlers: sequence(respondOK)})
			d.gateway.Fleet.Log = slog.New(slog.NewTextHandler(&d.log, nil))
			d.call(t, "/unsafe/x", validKey)
			time.Sleep(limitSpacing)
			d.call(t, "/unsafe/x", validKey)
			qt.Assert(t, near.requests(), qt.HasLen, 2)
			lines := strings.Count(d.log.String(), `msg="endpoint limits requests`)
			if c.logged == "" {
				qt.Check(t, lines, qt.Equals, 1)
				return
			}
			qt.Check(t, lines, qt.Equals, 2)
			qt.Check(t, d.log.String(), qt.Contains, c.logged)
		})
	}
}

// Another endpoint may have the address, and the response to another request may come late.
func TestLimitInAnotherOnesResponseIsIgnored(t *testing.T) {
	for name, second := range map[string]handler{"another request's": respondWrongID, "another endpoint's": respondMisdirected} {
		t.Run(name, func(t *testing.T) {
			near := &endpoint{name: "near", handlers: sequence(limitTo("0.5", second))}
			d := newDeployment(t, near, &endpoint{name: "far", handlers: sequence(respondOK)})
			d.gateway.Fleet.Log = slog.New(slog.NewTextHandler(&d.log, nil))
			d.call(t, "/unsafe/x", validKey)
			qt.Assert(t, near.requests(), qt.HasLen, 1)
			qt.Check(t, d.log.String(), qt.Not(qt.Contains), "endpoint limits requests")
		})
	}
}
