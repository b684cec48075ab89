package railobjective

import "time"

// Objective is the configuration of one service-level objective.
type Objective struct {
	Name string `json:"name"`

	Service              string        `json:"service" key:"service" required:"yes" help:"the service that the objective is for"`
	Customer             string        `json:"customer" key:"customer" help:"the customer that the objective is for; all customers when absent"`
	TargetPercent        float64       `json:"target" key:"target" unit:"percent" default:"99.9" min:"50" max:"99.999" help:"requests that must be good"`
	MaxTimeToFirstToken  time.Duration `json:"firstToken" key:"firstToken" unit:"duration" default:"0s" min:"0s" max:"10m" help:"longest time to the first byte of a good answer; 0s for no bound"`
	MaxTimeBetweenTokens time.Duration `json:"betweenTokens" key:"betweenTokens" unit:"duration" default:"0s" min:"0s" max:"10m" help:"longest mean time between the parts of a good answer; 0s for no bound"`
}

// WithName returns a copy of the objective with the given name.
func (o Objective) WithName(name string) Objective {
	o.Name = name
	return o
}
