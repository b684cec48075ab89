package railzone

import "time"

const (
	// StateIn is the state of a zone that receives new requests.
	StateIn = "in"
	// StateOut is the state of a zone that is out of service: it receives no new requests.
	StateOut = "out"
)

// Zone is the configuration of one availability zone.
type Zone struct {
	Name string `json:"name"`

	Region string        `json:"region" key:"region" required:"yes" help:"the region that the zone lies in"`
	State  string        `json:"state" key:"state" default:"in" oneof:"in out" help:"out takes the zone out: it gets no new work"`
	RampUp time.Duration `json:"rampUp" key:"rampUp" unit:"duration" default:"10s" min:"0s" max:"1h" help:"time over which a zone's share of new work grows on return"`
}

// WithName returns a copy of the zone with the given name.
func (z Zone) WithName(name string) Zone {
	z.Name = name
	return z
}

// IsOut reports whether the zone is out of service.
func (z Zone) IsOut() bool {
	return z.State == StateOut
}
