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

// Report is a configuration without the customers' keys.
type Report struct {
	Version   int64             `json:"version"`
	Routes    []railroute.Route `json:"routes"`
	Services  []service         `json:"services"`
	Customers []string          `json:"customers"`
	// Zones holds the state of each zone, and Weights the version wanted of each model.
	Zones   map[string]string `json:"zones"`
	Weights map[string]int64  `json:"weights"`
}

type service struct {
	Name          string              `json:"name"`
	ColdPerSecond float64             `json:"coldPerSecond,omitempty"`
	Origin        string              `json:"origin,omitempty"`
	Engine        *railbackend.Engine `json:"engine,omitempty"`
}

// New returns the report on a catalog in a deployment with the given zones.
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

// WriteText writes the report in the form of the folder's files.
func (r Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "# configuration %d\n", r.Version)
	for _, route := range r.Routes {
		writeRoute(w, route)
	}
	for _, s := range r.Services {
		fmt.Fprintf(w, "\n[service %s]\n", s.Name)
		write(w, "coldPerSecond", s.ColdPerSecond)
		write(w, "origin", s.Origin)
		if s.Engine != nil {
			write(w, "model", s.Engine.Model)
			write(w, "slots", s.Engine.Slots)
			write(w, "layers", s.Engine.Layers)
		}
	}
	for _, name := range r.Customers {
		fmt.Fprintf(w, "\n[customer %s]\n", name)
	}
	for _, zone := range slices.Sorted(maps.Keys(r.Zones)) {
		fmt.Fprintf(w, "\n[zone %s]\n", zone)
		write(w, "state", r.Zones[zone])
	}
	for _, model := range slices.Sorted(maps.Keys(r.Weights)) {
		fmt.Fprintf(w, "\n[weights %s]\n", model)
		write(w, "version", r.Weights[model])
	}
}

func writeRoute(w io.Writer, r railroute.Route) {
	var services []string
	for _, s := range r.Services {
		services = append(services, fmt.Sprintf("%s %d", s.Service, s.Weight))
	}
	fmt.Fprintf(w, "\n[route %s]\n", r.Name)
	write(w, "host", r.Host)
	write(w, "prefix", r.Prefix)
	write(w, "kind", r.Kind)
	write(w, "services", strings.Join(services, ", "))
	write(w, "timeout", r.Timeout)
	write(w, "target", r.TargetLatency)
	write(w, "targetGap", r.MaxEventGap)
	write(w, "rank", r.Rank)
	write(w, "attempts", r.MaxAttempts)
	write(w, "public", r.Public)
	write(w, "resumable", r.Resumable)
	write(w, "regions", strings.Join(r.Regions, ", "))
}

// write writes a key unless its value says nothing.
func write[V comparable](w io.Writer, key string, value V) {
	var none V
	if value != none {
		fmt.Fprintf(w, "%s = %v\n", key, value)
	}
}
