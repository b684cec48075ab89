package railcatalog

import (
	"maps"
	"slices"
	"strings"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/config/railcustomer"
	"github.com/fulmarrail/fulmarrail/internal/config/railroute"
)

// Catalog is one immutable state of the configuration.
type Catalog struct {
	// Version is the configuration's number.
	Version int64
	// Limits bound what callers may send.
	Limits Limits

	hosts     map[string][]railroute.Route
	backends  map[string]railbackend.Backend
	customers map[string]railcustomer.Customer
	out       map[string]bool
	wanted    map[string]int64
}

// Limits bound what callers may send; 0 means no bound.
type Limits struct {
	MaxBodyBytes int
}

// Match returns the route whose host is the given one and whose prefix is the longest that begins the path.
func (c Catalog) Match(host, path string) (railroute.Route, bool) {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return railroute.Route{}, false
}

// Routes returns all routes by host, the longest prefixes first.
func (c Catalog) Routes() []railroute.Route {
	var list []railroute.Route
	for _, host := range slices.Sorted(maps.Keys(c.hosts)) {
		list = append(list, c.hosts[host]...)
	}
	return list
}

// Customers returns the names of all customers.
func (c Catalog) Customers() []string {
	var names []string
	for _, v := range c.customers {
		names = append(names, v.Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// ZonesOut returns the zones whose endpoints are to get nothing.
func (c Catalog) ZonesOut() []string {
	return slices.Sorted(maps.Keys(c.out))
}

// WantedVersions returns the versions of weights that were named last, by model.
func (c Catalog) WantedVersions() map[string]int64 {
	return maps.Clone(c.wanted)
}

// CustomerByKey returns the customer that holds a key.
func (c Catalog) CustomerByKey(key string) (railcustomer.Customer, bool) {
	v, ok := c.customers[key]
	return v, ok
}

// RequiresKeys reports whether the configuration knows customers at all.
func (c Catalog) RequiresKeys() bool {
	return len(c.customers) > 0
}

// Backend returns the service with the given name.
func (c Catalog) Backend(name string) (railbackend.Backend, bool) {
	v, ok := c.backends[name]
	return v, ok
}

// Backends returns all services by name.
func (c Catalog) Backends() []railbackend.Backend {
	list := make([]railbackend.Backend, 0, len(c.backends))
	for _, name := range slices.Sorted(maps.Keys(c.backends)) {
		list = append(list, c.backends[name])
	}
	return list
}

// Origin returns the service that is the origin of weights.
func (c Catalog) Origin() (railbackend.Backend, bool) {
	for _, b := range c.Backends() {
		if b.OriginAddress != "" {
			return b, true
		}
	}
	return railbackend.Backend{}, false
}

// ZoneOut reports whether a zone's endpoints are to get nothing.
func (c Catalog) ZoneOut(zone string) bool {
	return c.out[zone]
}

// WantedVersion returns the version of a model's weights that was named last, or false when none was.
func (c Catalog) WantedVersion(model string) (int64, bool) {
	v, ok := c.wanted[model]
	return v, ok
}

// HasWantedVersions reports whether a version of any model's weights was named.
func (c Catalog) HasWantedVersions() bool {
	return len(c.wanted) > 0
}

// WithRoutes returns the catalog with these routes in place of its own.
func (c Catalog) WithRoutes(routes []railroute.Route) Catalog {
	c.hosts = map[string][]railroute.Route{}
	for _, r := range routes {
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, list := range c.hosts {
		slices.SortStableFunc(list, func(a, b railroute.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

// WithBackends returns the catalog with these services in place of its own.
func (c Catalog) WithBackends(backends []railbackend.Backend) Catalog {
	c.backends = map[string]railbackend.Backend{}
	for _, b := range backends {
		c.backends[b.Name] = b
	}
	return c
}

// WithCustomers returns the catalog with these customers, by their keys, in place of its own.
func (c Catalog) WithCustomers(customers map[string]railcustomer.Customer) Catalog {
	c.customers = maps.Clone(customers)
	return c
}

// WithZonesOut returns the catalog with exactly these zones taken out.
func (c Catalog) WithZonesOut(zones []string) Catalog {
	c.out = map[string]bool{}
	for _, z := range zones {
		c.out[z] = true
	}
	return c
}

// WithWantedVersions returns the catalog with these versions of weights, by model.
func (c Catalog) WithWantedVersions(versions map[string]int64) Catalog {
	c.wanted = maps.Clone(versions)
	return c
}
