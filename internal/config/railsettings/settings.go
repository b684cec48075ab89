package railsettings

import (
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/config/railini"
	"github.com/fulmarrail/fulmarrail/internal/config/railschema"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
)

// Section is the name of the only section in a settings file.
const Section = "process"

const minSharedKeyBytes = 16

// Settings are the settings of one process. They are not shared with other processes.
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

// Load reads a settings file; flags take precedence over it. The role is that of an entry or an agent and determines which keys are
// required. Load returns a joined error that names file, line and key of each fault.
func Load(path string, flags map[string]string, role string) (Settings, error) {
	var doc railini.Document
	if path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return Settings{}, errors.Wrap(err, "read settings; specify the file with --settings")
		}
		if doc, err = railini.Parse(filepath.Base(path), data); err != nil {
			return Settings{}, err
		}
	}
	for _, name := range doc.Sections() {
		if name != Section {
			return Settings{}, errors.Newf("%s: unknown section; the only section of settings is [%s]", doc.Position(name, ""), Section)
		}
	}
	for key, value := range flags {
		doc = doc.WithValue("flag --"+key, Section, key, value)
	}
	s, err := railschema.Schema[Settings]{}.Decode(doc, Section)
	return s, errors.Join(err, s.check(doc, role))
}

// Member returns the process's entry in the platform's VM list.
func (s Settings) Member(role string) railmember.Member {
	address := s.InternalAddress
	if s.AdvertiseAddress != "" {
		address = s.AdvertiseAddress
	}
	return railmember.Member{Name: s.Name, Role: role, Address: address, Zone: s.Zone, Region: s.Region, Service: s.Service}
}

// Level returns the minimum level of logged lines.
func (s Settings) Level() slog.Level {
	var level slog.Level
	_ = level.UnmarshalText([]byte(s.LogLevel)) // The schema allows only valid level names.
	return level
}

func (s Settings) check(doc railini.Document, role string) error {
	var errs []error
	if s.SharedKey != "" && len(s.SharedKey) < minSharedKeyBytes {
		errs = append(errs, errors.Newf("%s: shorter than %d characters", doc.Position(Section, "sharedKey"), minSharedKeyBytes))
	}
	required := map[string]string{"callers": s.CallerAddress}
	if role == railmember.RoleAgent {
		required = map[string]string{"service": s.Service, "endpoint": s.EndpointAddress}
	}
	for key, value := range required {
		if value == "" {
			errs = append(errs, errors.Newf("%s: missing; the role %s needs it", doc.Position(Section, key), role))
		}
	}
	addresses := map[string]string{
		"inner": s.InternalAddress, "platform": s.PlatformAddress, "callers": s.CallerAddress, "admin": s.AdminAddress, "advertise": s.AdvertiseAddress, "endpoint": s.EndpointAddress,
	}
	for key, value := range addresses {
		if err := checkAddress(value); err != nil {
			errs = append(errs, errors.Newf("%s: %v", doc.Position(Section, key), err))
		}
	}
	return errors.Join(errs...)
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
