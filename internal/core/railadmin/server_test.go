package railadmin_test

import (
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/fulmarrail/fulmarrail/internal/core/railadmin"
)

func TestMetricsRequireSharedKey(t *testing.T) {
	c := qt.New(t)
	lis := fasthttputil.NewInmemoryListener()
	ctx, cancel := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- (&railadmin.Server{Key: []byte("0123456789abcdef")}).Run(ctx, lis) }()
	client := &fasthttp.Client{Dial: func(string) (net.Conn, error) { return lis.Dial() }}
	for _, test := range []struct {
		path, authorization string
		status              int
	}{
		{"/metrics", "Bearer 0123456789abcdef", 200},
		{"/metrics", "Bearer another", 401},
		{"/metrics", "", 401},
		{"/other", "Bearer 0123456789abcdef", 404},
	} {
		var req fasthttp.Request
		var resp fasthttp.Response
		req.SetRequestURI("http://admin" + test.path)
		req.Header.Set("Authorization", test.authorization)
		c.Assert(client.Do(&req, &resp), qt.IsNil)
		c.Check(resp.StatusCode(), qt.Equals, test.status, qt.Commentf("%+v", test))
	}
	cancel()
	c.Check(<-runErr, qt.IsNil)
}
