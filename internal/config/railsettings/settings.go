package railsettings

import (
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/config/raildocument"
	"github.com/fulmarrail/fulmarrail/internal/config/railschema"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
)

// Section is the name of the one section of a settings file.
const Section = "process"

const minSharedKeyBytes = 16

// Settings are the settings of one process, shared with no other.
type Settings struct {
	Name             string        `key:"name" required:"yes" help:"the process's name in the platform's VM list"`
	Zone             string        `key:"zone" required:"yes" help:"the availability zone that the process runs in"`
	Region           string        `key:"region" required:"yes" help:"the region that the zone lies in"`
	InternalAddress  string        `key:"inner" required:"yes" help:"IP address and port for the system's other processes"`
	PlatformAddress  string        `key:"platform" required:"yes" help:"IP address and port of the platform's services"`
	SharedKey        string        `key:"sharedKey" required:"yes" help:"the deployment's shared key, at least 16 characters; never logged"`
	CallerAddress    string        `key:"callers" help:"IP address and port for callers; entries only"`
	AdminAddress     string        `key:"admin" help:"IP address and port for metrics; none when absent"`
	AdvertiseAddress string        `key:"advertise" help:"address under which others reach inner; inner itself when absent"`
	ConfigDir        string        `key:"folder" help:"directory of the operators' files; an entry without it follows the others"`
	Service          string        `key:"service" help:"the service of the endpoint beside the process; agents only"`
	EndpointAddress  string        `key:"endpoint" help:"IP address and port of that endpoint; agents only"`
	DrainTimeout     time.Duration `key:"drain" unit:"duration" default:"2m" min:"0s" max:"1h" help:"longest time for running work to end on a planned stop"`
	CallTimeout      time.Duration `key:"timeout" unit:"duration" default:"2s" min:"10ms" max:"1m" help:"longest time for one call of the platform or one connection"`
	LogLevel         string        `key:"logLevel" default:"info" oneof:"debug info warn error" help:"least level of the lines that are logged"`
}

// Load reads a settings file and lays flags over it; role is entry or agent, and an error names file, line and key.
func Load(path string, flags map[string]string, role string) (Settings, error) {
	var doc raildocument.Document
	if path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return Settings{}, errors.Wrap(err, "read the settings; name the file with --settings")
		}
		if doc, err = raildocument.Parse(filepath.Base(path), data); err != nil {
			return Settings{}, err
		}
	}
	for _, name := range doc.Sections() {
		if name != Section {
			return Settings{}, errors.Newf("%s: unknown section; settings have the one section [%s]", doc.Position(name, ""), Section)
		}
	}
	for key, value := range flags {
		doc = doc.WithValue("flag --"+key, Section, key, value)
	}
	s, err := railschema.Schema[Settings]{}.Decode(doc, Section)
	return s, errors.Join(err, s.check(doc, role))
}

// Member returns the process as the platform lists it.
func (s Settings) Member(role string) railmember.Member {
	address := s.InternalAddress
	if s.AdvertiseAddress != "" {
		address = s.AdvertiseAddress
	}
	return railmember.Member{Name: s.Name, Role: role, Address: address, Zone: s.Zone, Region: s.Region, Service: s.Service}
}

// Level returns the least level of the lines that are logged.
func (s Settings) Level() slog.Level {
	var level slog.Level
	_ = level.UnmarshalText([]byte(s.LogLevel)) // The schema admits only names of levels.
	return level
}

func (s Settings) check(doc raildocument.Document, role string) error {
	var faults []error
	if s.SharedKey != "" && len(s.SharedKey) < minSharedKeyBytes {
		faults = append(faults, errors.Newf("%s: shorter than %d characters", doc.Position(Section, "sharedKey"), minSharedKeyBytes))
	}
	needed := map[string]string{"callers": s.CallerAddress}
	if role == railmember.RoleAgent {
		needed = map[string]string{"service": s.Service, "endpoint": s.EndpointAddress}
	}
	for key, value := range needed {
		if value == "" {
			faults = append(faults, errors.Newf("%s: missing; the role %s needs it", doc.Position(Section, key), role))
		}
	}
	addresses := map[string]string{
		"inner": s.InternalAddress, "platform": s.PlatformAddress, "callers": s.CallerAddress, "admin": s.AdminAddress, "advertise": s.AdvertiseAddress, "endpoint": s.EndpointAddress,
	}
	for key, value := range addresses {
		if err := checkAddress(value); err != nil {
			faults = append(faults, errors.Newf("%s: %v", doc.Position(Section, key), err))
		}
	}
	return errors.Join(faults...)
}

func checkAddress(address string) error {
	if address == "" {
		return nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return errors.Newf("%q is not an IP address with a port, such as 10.0.0.7:7000", address)
	}
	return nil
}
