package raildeployment_test

import (
	"context"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/lab/raildeployment"
	"github.com/fulmarrail/fulmarrail/internal/standin/railengine"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
)

const configFile = `
[origin main]
region = a
[zone a]
region = a
[zone b]
region = b
[customer harbour]
[service assistant]
kind = engine
version = v1
coldLimit = 4
[service orders]
kind = plain
repeatable = no
coldLimit = 8
maxBody = 8388608
`

// startDeployment starts a deployment whose engines serve the weights with the returned digest.
func startDeployment(ctx context.Context, c *qt.C) (d *raildeployment.Deployment, digest string) {
	level := slog.LevelWarn
	if os.Getenv("VERBOSE") != "" {
		level = slog.LevelDebug
	}
	platform := &railplatform.Platform{}
	m := platform.AddWeights("v1", []byte(strings.Repeat("weights", 100_000)), 64<<10)
	d = &raildeployment.Deployment{
		Zones: []string{"a", "b"}, EntriesPerZone: 1, EnginesPerZone: 2, OrderServicesPerZone: 1, ConfigDir: c.TempDir(), SharedKey: []byte("0123456789abcdef"),
		Platform: platform, Log: slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})),
		NewEngine: func(name string) *railengine.Engine {
			return &railengine.Engine{
				ColdCapacity: 4, WarmCapacity: 16, WarmUpRequests: 10, FirstToken: 5 * time.Millisecond, BetweenTokens: time.Millisecond, Incarnation: name,
			}
		},
	}
	c.Assert(d.WriteFile("10.ini", configFile), qt.IsNil)
	c.Assert(d.Start(ctx), qt.IsNil)
	c.Cleanup(d.Stop)
	c.Assert(d.WaitReady(ctx), qt.IsNil)
	c.Assert(d.WaitServing(ctx, m.Digest(), 4), qt.IsNil)
	time.Sleep(1500 * time.Millisecond)
	return d, m.Digest()
}

func TestDeploymentServesChatAndOrders(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	d, digest := startDeployment(ctx, c)
	for name, address := range d.CallerAddresses() {
		status, body, _ := post(c, address, "/assistant/v1/chat", `{"maxTokens": 5}`, "")
		c.Check(status, qt.Equals, 200, qt.Commentf("%s: %s", name, body))
		c.Check(body, qt.Contains, "event: end")
		c.Check(body, qt.Contains, digest)
		status, body, verdict := post(c, address, "/orders/print", `{"order": 1}`, "key-1")
		c.Check(status, qt.Equals, 200, qt.Commentf("%s: %s", name, body))
		c.Check(verdict, qt.Equals, "ran")
		c.Check(body, qt.Equals, `{"committed":1}`)
	}
	c.Check(d.CommitCounts(), qt.DeepEquals, map[string]int{"key-1": 1})
	for _, address := range d.CallerAddresses() {
		status, body, _ := post(c, address, "/orders/print", strings.Repeat("x", 6<<20), "large")
		c.Check(status, qt.Equals, 200, qt.Commentf("%.200s", body))
	}
}

func post(c *qt.C, address, path, body, key string) (status int, respBody, verdict string) {
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set("Fulmarrail-Customer", "harbour")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	req.SetBodyString(body)
	c.Assert(fasthttp.DoTimeout(&req, &resp, 10*time.Second), qt.IsNil)
	return resp.StatusCode(), string(resp.Body()), string(resp.Header.Peek("Fulmarrail-Verdict"))
}
