package railgatewaycmd

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/fulmarrail/fulmarrail/internal/command/railsiteprocess"
	"github.com/fulmarrail/fulmarrail/internal/config/railcatalog"
	"github.com/fulmarrail/fulmarrail/internal/config/railzone"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/node/railrelay"
	"github.com/fulmarrail/fulmarrail/internal/report/railentryreport"
	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
	"github.com/fulmarrail/fulmarrail/internal/store/railversion"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildatagram"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// newRelay returns the relay that distributes weights to agents. It returns an error if the setting inner is not a host and port.
func (g *gateway) newRelay(socket *raildatagram.Socket) (*railrelay.Relay, error) {
	settings := g.Site.Process
	host, port, err := settings.InternalHostPort()
	if err != nil {
		return nil, err
	}
	return &railrelay.Relay{
		Self:      railmember.Member{Name: host, Role: railmember.RoleEntry, Address: settings.InternalAddress, Zone: settings.Zone, Region: settings.Region, Link: settings.LinkBytesPerSecond()},
		AgentPort: port, Origin: g.Origin(), Dialer: g.Dialer(), Socket: socket,
		Catalog: g.Config.Get, Instances: g.currentInstances, Entries: g.members, WantedVersions: g.Config.WantedVersions, RolloutTime: g.Site.Bounds.RolloutTime,
		ZoneRegions: g.Site.ZoneRegions, Log: g.Log,
	}, nil
}

// report returns this entry's status report for operators.
func (g *gateway) report() railentryreport.Report {
	r := g.frontend.Report()
	r.Name, r.Zone = g.Site.Process.Name, g.Site.Process.Zone
	catalog, _ := g.Config.Get()
	for _, zone := range slices.Sorted(maps.Keys(g.Site.ZoneRegions)) {
		state := railzone.StateIn
		if catalog.ZoneOut(zone) {
			state = railzone.StateOut
		}
		r = r.WithZone(zone, g.Site.ZoneRegions[zone], state)
	}
	return r
}

// publishEntryRow writes this entry's row to the store, so that other processes can find it, and again after each restore of the store. It
// returns once ctx is done.
func (g *gateway) publishEntryRow(ctx context.Context) {
	for {
		version, ok := g.writeEntryRow(ctx)
		if !ok || !g.Store.AwaitRestore(ctx, railversion.Era(version)) {
			return
		}
		g.Log.Info("store was restored; writing this entry's row again", "era", g.Store.Era())
		railtimer.Sleep(ctx, rand.N(rewriteSpread))
	}
}

// writeEntryRow writes this entry's row and returns its version. It retries until it succeeds, or returns false if ctx is done first or the row
// can't be encoded.
func (g *gateway) writeEntryRow(ctx context.Context) (int64, bool) {
	for {
		row, err := g.EntryRow()
		if err != nil {
			g.Log.Error("failed to encode this entry's row; other processes can't find this entry", "err", err)
			return 0, false
		}
		requestCtx, cancel := context.WithTimeout(ctx, g.Site.Process.CallTimeout)
		version, err := g.Store.Change(requestCtx, railtable.Put(railsiteprocess.TableEntries, g.Site.Process.Name, row))
		cancel()
		if err == nil {
			return version, true
		}
		g.Log.Warn("failed to write this entry's row; retrying", "err", err)
		if !railtimer.Sleep(ctx, publishRetryDelay/2+rand.N(publishRetryDelay)) {
			return 0, false
		}
	}
}

// catalog returns the configuration in force, or false if there is none yet or the other entries are not known. A process that has started
// lately does not take an older one than other entries have or have had: the store may have been restored from a copy, and the operators'
// rows are still to be written again.
func (g *gateway) catalog() (railcatalog.Catalog, bool) {
	catalog, known := g.Config.Get()
	served, asked := g.servedConfig.newest()
	g.mu.Lock()
	behind := catalog.Version < max(g.entriesConfig, served) && g.Clock.Now()-g.startedAt < maxBehindTime
	g.mu.Unlock()
	return catalog, known && g.entriesKnown() && asked && !behind
}

// requestConfigVersion asks another entry for the version of its configuration.
func (g *gateway) requestConfigVersion(ctx context.Context, address string) (int64, error) {
	reply, err := g.relay.Dialer.Entry(ctx, address).Brief(ctx, &railproto.BriefRequest{})
	return reply.GetConfiguration(), err
}
