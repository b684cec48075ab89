package railcarriercmd

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
	"github.com/fulmarrail/fulmarrail/internal/command/railsiteprocess"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/node/railcarrier"
	"github.com/fulmarrail/fulmarrail/internal/platform/railrows"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/platform"
)

const (
	// configWait is the time for which the store may hold a call for a change of the configuration.
	configWait = 15 * time.Second
	// listPause is the time between two looks at the list of endpoints, which only says whom to ask for weights.
	listPause = 1500 * time.Millisecond
)

// NewCmdCarrier returns the command.
func NewCmdCarrier(f *railfactory.Factory) *cobra.Command {
	return railsiteprocess.Command(f, "carrier", "Bring weights to the engine beside the process",
		"Bring weights to the engine beside the process, and pass them on to the other carriers.", run)
}

func run(ctx context.Context, p *railsiteprocess.Process) error {
	site := p.Site.Process
	inner, err := net.Listen("tcp", site.Inner)
	if err != nil {
		return errors.Wrap(err, "listen on inner")
	}
	host, port, err := net.SplitHostPort(site.Inner)
	if err != nil {
		return errors.Wrap(err, "read the setting inner")
	}
	var mu sync.Mutex
	var instances []railinstance.Instance
	config := p.Follow(platform.TableOperator, configWait, 0, p.TakeCatalog)
	list := p.Follow(platform.TableInstances, 0, listPause, func(rows map[string]railrows.Row) {
		mu.Lock()
		defer mu.Unlock()
		instances = p.Instances(rows)
	})
	go config.Run(ctx)
	go list.Run(ctx)
	dialer := &raildialer.Dialer{Key: []byte(site.SharedKey), Timeout: site.Timeout}
	defer func() { _ = dialer.Close() }()
	carrier := &railcarrier.Carrier{
		Self: railmember.Member{Name: host, Role: railmember.RoleAgent, Address: site.Inner, Zone: site.Zone, Region: site.Region, Service: site.Service},
		Key:  []byte(site.SharedKey), Inner: inner, Port: port, Dialer: dialer, Catalog: p.Current.Get, NamedFor: p.Current.NamedFor,
		Engine:  &platform.Engine{HTTP: p.Store.HTTP, Address: site.Endpoint, Layers: func() int { return p.Layers(site.Service) }},
		Weights: p.Site.Bounds.Weights, Regions: p.Site.Regions, Log: p.Log,
		Instances: func() []railinstance.Instance {
			mu.Lock()
			defer mu.Unlock()
			return instances
		},
	}
	return carrier.Run(ctx)
}
