package railadmin

import (
	"context"
	"crypto/subtle"
	"net"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const bearer = "Bearer "

// Server serves /metrics; its fields are set before Run.
type Server struct {
	// Key is the deployment's shared key, which callers must present; without one anybody may read the metrics.
	Key []byte
}

// Run serves until ctx is done.
func (s *Server) Run(ctx context.Context, lis net.Listener) error {
	server := &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true}
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown() })
	defer stop()
	return errors.Wrap(server.Serve(lis), "serve the admin address")
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	proof := ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)
	want := append([]byte(bearer), s.Key...)
	if len(s.Key) > 0 && subtle.ConstantTimeCompare(proof, want) != 1 {
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
