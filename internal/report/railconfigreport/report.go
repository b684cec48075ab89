package railconfigreport

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/config/railcatalog"
	"github.com/fulmarrail/fulmarrail/internal/config/railroute"
	"github.com/fulmarrail/fulmarrail/internal/config/railzone"
)

// Report describes a configuration, without the customers' API keys.
type Report struct {
	Version   int64             `json:"version"`
	Routes    []railroute.Route `json:"routes"`
	Services  []service         `json:"services"`
	Customers []string          `json:"customers"`
	// Zones maps each zone to its state, and Weights maps each model to the wanted version of its weights.
	Zones   map[string]string `json:"zones"`
	Weights map[string]int64  `json:"weights"`
}

type service struct {
	Name          string              `json:"name"`
	ColdPerSecond float64             `json:"coldPerSecond,omitempty"`
	Origin        string              `json:"origin,omitempty"`
	Engine        *railbackend.Engine `json:"engine,omitempty"`
}

// New returns a report about catalog c of a deployment with the given zones.
func New(c railcatalog.Catalog, zones []string) Report {
	r := Report{Version: c.Version, Routes: c.Routes(), Customers: c.Customers(), Zones: map[string]string{}, Weights: c.WantedVersions()}
	for _, b := range c.Backends() {
		r.Services = append(r.Services, service{Name: b.Name, ColdPerSecond: b.ColdPerSecond, Origin: b.OriginAddress, Engine: b.Engine})
	}
	for _, zone := range zones {
		r.Zones[zone] = railzone.StateIn
	}
	for _, zone := range c.ZonesOut() {
		r.Zones[zone] = railzone.StateOut
	}
	return r
}

// WriteText writes the report in the format of the configuration files.
func (r Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "# configuration %d\n", r.Version)
	for _, route := range r.Routes {
		writeRoute(w, route)
	}
	for _, s := range r.Services {
		fmt.Fprintf(w, "\n[service %s]\n", s.Name)
		writeNonZero(w, "coldPerSecond", s.ColdPerSecond)
		writeNonZero(w, "origin", s.Origin)
		if s.Engine != nil {
			writeNonZero(w, "model", s.Engine.Model)
			writeNonZero(w, "slots", s.Engine.Slots)
			writeNonZero(w, "layers", s.Engine.Layers)
		}
	}
	for _, name := range r.Customers {
		fmt.Fprintf(w, "\n[customer %s]\n", name)
	}
	for _, zone := range slices.Sorted(maps.Keys(r.Zones)) {
		fmt.Fprintf(w, "\n[zone %s]\n", zone)
		writeNonZero(w, "state", r.Zones[zone])
	}
	for _, model := range slices.Sorted(maps.Keys(r.Weights)) {
		fmt.Fprintf(w, "\n[weights %s]\n", model)
		writeNonZero(w, "version", r.Weights[model])
	}
}

func writeRoute(w io.Writer, route railroute.Route) {
	var services []string
	for _, s := range route.Services {
		services = append(services, fmt.Sprintf("%s %d", s.Service, s.Weight))
	}
	fmt.Fprintf(w, "\n[route %s]\n", route.Name)
	writeNonZero(w, "host", route.Host)
	writeNonZero(w, "prefix", route.Prefix)
	writeNonZero(w, "kind", route.Kind)
	writeNonZero(w, "services", strings.Join(services, ", "))
	writeNonZero(w, "timeout", route.Timeout)
	writeNonZero(w, "target", route.TargetLatency)
	writeNonZero(w, "targetGap", route.MaxEventGap)
	writeNonZero(w, "rank", route.Rank)
	writeNonZero(w, "attempts", route.MaxAttempts)
	writeNonZero(w, "public", route.Public)
	writeNonZero(w, "resumable", route.Resumable)
	writeNonZero(w, "regions", strings.Join(route.Regions, ", "))
}

// writeNonZero writes a key and its value, unless it is the zero value.
func writeNonZero[V comparable](w io.Writer, key string, value V) {
	var zero V
	if value != zero {
		fmt.Fprintf(w, "%s = %v\n", key, value)
	}
}
