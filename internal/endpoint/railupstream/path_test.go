package railupstream_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railupstream"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// Guards against an endpoint that runs a request with another path than its caller's.
func TestTargetReachesEndpointUnchanged(t *testing.T) {
	targets := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { targets <- r.RequestURI }))
	defer server.Close()
	client := &railupstream.Client{Address: strings.TrimPrefix(server.URL, "http://")}
	for _, target := range []string{"/a%2Fb", "//a", "/./a", "/a/../b", "/%7Ea", "/(7)", "/a?q=%2F&s=(1)", "/a?"} {
		_, err := client.Run(t.Context(), &railproto.ExecuteRequest{RequestId: "r", Path: target, Idempotent: true}, func(*railproto.Frame) {})
		qt.Check(t, err, qt.IsNil, qt.Commentf("%s", target))
		qt.Check(t, <-targets, qt.Equals, target)
	}
}
