package railcatalog

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/config/railcustomer"
	"github.com/fulmarrail/fulmarrail/internal/config/railroute"
)

// Catalog is an immutable snapshot of the configuration.
type Catalog struct {
	// Version is the revision number of the configuration.
	Version int64
	// Limits applies to every client request.
	Limits Limits

	routesByHost   map[string][]railroute.Route
	backends       map[string]railbackend.Backend
	customersByKey map[string]railcustomer.Customer
	// requiresKeys is set once the customers were set, also if there is none.
	requiresKeys   bool
	zonesOut       map[string]bool
	wantedVersions map[string]int64
}

// Limits bounds the size of client requests, and how long clients may take or stay idle; 0 means unlimited.
type Limits struct {
	// MaxHeaderBytes bounds a request's head: its request line and its headers.
	MaxHeaderBytes int
	MaxBodyBytes   int
	// HeaderTimeout is the time for a request's head, from its first byte.
	HeaderTimeout time.Duration
	// IdleTimeout is the time that a connection may stay idle between requests.
	IdleTimeout time.Duration
}

// Match returns the route for the host with the longest prefix of the path, or false if no route matches.
func (c Catalog) Match(host, path string) (railroute.Route, bool) {
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return railroute.Route{}, false
}

// Routes returns all routes sorted by host, then by descending prefix length.
func (c Catalog) Routes() []railroute.Route {
	var list []railroute.Route
	for _, host := range slices.Sorted(maps.Keys(c.routesByHost)) {
		list = append(list, c.routesByHost[host]...)
	}
	return list
}

// Customers returns the sorted names of all customers, without duplicates.
func (c Catalog) Customers() []string {
	var names []string
	for _, v := range c.customersByKey {
		names = append(names, v.Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// ZonesOut returns the sorted names of the zones that are out of service: their endpoints receive no requests.
func (c Catalog) ZonesOut() []string {
	return slices.Sorted(maps.Keys(c.zonesOut))
}

// WantedVersions returns the latest requested version of the weights of each model.
func (c Catalog) WantedVersions() map[string]int64 {
	return maps.Clone(c.wantedVersions)
}

// CustomerByKey returns the customer that owns an API key, or false if the key is unknown.
func (c Catalog) CustomerByKey(key string) (railcustomer.Customer, bool) {
	v, ok := c.customersByKey[key]
	return v, ok
}

// RequiresKeys reports whether requests must present an API key. This is so if the configuration lists customers, even if none of them has
// a key or the list is empty.
func (c Catalog) RequiresKeys() bool {
	return c.requiresKeys
}

// Backend returns the service with the given name, or false if there is none.
func (c Catalog) Backend(name string) (railbackend.Backend, bool) {
	v, ok := c.backends[name]
	return v, ok
}

// Backends returns all services sorted by name.
func (c Catalog) Backends() []railbackend.Backend {
	list := make([]railbackend.Backend, 0, len(c.backends))
	for _, name := range slices.Sorted(maps.Keys(c.backends)) {
		list = append(list, c.backends[name])
	}
	return list
}

// Origin returns the service from which weights are downloaded, or false if none is configured.
func (c Catalog) Origin() (railbackend.Backend, bool) {
	for _, b := range c.Backends() {
		if b.OriginAddress != "" {
			return b, true
		}
	}
	return railbackend.Backend{}, false
}

// ZoneOut reports whether a zone is out of service.
func (c Catalog) ZoneOut(zone string) bool {
	return c.zonesOut[zone]
}

// WantedVersion returns the latest requested version of a model's weights, or false if none was requested.
func (c Catalog) WantedVersion(model string) (int64, bool) {
	v, ok := c.wantedVersions[model]
	return v, ok
}

// HasWantedVersions reports whether a version of the weights is requested for any model.
func (c Catalog) HasWantedVersions() bool {
	return len(c.wantedVersions) > 0
}

// WithRoutes returns a copy of the catalog with its routes replaced.
func (c Catalog) WithRoutes(routes []railroute.Route) Catalog {
	c.routesByHost = map[string][]railroute.Route{}
	for _, r := range routes {
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	for _, list := range c.routesByHost {
		slices.SortStableFunc(list, func(a, b railroute.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

// WithBackends returns a copy of the catalog with its services replaced.
func (c Catalog) WithBackends(backends []railbackend.Backend) Catalog {
	c.backends = map[string]railbackend.Backend{}
	for _, b := range backends {
		c.backends[b.Name] = b
	}
	return c
}

// WithCustomers returns a copy of the catalog that requires keys, with its customers replaced; the map is keyed by API key.
func (c Catalog) WithCustomers(customers map[string]railcustomer.Customer) Catalog {
	c.customersByKey, c.requiresKeys = maps.Clone(customers), true
	return c
}

// WithZonesOut returns a copy of the catalog in which exactly these zones are out of service.
func (c Catalog) WithZonesOut(zones []string) Catalog {
	c.zonesOut = map[string]bool{}
	for _, z := range zones {
		c.zonesOut[z] = true
	}
	return c
}

// WithWantedVersions returns a copy of the catalog with its requested weights versions, by model, replaced.
func (c Catalog) WithWantedVersions(versions map[string]int64) Catalog {
	c.wantedVersions = maps.Clone(versions)
	return c
}
