package railgatewaycmd

import (
	"context"
	"maps"
	"slices"

	"github.com/fulmarrail/fulmarrail/internal/command/railsiteprocess"
	"github.com/fulmarrail/fulmarrail/internal/config/railzone"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/node/railrelay"
	"github.com/fulmarrail/fulmarrail/internal/report/railentryreport"
	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildatagram"
)

// newRelay returns the part that passes weights on to agents.
func (g *gateway) newRelay(socket *raildatagram.Socket) (*railrelay.Relay, error) {
	site := g.Site.Process
	host, port, err := site.InternalHostPort()
	if err != nil {
		return nil, err
	}
	return &railrelay.Relay{
		Self:      railmember.Member{Name: host, Role: railmember.RoleEntry, Address: site.InternalAddress, Zone: site.Zone, Region: site.Region, Link: site.LinkBytesPerSecond()},
		AgentPort: port, Origin: g.Origin(), Dialer: g.Dialer(), Socket: socket,
		Catalog: g.Current.Get, Instances: g.listed, Entries: g.members, WantedVersions: g.Current.WantedVersions, RolloutTime: g.Site.Bounds.RolloutTime,
		ZoneRegions: g.Site.ZoneRegions, Log: g.Log,
	}, nil
}

// report returns what operators see of this entry.
func (g *gateway) report() railentryreport.Report {
	r := g.front.Report()
	r.Name, r.Zone = g.Site.Process.Name, g.Site.Process.Zone
	catalog, _ := g.Current.Get()
	for _, zone := range slices.Sorted(maps.Keys(g.Site.ZoneRegions)) {
		state := railzone.StateIn
		if catalog.ZoneOut(zone) {
			state = railzone.StateOut
		}
		r = r.WithZone(zone, g.Site.ZoneRegions[zone], state)
	}
	return r
}

// announce writes this entry's row until that has worked.
func (g *gateway) announce(ctx context.Context) {
	row, err := g.EntryRow()
	if err != nil {
		g.Log.Error("entry not announced", "err", err)
		return
	}
	for {
		bounded, cancel := context.WithTimeout(ctx, g.Site.Process.CallTimeout)
		_, err := g.Store.Change(bounded, railtable.Put(railsiteprocess.TableEntries, g.Site.Process.Name, row))
		cancel()
		if err == nil {
			return
		}
		g.Log.Warn("entry not announced, it is tried again", "err", err)
		if !railtimer.Sleep(ctx, announcePause) {
			return
		}
	}
}
