package railorigin

import "time"

// Origin is the configuration of an origin of weights.
type Origin struct {
	Name string `json:"name"`

	Region        string        `json:"region" key:"region" required:"yes" help:"the region whose agents draw from the origin; other regions draw from that one"`
	TakeoverDelay time.Duration `json:"takeover" key:"takeover" unit:"duration" default:"3s" min:"100ms" max:"10m" help:"time after which the next agent in order imports a chunk that the first has not delivered"`
}

// WithName returns a copy of the origin with the given name.
func (o Origin) WithName(name string) Origin {
	o.Name = name
	return o
}
