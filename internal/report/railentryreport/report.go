package railentryreport

type zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	State  string `json:"state"`
}

type endpoint struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Service  string `json:"service"`
	Revision uint64 `json:"revision"`
	Serving  bool   `json:"serving"`
	Leaving  bool   `json:"leaving"`
	Running  int    `json:"running"`
	Limit    int    `json:"limit"`
}

type window struct {
	Minutes int    `json:"minutes"`
	Good    uint64 `json:"good"`
	Bad     uint64 `json:"bad"`
}

type objective struct {
	Name     string   `json:"name"`
	Service  string   `json:"service"`
	Customer string   `json:"customer,omitempty"`
	Target   float64  `json:"target"`
	Windows  []window `json:"windows"`
}

// Report is the status of an entry, its endpoints and its objectives, as reported by the entry.
type Report struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"revision"`
	// ConfirmedAgeMillis is the time in milliseconds since the store last confirmed the configuration.
	ConfirmedAgeMillis int64 `json:"confirmedAgeMillis"`
	Leaving            bool  `json:"leaving"`
	Isolated           bool  `json:"isolated"`
	// Running is the number of requests in flight.
	Running int `json:"running"`
	// ConfigError is the error for which the configuration folder was rejected, if any. Rejections maps each rejected file to its error.
	ConfigError string            `json:"fault,omitempty"`
	Rejections  map[string]string `json:"held,omitempty"`
	// PendingVersions maps services to versions of the weights whose manifests are not known yet. Versions and Manifests map services
	// to the version in force and the digest of its manifest.
	PendingVersions map[string]string `json:"pending,omitempty"`
	Versions        map[string]string `json:"versions,omitempty"`
	Manifests       map[string]string `json:"manifests,omitempty"`
	// QueuedRequests maps services to the number of requests waiting in the queue.
	QueuedRequests map[string]int `json:"waiting,omitempty"`
	Zones          []zone         `json:"zones"`
	Endpoints      []endpoint     `json:"endpoints"`
	Objectives     []objective    `json:"objectives,omitempty"`
}

// WithZone returns a copy of the report with a zone added.
func (r Report) WithZone(name, region, state string) Report {
	r.Zones = append(r.Zones[:len(r.Zones):len(r.Zones)], zone{Name: name, Region: region, State: state})
	return r
}

// WithEndpoint returns a copy of the report with an endpoint added.
func (r Report) WithEndpoint(name, zone, service string, revision uint64, serving, leaving bool, running, limit int) Report {
	r.Endpoints = append(r.Endpoints[:len(r.Endpoints):len(r.Endpoints)], endpoint{
		Name: name, Zone: zone, Service: service, Revision: revision, Serving: serving, Leaving: leaving,
		Running: running, Limit: limit,
	})
	return r
}

// WithObjective returns a copy of the report with an objective added that has no windows yet. The target is in percent.
func (r Report) WithObjective(name, service, customer string, target float64) Report {
	r.Objectives = append(r.Objectives[:len(r.Objectives):len(r.Objectives)], objective{
		Name: name, Service: service, Customer: customer, Target: target,
	})
	return r
}

// WithWindow returns a copy of the report with a window added to its last objective. It panics if there is no objective.
func (r Report) WithWindow(minutes int, good, bad uint64) Report {
	objectives := append([]objective(nil), r.Objectives...)
	last := &objectives[len(objectives)-1]
	last.Windows = append(last.Windows[:len(last.Windows):len(last.Windows)], window{Minutes: minutes, Good: good, Bad: bad})
	r.Objectives = objectives
	return r
}
