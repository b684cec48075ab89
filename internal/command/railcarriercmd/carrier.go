package railcarriercmd

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
	"github.com/fulmarrail/fulmarrail/internal/command/railsiteprocess"
	"github.com/fulmarrail/fulmarrail/internal/config/railconfigclient"
	"github.com/fulmarrail/fulmarrail/internal/core/raillog"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/node/railcarrier"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railannouncer"
	"github.com/fulmarrail/fulmarrail/internal/store/railreplica"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildatagram"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
	"github.com/fulmarrail/fulmarrail/platform"
)

// NewCmdCarrier returns the command "carrier".
func NewCmdCarrier(f *railfactory.Factory) *cobra.Command {
	return railsiteprocess.NewCommand(f, "carrier", "Bring weights to the engine beside the process",
		"Bring weights to the engine beside the process, and pass them on to the other carriers.", run)
}

func run(ctx context.Context, p *railsiteprocess.Process) error {
	settings := p.Site.Process
	internalListener, err := net.Listen("tcp", settings.InternalAddress)
	if err != nil {
		return errors.Wrap(err, "listen on inner")
	}
	host, port, err := settings.InternalHostPort()
	if err != nil {
		return err
	}
	packetConn, err := net.ListenPacket("udp4", settings.InternalAddress)
	if err != nil {
		return errors.Wrap(err, "listen on inner for datagrams")
	}
	socket := &raildatagram.Socket{Conn: packetConn, Log: raillog.Named(p.Log, "datagrams")}
	dialer := p.Dialer()
	defer func() { _ = dialer.Close() }()
	self := railmember.Member{Name: host, Role: railmember.RoleAgent, Address: settings.InternalAddress, Zone: settings.Zone, Region: settings.Region, Service: settings.Service}
	configClient := &railconfigclient.Client{
		Self: self, Config: p.Config, MaxConfigAge: p.Limits.MaxServedAge, ZoneRegions: p.Site.ZoneRegions, Store: &configStore{Process: p}, Now: p.Clock.Now, Log: raillog.Named(p.Log, "config"),
		RequestBrief: func(ctx context.Context, address string, req *railproto.BriefRequest) (*railproto.BriefReply, error) {
			return dialer.Entry(ctx, address).Brief(ctx, req)
		},
		RequestAgents: func(ctx context.Context, address string, req *railproto.AgentsRequest) (*railproto.AgentsReply, error) {
			return dialer.Entry(ctx, address).Agents(ctx, req)
		},
	}
	carrier := &railcarrier.Carrier{
		Self: self, SharedKey: []byte(settings.SharedKey), InternalListener: internalListener, AgentPort: port, Dialer: dialer, Socket: socket, Catalog: p.Config.Get, WantedVersions: p.Config.WantedVersions,
		Engine: &platform.Engine{
			Timeout: settings.CallTimeout, Address: settings.EndpointAddress,
			Layers:     func() int { return p.Layers(settings.Service) },
			PieceBytes: func() int { return p.PieceBytes(settings.Service) },
		},
		Origin:      p.Origin(),
		Entries:     configClient.Entries,
		LinkRate:    settings.LinkBytesPerSecond(),
		RolloutTime: p.Site.Bounds.RolloutTime, ZoneRegions: p.Site.ZoneRegions, Now: p.Clock.Now, Log: p.Log.With("engine", settings.EndpointAddress),
		Instances: configClient.Instances,
		Announcer: &railannouncer.Announcer{
			Address: settings.EndpointAddress, Entries: configClient.Entries, Send: socket.Send, Log: raillog.Named(p.Log, "announcer"),
		},
	}
	configClient.OnChange = carrier.ConfigChanged
	p.Config.MaxChangeAge = configClient.MaxChangeAge
	p.Config.OnWantedVersion = func(string, int64, time.Duration, bool) { go p.RestoreWantedVersions() }
	go configClient.Run(ctx)
	return carrier.Run(ctx)
}

// configStore lets the configuration client read the platform's store while no entry responds.
type configStore struct {
	*railsiteprocess.Process
}

// Entries reads the table of entries.
func (s *configStore) Entries(ctx context.Context) ([]railmember.Member, error) {
	page, err := s.Store.Table(ctx, railsiteprocess.TableEntries)
	return s.Process.Entries(page.Rows), err
}

// LoadConfig reads and applies the operators' configuration.
func (s *configStore) LoadConfig(ctx context.Context) error {
	return s.ReadConfig(ctx)
}

// Instances reads the endpoint list.
func (s *configStore) Instances(ctx context.Context) ([]railinstance.Instance, error) {
	page, err := s.Store.Table(ctx, platform.TableInstances)
	return s.Process.Instances(railreplica.ByKey(page.Rows)), err
}
