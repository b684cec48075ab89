package railgatewaycmd

import (
	"cmp"
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"storj.io/drpc/drpcmux"

	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
	"github.com/fulmarrail/fulmarrail/internal/command/railsiteprocess"
	"github.com/fulmarrail/fulmarrail/internal/config/railbriefer"
	"github.com/fulmarrail/fulmarrail/internal/core/raillog"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/membership/railentries"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/node/railgateway"
	"github.com/fulmarrail/fulmarrail/internal/node/railrelay"
	"github.com/fulmarrail/fulmarrail/internal/node/railreporter"
	"github.com/fulmarrail/fulmarrail/internal/report/railentryreport"
	"github.com/fulmarrail/fulmarrail/internal/store/railrows"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildatagram"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildigest"
	"github.com/fulmarrail/fulmarrail/internal/wire/raillistener"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
	"github.com/fulmarrail/fulmarrail/platform"
)

const (
	// configWait is the part of the bound on a configuration for which the store may hold a call.
	configWait = 0.8
	// listPause is the part of the bound on leaving endpoints between two looks at their list.
	listPause = 0.4
	// entriesWait is the time for which the store may hold a call for changes among the entries.
	entriesWait = 20 * time.Second
	// keyAge is the part of the bound on revocations for which a view of the configuration is trusted.
	keyAge        = 0.8
	announcePause = time.Second
)

// NewCmdGateway returns the command.
func NewCmdGateway(f *railfactory.Factory) *cobra.Command {
	return railsiteprocess.Command(f, "gateway", "Take callers' requests to endpoints directly",
		"Take callers' requests to endpoints that have no agent beside them.\n\nThe first interrupt or SIGTERM stops the process as planned: it takes no new work, and running answers end. A second interrupt ends it at once; further SIGTERMs change nothing.",
		run)
}

// gateway joins the parts of the process.
type gateway struct {
	*railsiteprocess.Process
	config *railrows.Follower
	list   *railrows.Follower
	fleet  *railfleet.Fleet

	briefer *railbriefer.Server
	entries *railentries.Entries
	relay   *railrelay.Relay
	front   *railgateway.Gateway

	mu        sync.Mutex
	peers     []*net.UDPAddr
	rows      map[string]railrows.Row
	instances []railinstance.Instance
}

func run(ctx context.Context, p *railsiteprocess.Process) error {
	g := &gateway{Process: p}
	site := p.Site
	callers, err := net.Listen("tcp", site.Process.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen on callers")
	}
	ready, err := net.Listen("tcp", site.Process.ReadyAddress)
	if err != nil {
		return errors.Wrap(err, "listen on ready")
	}
	datagrams, err := net.ListenPacket("udp4", site.Process.InternalAddress)
	if err != nil {
		return errors.Wrap(err, "listen on inner for datagrams")
	}
	inner, err := net.Listen("tcp", site.Process.InternalAddress)
	if err != nil {
		return errors.Wrap(err, "listen on inner")
	}
	g.entries = &railentries.Entries{Self: site.Process.Name, Log: raillog.Named(p.Log, "entries")}
	g.briefer = &railbriefer.Server{Config: p.Current, Age: g.age, Instances: g.listed, Entries: g.members}
	g.front = &railgateway.Gateway{
		CallerListener: callers, ReadyListener: ready, ReadyPath: platform.ReadyPath, Translator: platform.Translator{}, Catalog: p.Current.Get, MinVersion: p.Current.MinVersion, NextMinVersion: p.Current.NextMinVersion,
		EntriesKnown: g.placed, ConfigAge: g.age, EndpointListAge: g.listAge, MaxConfigAge: trustedFor(site.Bounds.RevocationDelay), RetryShare: site.Bounds.RetryShare / 2,
		ObjectivePercent: site.Process.Objective,
		Log:              raillog.Named(p.Log, "front"),
	}
	g.fleet = &railfleet.Fleet{
		Zone: site.Process.Zone, Region: site.Process.Region, ColdOvershoot: site.Bounds.ColdOvershoot, ColdSlack: site.Bounds.ColdSlack,
		Share: g.entries.Share, OnChange: g.front.Wake, Log: raillog.Named(p.Log, "fleet"),
	}
	g.front.Fleet = g.fleet
	socket := &raildatagram.Socket{Conn: datagrams, Log: raillog.Named(p.Log, "datagrams")}
	timer := &railtimer.Service{}
	teller := &raildigest.Broadcaster{
		Name: site.Process.Name, Incarnation: rand.Uint32(), Source: g.fleet, Timer: timer, Send: func(digest *railproto.LoadDigest) {
			socket.Send(&railproto.Datagram{Content: &railproto.Datagram_Digest{Digest: digest}}, g.others()...)
		},
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if g.relay, err = g.newRelay(socket); err != nil {
		return err
	}
	defer func() { _ = g.relay.Dialer.Close() }()
	g.follow(work)
	go g.relay.Run(work)
	go timer.Run(work)
	go teller.Run(work)
	go socket.Receive(work, g.hear)
	go g.announce(work)
	if err := g.serveAgents(work, inner); err != nil {
		return err
	}
	return g.front.Run(ctx, site.Bounds.GracePeriod-300*time.Millisecond)
}

// follow keeps copies of the store's tables.
func (g *gateway) follow(ctx context.Context) {
	bounds := g.Site.Bounds
	g.config = g.FollowConfig(railtimer.Scale(configWait, bounds.ConfigDelay), g.refresh)
	g.Current.OnWantedVersion = func(model string, version int64, age time.Duration) { go g.RecordNaming(ctx, model, version, age) }
	g.list = g.Follow(platform.TableInstances, 0, railtimer.Scale(listPause, bounds.DrainDelay), func(rows map[string]railrows.Row) {
		g.mu.Lock()
		g.rows = rows
		g.mu.Unlock()
		g.refresh()
	})
	entries := g.Follow(railsiteprocess.TableEntries, entriesWait, 0, g.takeEntries)
	go g.config.Run(ctx)
	go g.list.Run(ctx)
	go entries.Run(ctx)
}

// refresh takes the endpoints over as the list and the configuration show them.
func (g *gateway) refresh() {
	if _, known := g.Current.Get(); !known {
		return
	}
	g.mu.Lock()
	rows := g.rows
	g.mu.Unlock()
	instances := g.Instances(rows)
	g.mu.Lock()
	g.instances = instances
	g.mu.Unlock()
	g.fleet.SetInstances(instances)
	g.briefer.NotifyChange()
	g.relay.ConfigChanged()
}

// serveAgents answers the agents that only bring weights.
func (g *gateway) serveAgents(ctx context.Context, inner net.Listener) error {
	mux := drpcmux.New()
	reporter := &railreporter.Reporter[railentryreport.Report]{Report: g.report}
	if err := errors.Join(railproto.DRPCRegisterEntry(mux, g.briefer), railproto.DRPCRegisterAgent(mux, g.relay), railproto.DRPCRegisterNode(mux, reporter)); err != nil {
		return errors.Wrap(err, "register the inner services")
	}
	listener := &raillistener.Listener{Key: []byte(g.Site.Process.SharedKey), Handler: mux, Log: raillog.Named(g.Log, "inner")}
	go func() {
		if err := listener.Run(ctx, inner); err != nil {
			g.Log.Error("agents are not answered any more", "err", err)
		}
	}()
	return nil
}

func (g *gateway) age() time.Duration {
	age, _ := g.config.Age()
	return age
}

func (g *gateway) listAge() time.Duration {
	age, _ := g.list.Age()
	return age
}

func (g *gateway) listed() []railinstance.Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.instances
}

func (g *gateway) takeEntries(rows map[string]railrows.Row) {
	members := g.Entries(slices.Collect(maps.Values(rows)))
	slices.SortFunc(members, func(a, b railmember.Member) int { return cmp.Compare(a.Name, b.Name) })
	others := slices.DeleteFunc(slices.Clone(members), func(m railmember.Member) bool { return m.Name == g.Site.Process.Name })
	g.entries.SetMembers(members)
	g.mu.Lock()
	g.peers = raildatagram.Addresses(others)
	g.mu.Unlock()
	g.briefer.NotifyChange()
}

func (g *gateway) others() []*net.UDPAddr {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peers
}

func (g *gateway) members() []railmember.Member {
	members, _ := g.entries.Members()
	return members
}

// placed reports whether the other entries are known.
func (g *gateway) placed() bool {
	_, known := g.entries.Members()
	return known
}

// hear takes over what another entry tells of its load, or an agent of the engine beside it.
func (g *gateway) hear(from net.Addr, datagram *railproto.Datagram) {
	if digest := datagram.GetDigest(); digest != nil {
		g.entries.MarkSeen(digest.GetEntry())
		g.fleet.MergeDigest(digest)
	}
	if inventory := datagram.GetInventory(); inventory != nil {
		g.relay.HandleInventory(from, inventory)
	}
	if n := datagram.GetNotice(); n != nil {
		g.fleet.ApplyNotice(n.GetAddress(), n.GetVersion(), time.Duration(n.GetChangesInMillis())*time.Millisecond)
	}
}

// trustedFor returns the age up to which a view of the configuration may decide about keys.
func trustedFor(revocation time.Duration) time.Duration {
	if revocation == 0 {
		return math.MaxInt64
	}
	return railtimer.Scale(keyAge, revocation)
}
