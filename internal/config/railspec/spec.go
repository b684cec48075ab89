package railspec

import (
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/config/railcustomer"
	"github.com/fulmarrail/fulmarrail/internal/config/railini"
	"github.com/fulmarrail/fulmarrail/internal/config/railobjective"
	"github.com/fulmarrail/fulmarrail/internal/config/railorigin"
	"github.com/fulmarrail/fulmarrail/internal/config/railschema"
	"github.com/fulmarrail/fulmarrail/internal/config/railservice"
	"github.com/fulmarrail/fulmarrail/internal/config/railzone"
)

const (
	kindService   = "service"
	kindZone      = "zone"
	kindCustomer  = "customer"
	kindObjective = "objective"
	kindOrigin    = "origin"

	knownKinds = "service, zone, customer, objective, origin"
)

// Spec is the immutable, validated content of a configuration directory.
type Spec struct {
	services   map[string]railservice.Service
	zones      map[string]railzone.Zone
	customers  map[string]railcustomer.Customer
	objectives map[string]railobjective.Objective
	origins    map[string]railorigin.Origin
}

// New decodes and validates a merged document. It returns one joined error that names file, line and key of every fault.
func New(doc railini.Document) (Spec, error) {
	s := Spec{
		services:   map[string]railservice.Service{},
		zones:      map[string]railzone.Zone{},
		customers:  map[string]railcustomer.Customer{},
		objectives: map[string]railobjective.Objective{},
		origins:    map[string]railorigin.Origin{},
	}
	var errs []error
	for _, section := range doc.Sections() {
		errs = append(errs, s.addSection(doc, section))
	}
	errs = append(errs, s.checkReferences(doc))
	return s, errors.Join(errs...)
}

// CheckFile validates a single file of a configuration directory, in which required keys may be missing.
func CheckFile(doc railini.Document) error {
	var errs []error
	for _, section := range doc.Sections() {
		kind, _, err := splitSection(doc, section)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		switch kind {
		case kindService:
			err = railschema.Schema[railservice.Service]{}.CheckPartial(doc, section)
		case kindZone:
			err = railschema.Schema[railzone.Zone]{}.CheckPartial(doc, section)
		case kindCustomer:
			err = railschema.Schema[railcustomer.Customer]{}.CheckPartial(doc, section)
		case kindObjective:
			err = railschema.Schema[railobjective.Objective]{}.CheckPartial(doc, section)
		case kindOrigin:
			err = railschema.Schema[railorigin.Origin]{}.CheckPartial(doc, section)
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// Service returns the service with the given name, or false if there is none.
func (s Spec) Service(name string) (railservice.Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Services returns all services sorted by name.
func (s Spec) Services() []railservice.Service {
	return sortedByName(s.services)
}

// Zone returns the zone with the given name, or false if there is none.
func (s Spec) Zone(name string) (railzone.Zone, bool) {
	v, ok := s.zones[name]
	return v, ok
}

// Zones returns all zones sorted by name.
func (s Spec) Zones() []railzone.Zone {
	return sortedByName(s.zones)
}

// Customer returns the customer with the given name, or false if there is none.
func (s Spec) Customer(name string) (railcustomer.Customer, bool) {
	v, ok := s.customers[name]
	return v, ok
}

// Customers returns all customers sorted by name.
func (s Spec) Customers() []railcustomer.Customer {
	return sortedByName(s.customers)
}

// Objectives returns all objectives sorted by name.
func (s Spec) Objectives() []railobjective.Objective {
	return sortedByName(s.objectives)
}

// Origin returns the origin of weights, or false if none is configured.
func (s Spec) Origin() (railorigin.Origin, bool) {
	origins := sortedByName(s.origins)
	if len(origins) == 0 {
		return railorigin.Origin{}, false
	}
	return origins[0], true
}

func (s Spec) addSection(doc railini.Document, section string) error {
	kind, name, err := splitSection(doc, section)
	if err != nil {
		return err
	}
	switch kind {
	case kindService:
		return decodeInto(s.services, doc, section, name)
	case kindZone:
		return decodeInto(s.zones, doc, section, name)
	case kindCustomer:
		return decodeInto(s.customers, doc, section, name)
	case kindObjective:
		return decodeInto(s.objectives, doc, section, name)
	default:
		return decodeInto(s.origins, doc, section, name)
	}
}

// checkReferences checks keys that depend on each other and references between sections.
func (s Spec) checkReferences(doc railini.Document) error {
	var errs []error
	hasEngines := false
	for _, service := range s.Services() {
		section := kindService + " " + service.Name
		if service.ColdLimit > service.MaxLimit {
			errs = append(errs, errors.Newf("%s: %d is above maxLimit %d", doc.Position(section, "coldLimit"), service.ColdLimit, service.MaxLimit))
		}
		if service.IsEngine() && service.Version == "" {
			errs = append(errs, errors.Newf("%s: missing; an engine service requires the version of its weights", doc.Position(section, "version")))
		}
		if service.IsEngine() && !service.Idempotent {
			errs = append(errs, errors.Newf("%s: an engine's calls are repeatable; remove the key", doc.Position(section, "repeatable")))
		}
		if !service.IsEngine() && service.Version != "" {
			errs = append(errs, errors.Newf("%s: a plain service has no weights; remove the key", doc.Position(section, "version")))
		}
		hasEngines = hasEngines || service.IsEngine()
	}
	for _, o := range s.Objectives() {
		section := kindObjective + " " + o.Name
		if _, ok := s.services[o.Service]; !ok {
			errs = append(errs, errors.Newf("%s: there is no [service %s]", doc.Position(section, "service"), o.Service))
		}
		if _, ok := s.customers[o.Customer]; o.Customer != "" && !ok {
			errs = append(errs, errors.Newf("%s: there is no [customer %s]", doc.Position(section, "customer"), o.Customer))
		}
	}
	if hasEngines && len(s.origins) != 1 {
		errs = append(errs, errors.Newf("the folder has %d [origin NAME] sections; engine services need exactly one", len(s.origins)))
	}
	return errors.Join(errs...)
}

func splitSection(doc railini.Document, section string) (kind, name string, err error) {
	kind, name, _ = strings.Cut(section, " ")
	switch kind {
	case kindService, kindZone, kindCustomer, kindObjective, kindOrigin:
	default:
		return "", "", errors.Newf("%s: unknown kind %q; known kinds: %s", doc.Position(section, ""), kind, knownKinds)
	}
	if name == "" || strings.ContainsAny(name, " /") {
		return "", "", errors.Newf("%s: expected one name without spaces or slashes, as in [%s NAME]", doc.Position(section, ""), kind)
	}
	return kind, name, nil
}

func decodeInto[T interface{ WithName(string) T }](m map[string]T, doc railini.Document, section, name string) error {
	value, err := railschema.Schema[T]{}.Decode(doc, section)
	if err != nil {
		return err
	}
	m[name] = value.WithName(name)
	return nil
}

func sortedByName[T any](m map[string]T) []T {
	list := make([]T, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		list = append(list, m[name])
	}
	return list
}
