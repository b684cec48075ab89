package raillayout

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/config/railini"
	"github.com/fulmarrail/fulmarrail/internal/config/railschema"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
)

const (
	deploymentSection = "deployment"
	zonePrefix        = "zone "
	host              = "127.0.0.1"
)

type deployment struct {
	BasePort             int           `key:"basePort" required:"yes" min:"1024" max:"60000" help:"the first port; the others follow it"`
	SharedKey            string        `key:"sharedKey" required:"yes" help:"the deployment's shared key"`
	PlatformRegion       string        `key:"storeRegion" required:"yes" help:"the region of the platform"`
	RegionDelay          time.Duration `key:"regionDelay" unit:"duration" default:"2ms" min:"0s" max:"1s" help:"one-way latency between regions"`
	RegionBitsPerSecond  int           `key:"regionBits" unit:"bits/s" default:"20000000" min:"1000" max:"100000000000" help:"rate of each pair of regions, each way"`
	OriginBytesPerSecond int           `key:"originRate" unit:"bytes/s" default:"50000000" min:"1000" max:"100000000000" help:"rate of the origin's link"`
}

type zone struct {
	Region  string `key:"region" required:"yes" help:"the region that the zone lies in"`
	Entries int    `key:"entries" default:"1" min:"0" max:"100" help:"entries in the zone"`
	Engines string `key:"engines" help:"services of engines with their numbers, as in assistant:6"`
	Plain   string `key:"plain" help:"plain services with their numbers, as in orders:1"`
}

type process struct {
	Member railmember.Member
	// Plain reports whether the agent's endpoint is a plain service instead of an engine.
	Plain                                        bool
	CallerAddress, AdminAddress, EndpointAddress string
}

type link struct {
	FromRegion, ToRegion, ListenAddress, TargetAddress string
}

// Layout holds the addresses of all processes and simulated services of a deployment.
type Layout struct {
	SharedKey            string
	PlatformAddress      string
	RegionDelay          time.Duration
	RegionBitsPerSecond  int
	OriginBytesPerSecond int
	Processes            []process
	// Links are the proxies that relay traffic between regions.
	Links []link

	memberAddresses   map[string]map[string]string
	platformAddresses map[string]string
	nextPort          int
}

// Load reads a layout file. It returns an error if the file can't be read or is invalid; errors in its content name the
// file, line and key.
func Load(path string) (*Layout, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read layout")
	}
	doc, err := railini.Parse(filepath.Base(path), data)
	if err != nil {
		return nil, err
	}
	settings, err := railschema.Schema[deployment]{}.Decode(doc, deploymentSection)
	if err != nil {
		return nil, err
	}
	l := &Layout{
		SharedKey: settings.SharedKey, RegionDelay: settings.RegionDelay, RegionBitsPerSecond: settings.RegionBitsPerSecond, OriginBytesPerSecond: settings.OriginBytesPerSecond, nextPort: settings.BasePort,
		memberAddresses: map[string]map[string]string{}, platformAddresses: map[string]string{},
	}
	l.PlatformAddress = l.nextAddress()
	for _, section := range doc.Sections() {
		name, ok := strings.CutPrefix(section, zonePrefix)
		if !ok {
			continue
		}
		z, err := railschema.Schema[zone]{}.Decode(doc, section)
		if err != nil {
			return nil, err
		}
		if err := l.addZone(name, z); err != nil {
			return nil, errors.Wrap(err, doc.Position(section, ""))
		}
	}
	l.addLinks(settings.PlatformRegion)
	return l, nil
}

// Address returns the address at which processes in a region reach a member. It is the address of a link if the member is
// in another region.
func (l *Layout) Address(region string, m railmember.Member) string {
	if address, ok := l.memberAddresses[region][m.Name]; ok {
		return address
	}
	return m.Address
}

// WriteSettings writes a settings file for each process into dir, which it creates if needed. The settings name configDir as
// the directory of the configuration files. It returns an error if a file can't be written.
func (l *Layout) WriteSettings(dir, configDir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "create settings directory")
	}
	for _, p := range l.Processes {
		path := filepath.Join(dir, p.Member.Role+"-"+p.Member.Name+".ini")
		if err := os.WriteFile(path, []byte(l.settingsFile(p, configDir)), 0o600); err != nil {
			return errors.Wrap(err, "write settings file")
		}
	}
	return nil
}

func (l *Layout) settingsFile(p process, configDir string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[process]\nname = %s\nzone = %s\nregion = %s\n", p.Member.Name, p.Member.Zone, p.Member.Region)
	fmt.Fprintf(&b, "inner = %s\nadmin = %s\nplatform = %s\nsharedKey = %s\n", p.Member.Address, p.AdminAddress, l.platformAddresses[p.Member.Region], l.SharedKey)
	if p.Member.Role == railmember.RoleEntry {
		fmt.Fprintf(&b, "callers = %s\nfolder = %s\n", p.CallerAddress, configDir)
		return b.String()
	}
	fmt.Fprintf(&b, "service = %s\nendpoint = %s\n", p.Member.Service, p.EndpointAddress)
	return b.String()
}

func (l *Layout) addZone(name string, z zone) error {
	for i := range z.Entries {
		l.addProcess(railmember.Member{Name: fmt.Sprintf("%s-%d", name, i+1), Role: railmember.RoleEntry, Zone: name, Region: z.Region}, false)
	}
	return errors.Join(l.addAgents(name, z.Region, z.Engines, false), l.addAgents(name, z.Region, z.Plain, true))
}

func (l *Layout) addAgents(zone, region, list string, plain bool) error {
	for item := range strings.FieldsSeq(list) {
		service, count, _ := strings.Cut(item, ":")
		n, err := strconv.Atoi(count)
		if err != nil || n < 0 {
			return errors.Newf("%q must be a service and a count, such as assistant:6", item)
		}
		for i := range n {
			l.addProcess(railmember.Member{
				Name: fmt.Sprintf("%s-%s-%d", service, zone, i+1), Role: railmember.RoleAgent, Zone: zone, Region: region, Service: service,
			}, plain)
		}
	}
	return nil
}

func (l *Layout) addProcess(m railmember.Member, plain bool) {
	m.Address = l.nextAddress()
	l.Processes = append(l.Processes, process{Member: m, Plain: plain, CallerAddress: l.nextAddress(), AdminAddress: l.nextAddress(), EndpointAddress: l.nextAddress()})
}

// addLinks adds a link from each region to each process of the other regions and, if the platform is in another region, to
// the platform.
func (l *Layout) addLinks(platformRegion string) {
	var regions []string
	for _, p := range l.Processes {
		regions = append(regions, p.Member.Region)
	}
	slices.Sort(regions)
	for _, region := range slices.Compact(regions) {
		l.memberAddresses[region] = map[string]string{}
		l.platformAddresses[region] = l.PlatformAddress
		if region != platformRegion {
			l.platformAddresses[region] = l.addLink(region, platformRegion, l.PlatformAddress)
		}
		for _, p := range l.Processes {
			if p.Member.Region != region {
				l.memberAddresses[region][p.Member.Name] = l.addLink(region, p.Member.Region, p.Member.Address)
			}
		}
	}
}

func (l *Layout) addLink(fromRegion, toRegion, targetAddress string) string {
	listenAddress := l.nextAddress()
	l.Links = append(l.Links, link{FromRegion: fromRegion, ToRegion: toRegion, ListenAddress: listenAddress, TargetAddress: targetAddress})
	return listenAddress
}

func (l *Layout) nextAddress() string {
	address := fmt.Sprintf("%s:%d", host, l.nextPort)
	l.nextPort++
	return address
}
