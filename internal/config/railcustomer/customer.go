package railcustomer

import "slices"

// Customer is the configuration of one customer.
type Customer struct {
	Name string `json:"name"`

	Weight int `json:"weight" key:"weight" unit:"share" default:"1" min:"1" max:"1000" help:"share of the service relative to other customers while requests wait"`
	// Regions lists the regions that may serve the customer; an empty list allows all.
	Regions []string `json:"regions,omitempty"`
	// Rank overrides the rank of the route unless it is nil; 0 is the most urgent.
	Rank *int `json:"rank,omitempty"`

	MaxPriority int `json:"maxPriority" key:"maxPriority" unit:"level" default:"9" min:"0" max:"9" help:"highest priority that the customer's requests may ask for"`
}

// AllowsRegion reports whether the customer may be served in a region.
func (c Customer) AllowsRegion(region string) bool {
	return len(c.Regions) == 0 || slices.Contains(c.Regions, region)
}

// WithName returns a copy of the customer with the given name.
func (c Customer) WithName(name string) Customer {
	c.Name = name
	return c
}
