package railsite

import (
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/config/railini"
	"github.com/fulmarrail/fulmarrail/internal/config/railschema"
)

const (
	bytesPerMegabit  = 1e6 / 8
	bytesPerMegabyte = 1e6
	// minRevocationDelay leaves time for several calls of the store, so that keys are not refused while it responds.
	minRevocationDelay = 200 * time.Millisecond

	sectionProcess = "process"
	sectionBounds  = "bounds"
	sectionZones   = "zones"
)

// Settings are the settings of one process and of its deployment.
type Settings struct {
	Process Process
	Bounds  Bounds
	// ZoneRegions holds the region of each zone.
	ZoneRegions map[string]string
}

// Process holds the settings that differ between processes.
type Process struct {
	Name              string        `key:"name" required:"yes" help:"the process's name, unique in the deployment"`
	Zone              string        `key:"zone" required:"yes" help:"the availability zone that the process runs in"`
	Region            string        `key:"region" required:"yes" help:"the region that the zone lies in"`
	InternalAddress   string        `key:"inner" required:"yes" help:"IP address and port for the system's other processes, TCP and UDP"`
	StoreAddress      string        `key:"store" required:"yes" help:"IP address and port of the platform's store"`
	SharedKey         string        `key:"sharedKey" required:"yes" help:"the deployment's shared key; never logged"`
	CallerAddress     string        `key:"callers" help:"IP address and port for callers; gateways only"`
	ReadyAddress      string        `key:"ready" help:"IP address and port of the balancer's checks; gateways only"`
	AdminAddress      string        `key:"admin" help:"IP address and port for metrics; none when absent"`
	Service           string        `key:"service" help:"the service of the endpoint beside the process; carriers only"`
	EndpointAddress   string        `key:"endpoint" help:"IP address and port of that endpoint; carriers only"`
	LinkMbitPerSecond float64       `key:"link" unit:"Mbit/s" default:"0" min:"0" max:"1000000" help:"rate of the VM's link, each way, below which weights are paced; 0 for no pace"`
	MemoryMegabytes   int           `key:"memory" unit:"MB" default:"256" min:"32" max:"1000000" help:"memory that the process may use; gateways reject requests that would exceed it"`
	CallTimeout       time.Duration `key:"timeout" unit:"duration" default:"1s" min:"10ms" max:"1m" help:"longest time for one call of the store or one connection"`
	ObjectivePercent  float64       `key:"objective" unit:"percent" default:"99" min:"50" max:"99.999" help:"requests of each route that are to be answered whole and on time; gateways only"`
	LogLevel          string        `key:"logLevel" default:"info" oneof:"debug info warn error" help:"least level of the lines that are logged"`
}

// Bounds holds the limits that the deployment guarantees.
type Bounds struct {
	DrainDelay      time.Duration `key:"drain" unit:"duration" default:"2s" min:"1ms" max:"10m" help:"time after which a leaving endpoint gets no request"`
	GracePeriod     time.Duration `key:"grace" unit:"duration" default:"8s" min:"1s" max:"1h" help:"time from the request to stop to the end of the process"`
	ConfigDelay     time.Duration `key:"configuration" unit:"duration" default:"2s" min:"1ms" max:"10m" help:"time after which a configuration is in force everywhere"`
	RevocationDelay time.Duration `key:"revocation" unit:"duration" default:"0s" min:"0s" max:"10m" help:"time after which a key that was taken away is refused even by a process that is cut off; 0s for no such bound"`
	RolloutTime     time.Duration `key:"weights" unit:"duration" default:"8s" min:"1ms" max:"1h" help:"time after which no request begins on an older version of weights"`
	ColdOvershoot   float64       `key:"coldOvershoot" unit:"ratio" default:"1.5" min:"0" max:"100" help:"how far an endpoint's cold limit may be exceeded in one second"`
	ColdSlack       float64       `key:"coldSlack" unit:"requests" default:"5" min:"0" max:"10000" help:"requests beyond that in one second"`
	RetryShare      float64       `key:"repeatShare" unit:"share" default:"0.2" min:"0" max:"10" help:"repeats of requests, over all entries, as a share of the requests"`
}

// InternalHostPort returns the IP address of the process's VM and the port on which the system's processes listen on all VMs. It
// returns an error if the setting is not an address with a port.
func (p Process) InternalHostPort() (host, port string, err error) {
	host, port, err = net.SplitHostPort(p.InternalAddress)
	return host, port, errors.Wrap(err, "parse setting inner")
}

// MemoryBytes returns the memory that the process may use, in bytes.
func (p Process) MemoryBytes() int64 {
	return int64(p.MemoryMegabytes) * bytesPerMegabyte
}

// LinkBytesPerSecond returns the capacity of the VM's network link in bytes per second, or 0 if it is unknown.
func (p Process) LinkBytesPerSecond() int {
	return int(p.LinkMbitPerSecond * bytesPerMegabit)
}

// Load reads a settings file. It returns a joined error that names file, line and key of each fault.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings; specify the file with --settings")
	}
	return Parse(filepath.Base(path), data)
}

// Parse parses and validates settings. It returns a joined error that names file, line and key of each fault.
func Parse(file string, data []byte) (Settings, error) {
	doc, err := railini.Parse(file, data)
	if err != nil {
		return Settings{}, err
	}
	for _, name := range doc.Sections() {
		switch name {
		case sectionProcess, sectionBounds, sectionZones:
		default:
			return Settings{}, errors.Newf("%s: unknown section; known sections: process, bounds, zones", doc.Position(name, ""))
		}
	}
	process, err := railschema.Schema[Process]{}.Decode(doc, sectionProcess)
	bounds, boundsErr := railschema.Schema[Bounds]{}.Decode(doc, sectionBounds)
	s := Settings{Process: process, Bounds: bounds, ZoneRegions: map[string]string{}}
	for _, zone := range doc.Keys(sectionZones) {
		s.ZoneRegions[zone], _ = doc.Value(sectionZones, zone)
	}
	return s, errors.Join(err, boundsErr, s.check(doc))
}

// Level returns the minimum level of logged lines.
func (s Settings) Level() slog.Level {
	var level slog.Level
	_ = level.UnmarshalText([]byte(s.Process.LogLevel)) // The schema allows only valid level names.
	return level
}

func (s Settings) check(doc railini.Document) error {
	var errs []error
	addresses := map[string]string{
		"inner": s.Process.InternalAddress, "store": s.Process.StoreAddress, "callers": s.Process.CallerAddress, "ready": s.Process.ReadyAddress,
		"admin": s.Process.AdminAddress, "endpoint": s.Process.EndpointAddress,
	}
	for key, value := range addresses {
		if host, _, err := net.SplitHostPort(value); value != "" && (err != nil || net.ParseIP(host) == nil) {
			errs = append(errs, errors.Newf("%s: %q is not an IP address with a port, such as 10.0.0.7:7000", doc.Position(sectionProcess, key), value))
		}
	}
	if delay := s.Bounds.RevocationDelay; delay > 0 && delay < minRevocationDelay {
		errs = append(errs, errors.Newf("%s: %s is too short to confirm keys in time; use %s or more, or 0s for no bound", doc.Position(sectionBounds, "revocation"), delay, minRevocationDelay))
	}
	if _, ok := s.ZoneRegions[s.Process.Zone]; !ok && s.Process.Zone != "" {
		errs = append(errs, errors.Newf("%s: [zones] does not list %q", doc.Position(sectionProcess, "zone"), s.Process.Zone))
	}
	return errors.Join(errs...)
}
