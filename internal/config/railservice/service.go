package railservice

import "time"

const (
	// KindEngine is the kind of services whose endpoints are model engines, which need weights.
	KindEngine = "engine"
	// KindPlain is the kind of services without weights.
	KindPlain = "plain"
	// RefuseWhenIsolated is the value of WhenIsolated with which an isolated entry rejects the service's requests.
	RefuseWhenIsolated = "refuse"
)

// Service is the configuration of one service.
type Service struct {
	Name string `json:"name"`

	Kind                  string        `json:"kind" key:"kind" required:"yes" oneof:"engine plain" help:"engine for model engines that need weights, plain for all else"`
	Version               string        `json:"version" key:"version" help:"name of the weights' version that the service's engines hold; engines only"`
	Idempotent            bool          `json:"repeatable" key:"repeatable" default:"yes" help:"whether a call may be run again when it is not known to have run"`
	ColdLimit             int           `json:"coldLimit" key:"coldLimit" unit:"requests" default:"2" min:"1" max:"10000" help:"requests that an endpoint in cold start bears at once"`
	MaxLimit              int           `json:"maxLimit" key:"maxLimit" unit:"requests" default:"64" min:"1" max:"100000" help:"requests that a warm endpoint bears at once at the most"`
	WarmAfterAnswers      int           `json:"warmAfter" key:"warmAfter" unit:"answers" default:"100" min:"0" max:"1000000" help:"answers after a cold start before which an endpoint does not bear maxLimit"`
	FirstTokenTarget      time.Duration `json:"firstTokenTarget" key:"firstTokenTarget" unit:"duration" default:"570ms" min:"1ms" max:"10m" help:"time to the first byte of an answer above which an endpoint's limit is cut"`
	DefaultTimeout        time.Duration `json:"deadline" key:"deadline" unit:"duration" default:"30s" min:"10ms" max:"1h" help:"time after which a request is given up where its caller names none"`
	QueueSize             int           `json:"queueSize" key:"queueSize" unit:"requests" default:"256" min:"0" max:"100000" help:"requests that wait at one entry at the most"`
	MaxBodyBytes          int           `json:"maxBody" key:"maxBody" unit:"bytes" default:"1048576" min:"1" max:"16777216" help:"largest body of a request"`
	SubsetSize            int           `json:"subset" key:"subset" unit:"endpoints" default:"20" min:"1" max:"10000" help:"endpoints that one entry watches"`
	RetryShare            float64       `json:"retryShare" key:"retryShare" unit:"share" default:"0.1" min:"0" max:"1" help:"retries of possibly run requests as a share of successes"`
	MaxUnavailable        int           `json:"switchSlots" key:"switchSlots" unit:"endpoints" default:"1" min:"1" max:"1000" help:"endpoints of a zone that may be out of service at once to load weights"`
	WeightsBytesPerSecond int           `json:"weightsRate" key:"weightsRate" unit:"bytes/s" default:"100000000" min:"1000" max:"100000000000" help:"pace of weight traffic at one machine, each way"`
	WhenIsolated          string        `json:"whenIsolated" key:"whenIsolated" default:"refuse" oneof:"refuse serve" help:"what an entry does that reaches neither the platform nor most entries"`
}

// WithName returns a copy of the service with the given name.
func (s Service) WithName(name string) Service {
	s.Name = name
	return s
}

// IsEngine reports whether the service's endpoints need weights.
func (s Service) IsEngine() bool {
	return s.Kind == KindEngine
}
