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
	"github.com/fulmarrail/fulmarrail/internal/store/railrows"
	"github.com/fulmarrail/fulmarrail/platform"
)

// Reader reads a deployment's tables for operators' commands, without being one of its processes.
type Reader struct {
	process *Process
}

// Open returns a reader for the deployment that a process's settings file names.
func Open(path string) (*Reader, error) {
	site, err := railsite.Load(path)
	if err != nil {
		return nil, railexit.WithCode(err, railexit.Usage)
	}
	p := &Process{Site: site, Log: slog.New(slog.DiscardHandler)}
	p.connect()
	return &Reader{process: p}, nil
}

// Settings returns what is needed to ask the deployment's processes.
func (r *Reader) Settings() railsettings.Settings {
	site := r.process.Site.Process
	return railsettings.Settings{SharedKey: site.SharedKey, CallTimeout: site.CallTimeout, Zone: site.Zone, Region: site.Region}
}

// Zones returns the deployment's zones.
func (r *Reader) Zones() []string {
	return slices.Sorted(maps.Keys(r.process.Site.ZoneRegions))
}

// Catalog returns the configuration as the store has it.
func (r *Reader) Catalog(ctx context.Context) (railcatalog.Catalog, error) {
	page, err := r.process.Store.Table(ctx, platform.TableOperator)
	if err != nil {
		return railcatalog.Catalog{}, err
	}
	catalog, _, err := platform.Catalog(railrows.ByKey(page.Rows))
	return catalog, err
}

// Members returns the entries, and the carriers beside the engines that are listed.
func (r *Reader) Members(ctx context.Context) ([]railmember.Member, error) {
	p := r.process
	catalog, err := r.Catalog(ctx)
	if err != nil {
		return nil, err
	}
	entries, err := p.Store.Table(ctx, TableEntries)
	if err != nil {
		return nil, err
	}
	instances, err := p.Store.Table(ctx, platform.TableInstances)
	if err != nil {
		return nil, err
	}
	_, port, err := p.Site.Process.InternalHostPort()
	if err != nil {
		return nil, err
	}
	list := p.Entries(entries.Rows)
	listed, _ := platform.Instances(railrows.ByKey(instances.Rows), p.Site.ZoneRegions, p.Layers)
	engines := func(service string) bool {
		backend, _ := catalog.Backend(service)
		return backend.IsEngine()
	}
	return append(list, railpeer.Agents(listed, engines, port)...), nil
}
