package railsiteprocess

import (
	"context"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/core/raillog"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/store/railreplica"
	"github.com/fulmarrail/fulmarrail/platform"
)

// NewConfigFollower returns a follower that keeps the configuration up to date. onChange is called after each change and may be nil.
func (p *Process) NewConfigFollower(onChange func()) *railreplica.Follower {
	p.configFollower = p.NewFollower(platform.TableOperator, p.Limits.ConfigWait, 0, func(rows map[string]railreplica.Row) {
		p.applyCatalog(rows)
		if onChange != nil {
			onChange()
		}
	})
	p.configFollower.Timeout = p.Limits.ConfigTimeout
	p.Config.MaxChangeAge = p.configFollower.MaxChangeAge
	return p.configFollower
}

// ReadConfig reads and applies the configuration once. It returns an error if the store can't be read. A configuration that can't be
// decoded is only logged.
func (p *Process) ReadConfig(ctx context.Context) error {
	page, err := p.Store.Table(ctx, platform.TableOperator)
	if err != nil {
		return err
	}
	p.applyCatalog(railreplica.ByKey(page.Rows))
	return nil
}

// applyCatalog applies the configuration in the operators' rows. If they can't be decoded, it keeps the current configuration.
func (p *Process) applyCatalog(rows map[string]railreplica.Row) {
	catalog, faults, err := platform.Catalog(rows)
	p.rowFaults[platform.TableOperator].Report(faults)
	if err != nil {
		raillog.Named(p.Log, "config").Error("failed to decode the configuration; keeping the previous one", "err", err)
		return
	}
	if _, known := p.Config.Get(); !known && catalog.HasWantedVersions() && !p.wantedVersionsRead.Load() {
		p.RestoreWantedVersions()
	}
	p.Config.Set(catalog)
}

// Instances returns the current endpoint instances of known services from the rows of the endpoint list, and reports rows that can't
// be decoded.
func (p *Process) Instances(rows map[string]railreplica.Row) []railinstance.Instance {
	catalog, _ := p.Config.Get()
	instances, faults := platform.Instances(rows, p.Site.ZoneRegions, p.Layers)
	p.rowFaults[platform.TableInstances].Report(faults)
	return railinstance.Latest(instances, func(service string) bool {
		_, known := catalog.Backend(service)
		return known
	})
}

// Layers returns the number of layers of the model that a service's engines serve, or 0 if it is unknown.
func (p *Process) Layers(service string) int {
	return p.engine(service).Layers
}

// PieceBytes returns the size in bytes of a piece of the weights that a service's engines load, or 0 if it is unknown.
func (p *Process) PieceBytes(service string) int {
	return p.engine(service).ChunkBytes
}

// engine returns the configuration of a service's engines, or the zero value if it is unknown.
func (p *Process) engine(service string) railbackend.Engine {
	catalog, _ := p.Config.Get()
	b, ok := catalog.Backend(service)
	if !ok || b.Engine == nil {
		return railbackend.Engine{}
	}
	return *b.Engine
}
