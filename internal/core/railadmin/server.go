package railadmin

import (
	"context"
	"crypto/subtle"
	"net"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const bearerPrefix = "Bearer "

// Server serves the process's metrics at /metrics in the Prometheus text format. Its fields must be set before Run.
type Server struct {
	// Key is the deployment's shared key, which clients must send as a bearer token. If it is empty, requests are not authenticated.
	Key []byte
}

// Run serves HTTP requests on lis until ctx is done, and then shuts the server down.
func (s *Server) Run(ctx context.Context, lis net.Listener) error {
	server := &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true}
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown() })
	defer stop()
	return errors.Wrap(server.Serve(lis), "serve the admin address")
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	authorization := ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)
	want := append([]byte(bearerPrefix), s.Key...)
	if len(s.Key) > 0 && subtle.ConstantTimeCompare(authorization, want) != 1 {
		ctx.Error("present the deployment's shared key as a bearer token", fasthttp.StatusUnauthorized)
		return
	}
	if string(ctx.Path()) != "/metrics" {
		ctx.Error("use /metrics", fasthttp.StatusNotFound)
		return
	}
	ctx.SetContentType("text/plain; charset=utf-8")
	metrics.WritePrometheus(ctx, true)
}
