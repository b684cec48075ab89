package railgateway_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railcatalog"
	"github.com/fulmarrail/fulmarrail/internal/config/railcustomer"
)

// Guards against requests that run without a valid key once the last key of all was taken away.
func TestNoKeyIsAcceptedOnceTheLastOneIsGone(t *testing.T) {
	for name, customers := range map[string]map[string]railcustomer.Customer{
		"none left":   {},
		"none listed": nil,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			near := &endpoint{name: "near", handlers: sequence(respondOK)}
			d := newDeployment(t, near)
			qt.Check(t, d.call(t, "/unsafe/x", validKey).status, qt.Equals, http.StatusOK)
			d.changeCatalog(func(c railcatalog.Catalog) railcatalog.Catalog { return c.WithCustomers(customers) })
			for _, key := range []string{validKey, "never-known", ""} {
				qt.Check(t, d.call(t, "/unsafe/x", key).status, qt.Equals, http.StatusUnauthorized, qt.Commentf("key %q", key))
			}
			d.mu.Lock()
			d.configAge = time.Minute
			d.mu.Unlock()
			qt.Check(t, d.call(t, "/unsafe/x", validKey).status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("keys can't be checked"))
			qt.Check(t, len(near.requests()), qt.Equals, 1)
		})
	}
}
