package railgateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an endpoint that runs a request with another path than its caller's, even one that lies out of the prefix of its route.
func TestTargetReachesEndpointUnchanged(t *testing.T) {
	for _, target := range []string{
		"/unsafe/x", "/unsafe/a%2Fb", "/unsafe//a", "/unsafe/./a", "/unsafe/a/../b", "/unsafe/..%2Fadmin", "/unsafe/../admin", "/unsafe/%7Ea", "/unsafe/(7)",
		"/unsafe/a%2fb", "/unsafe/a;b=c", "/unsafe/a?q=%2F&r=a+b&s=(1)", "/unsafe/a?", "/unsafe/%20", "/unsafe/a?b?c", "/unsafe/'!*,=&$@:",
	} {
		t.Run(strings.ReplaceAll(target, "/", "|"), func(t *testing.T) {
			t.Parallel()
			got := make(chan string, 1)
			near := &endpoint{name: "near", handlers: sequence(func(w http.ResponseWriter, r *http.Request) {
				got <- r.RequestURI
				respondOK(w, r)
			})}
			d := newDeployment(t, near)
			conn, err := net.Dial("tcp", strings.TrimPrefix(d.url, "http://"))
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			write(t, conn, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: host.example\r\n%s: id-1\r\nAuthorization: Token %s\r\nContent-Length: 4\r\n\r\nbody", target, idHeader, validKey))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			qt.Assert(t, err, qt.IsNil)
			_ = resp.Body.Close()
			qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
			qt.Check(t, <-got, qt.Equals, target)
		})
	}
}
