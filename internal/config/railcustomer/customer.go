package railcustomer

import "slices"

// Customer is what the folder says of one customer.
type Customer struct {
	Name string `json:"name"`

	Weight int `json:"weight" key:"weight" unit:"share" default:"1" min:"1" max:"1000" help:"share of the service relative to other customers while requests wait"`
	// Regions are those that may serve the customer; none means all.
	Regions []string `json:"regions,omitempty"`
	// Rank goes before a route's rank where it is set; 0 is the most urgent.
	Rank *int `json:"rank,omitempty"`

	MaxPriority int `json:"maxPriority" key:"maxPriority" unit:"level" default:"9" min:"0" max:"9" help:"highest priority that the customer's requests may ask for"`
}

// AllowsRegion reports whether the customer may be served in a region.
func (c Customer) AllowsRegion(region string) bool {
	return len(c.Regions) == 0 || slices.Contains(c.Regions, region)
}

// WithName returns the customer under the given name.
func (c Customer) WithName(name string) Customer {
	c.Name = name
	return c
}
