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

	"github.com/fulmarrail/fulmarrail/internal/config/raildocument"
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
	// Plain says that the endpoint beside an agent is a plain service.
	Plain                                        bool
	CallerAddress, AdminAddress, EndpointAddress string
}

type link struct {
	FromRegion, ToRegion, ListenAddress, TargetAddress string
}

// Layout says which process and stand-in listens where.
type Layout struct {
	SharedKey            string
	PlatformAddress      string
	RegionDelay          time.Duration
	RegionBitsPerSecond  int
	OriginBytesPerSecond int
	Processes            []process
	// Links relay the traffic between regions.
	Links []link

	listed   map[string]map[string]string
	platform map[string]string
	port     int
}

// Load reads a layout's file, or returns an error that names file, line and key.
func Load(path string) (*Layout, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the layout")
	}
	doc, err := raildocument.Parse(filepath.Base(path), data)
	if err != nil {
		return nil, err
	}
	d, err := railschema.Schema[deployment]{}.Decode(doc, deploymentSection)
	if err != nil {
		return nil, err
	}
	l := &Layout{
		SharedKey: d.SharedKey, RegionDelay: d.RegionDelay, RegionBitsPerSecond: d.RegionBitsPerSecond, OriginBytesPerSecond: d.OriginBytesPerSecond, port: d.BasePort,
		listed: map[string]map[string]string{}, platform: map[string]string{},
	}
	l.PlatformAddress = l.next()
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
	l.addLinks(d.PlatformRegion)
	return l, nil
}

// Address returns the address under which a region reaches a process.
func (l *Layout) Address(region string, m railmember.Member) string {
	if address, ok := l.listed[region][m.Name]; ok {
		return address
	}
	return m.Address
}

// WriteSettings writes a settings file for each process into a directory; folder is the operators' directory.
func (l *Layout) WriteSettings(directory, folder string) error {
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return errors.Wrap(err, "make the directory of settings")
	}
	for _, p := range l.Processes {
		path := filepath.Join(directory, p.Member.Role+"-"+p.Member.Name+".ini")
		if err := os.WriteFile(path, []byte(l.settings(p, folder)), 0o600); err != nil {
			return errors.Wrap(err, "write settings")
		}
	}
	return nil
}

func (l *Layout) settings(p process, folder string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[process]\nname = %s\nzone = %s\nregion = %s\n", p.Member.Name, p.Member.Zone, p.Member.Region)
	fmt.Fprintf(&b, "inner = %s\nadmin = %s\nplatform = %s\nsharedKey = %s\n", p.Member.Address, p.AdminAddress, l.platform[p.Member.Region], l.SharedKey)
	if p.Member.Role == railmember.RoleEntry {
		fmt.Fprintf(&b, "callers = %s\nfolder = %s\n", p.CallerAddress, folder)
		return b.String()
	}
	fmt.Fprintf(&b, "service = %s\nendpoint = %s\n", p.Member.Service, p.EndpointAddress)
	return b.String()
}

func (l *Layout) addZone(name string, z zone) error {
	for i := range z.Entries {
		l.add(railmember.Member{Name: fmt.Sprintf("%s-%d", name, i+1), Role: railmember.RoleEntry, Zone: name, Region: z.Region}, false)
	}
	return errors.Join(l.addEndpoints(name, z.Region, z.Engines, false), l.addEndpoints(name, z.Region, z.Plain, true))
}

func (l *Layout) addEndpoints(zone, region, list string, plain bool) error {
	for item := range strings.FieldsSeq(list) {
		service, text, _ := strings.Cut(item, ":")
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			return errors.Newf("%q is not a service with its number, as in assistant:6", item)
		}
		for i := range n {
			l.add(railmember.Member{
				Name: fmt.Sprintf("%s-%s-%d", service, zone, i+1), Role: railmember.RoleAgent, Zone: zone, Region: region, Service: service,
			}, plain)
		}
	}
	return nil
}

func (l *Layout) add(m railmember.Member, plain bool) {
	m.Address = l.next()
	l.Processes = append(l.Processes, process{Member: m, Plain: plain, CallerAddress: l.next(), AdminAddress: l.next(), EndpointAddress: l.next()})
}

// addLinks lays a link from each region to each process of the other regions and to the platform.
func (l *Layout) addLinks(storeRegion string) {
	var regions []string
	for _, p := range l.Processes {
		regions = append(regions, p.Member.Region)
	}
	slices.Sort(regions)
	for _, region := range slices.Compact(regions) {
		l.listed[region] = map[string]string{}
		l.platform[region] = l.PlatformAddress
		if region != storeRegion {
			l.platform[region] = l.link(region, storeRegion, l.PlatformAddress)
		}
		for _, p := range l.Processes {
			if p.Member.Region != region {
				l.listed[region][p.Member.Name] = l.link(region, p.Member.Region, p.Member.Address)
			}
		}
	}
}

func (l *Layout) link(from, to, target string) string {
	listen := l.next()
	l.Links = append(l.Links, link{FromRegion: from, ToRegion: to, ListenAddress: listen, TargetAddress: target})
	return listen
}

func (l *Layout) next() string {
	address := fmt.Sprintf("%s:%d", host, l.port)
	l.port++
	return address
}
