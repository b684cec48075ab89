package railsiteprocess

import (
	"context"
	"log/slog"
	"maps"
	"slices"

	"github.com/fulmarrail/fulmarrail/internal/command/railexit"
	"github.com/fulmarrail/fulmarrail/internal/config/railcatalog"
	"github.com/fulmarrail/fulmarrail/internal/config/railsettings"
	"github.com/fulmarrail/fulmarrail/internal/config/railsite"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/node/railpeer"
	"github.com/fulmarrail/fulmarrail/internal/store/railreplica"
	"github.com/fulmarrail/fulmarrail/platform"
)

// Reader reads a deployment's tables for operators' commands. It does not join the deployment.
type Reader struct {
	process *Process
}

// Open returns a reader for the deployment of a process's settings file. It returns an error with the exit code for usage if the file
// is invalid.
func Open(path string) (*Reader, error) {
	site, err := railsite.Load(path)
	if err != nil {
		return nil, railexit.WithCode(err, railexit.Usage)
	}
	p := &Process{Site: site, Log: slog.New(slog.DiscardHandler)}
	p.initStore()
	return &Reader{process: p}, nil
}

// Settings returns the settings for calls to the deployment's processes.
func (r *Reader) Settings() railsettings.Settings {
	settings := r.process.Site.Process
	return railsettings.Settings{SharedKey: settings.SharedKey, CallTimeout: settings.CallTimeout, Zone: settings.Zone, Region: settings.Region}
}

// Zones returns the names of the deployment's zones in alphabetical order.
func (r *Reader) Zones() []string {
	return slices.Sorted(maps.Keys(r.process.Site.ZoneRegions))
}

// Catalog reads the current configuration from the store. It returns an error if the store can't be read or the configuration can't
// be decoded.
func (r *Reader) Catalog(ctx context.Context) (railcatalog.Catalog, error) {
	page, err := r.process.Store.Table(ctx, platform.TableOperator)
	if err != nil {
		return railcatalog.Catalog{}, err
	}
	catalog, _, err := platform.Catalog(railreplica.ByKey(page.Rows))
	return catalog, err
}

// Members reads the entries, and the carriers of the listed engines, from the store.
func (r *Reader) Members(ctx context.Context) ([]railmember.Member, error) {
	p := r.process
	catalog, err := r.Catalog(ctx)
	if err != nil {
		return nil, err
	}
	entriesPage, err := p.Store.Table(ctx, TableEntries)
	if err != nil {
		return nil, err
	}
	instancesPage, err := p.Store.Table(ctx, platform.TableInstances)
	if err != nil {
		return nil, err
	}
	_, port, err := p.Site.Process.InternalHostPort()
	if err != nil {
		return nil, err
	}
	members := p.Entries(entriesPage.Rows)
	endpoints, _ := platform.Instances(railreplica.ByKey(instancesPage.Rows), p.Site.ZoneRegions, p.Layers)
	isEngine := func(service string) bool {
		backend, _ := catalog.Backend(service)
		return backend.IsEngine()
	}
	return append(members, railpeer.Agents(endpoints, isEngine, port)...), nil
}
