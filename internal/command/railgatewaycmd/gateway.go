package railgatewaycmd

import (
	"cmp"
	"context"
	"maps"
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
	"github.com/fulmarrail/fulmarrail/internal/config/railconfigserver"
	"github.com/fulmarrail/fulmarrail/internal/core/raillog"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/limit/railquarantine"
	"github.com/fulmarrail/fulmarrail/internal/membership/railentries"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/membership/railproofs"
	"github.com/fulmarrail/fulmarrail/internal/node/railgateway"
	"github.com/fulmarrail/fulmarrail/internal/node/railpeersource"
	"github.com/fulmarrail/fulmarrail/internal/node/railproofkeeper"
	"github.com/fulmarrail/fulmarrail/internal/node/railrelay"
	"github.com/fulmarrail/fulmarrail/internal/node/railreplicaserver"
	"github.com/fulmarrail/fulmarrail/internal/node/railstatus"
	"github.com/fulmarrail/fulmarrail/internal/report/railentryreport"
	"github.com/fulmarrail/fulmarrail/internal/store/railreplica"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildatagram"
	"github.com/fulmarrail/fulmarrail/internal/wire/raillistener"
	"github.com/fulmarrail/fulmarrail/internal/wire/railloadbroadcast"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
	"github.com/fulmarrail/fulmarrail/platform"
)

const (
	// requestMemoryDivisor is the ratio of the process's memory to that for larger requests. The rest is for connections, responses and
	// garbage.
	requestMemoryDivisor = 4
	// entriesPollWait is the long polling time for the table of entries.
	entriesPollWait = 20 * time.Second
	// peerTimeoutShare is the timeout for reading a table from another entry, as a share of that of reading the configuration from the store, so
	// that several entries can be asked.
	peerTimeoutShare = 0.3
	// publishRetryDelay is the mean delay after a failed write of the entry's row. It varies by half, since all entries write after a restore.
	publishRetryDelay = time.Second
	// exitTime is the part of the grace period that is left for the end of the process once its drain is over.
	exitTime = 300 * time.Millisecond
	// maxBehindTime is the time after the start of a process within which it does not take an older configuration than other entries have had.
	maxBehindTime = 10 * time.Second
	// rewriteSpread is the time over which the entries spread their writes after a restore of the store. It is less than the time for which
	// followers keep rows that are missing.
	rewriteSpread = railreplica.ReturnGrace / 4
)

// NewCmdGateway returns the command "gateway".
func NewCmdGateway(f *railfactory.Factory) *cobra.Command {
	return railsiteprocess.NewCommand(f, "gateway", "Take callers' requests to endpoints directly",
		"Take callers' requests to endpoints that have no agent beside them.\n\nThe first interrupt or SIGTERM stops the process as planned: it takes no new work, and running answers end. A second interrupt ends it at once; further SIGTERMs change nothing.",
		run)
}

// gateway is a running gateway process.
type gateway struct {
	*railsiteprocess.Process
	configFollower   *railreplica.Follower
	instanceFollower *railreplica.Follower
	fleet            *railfleet.Fleet
	quarantine       *railquarantine.Quarantine
	proofs           *railproofs.Proofs
	keeper           *railproofkeeper.Keeper
	socket           *raildatagram.Socket

	configServer *railconfigserver.Server
	entries      *railentries.Entries
	relay        *railrelay.Relay
	frontend     *railgateway.Gateway

	mu           sync.Mutex
	peerAddrs    []*net.UDPAddr
	instanceRows map[string]railreplica.Row
	instances    []railinstance.Instance
	// entriesConfig is the newest configuration that the entries' rows mention, and servedConfig the newest that the other entries had when
	// this process started. startedAt is the time since boot at which it did.
	entriesConfig int64
	servedConfig  servedConfig
	startedAt     time.Duration
}

func run(ctx context.Context, p *railsiteprocess.Process) error {
	g := &gateway{Process: p, startedAt: p.Clock.Now()}
	site := p.Site
	callerListener, err := net.Listen("tcp", site.Process.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen on callers")
	}
	readyListener, err := net.Listen("tcp", site.Process.ReadyAddress)
	if err != nil {
		return errors.Wrap(err, "listen on ready")
	}
	packetConn, err := net.ListenPacket("udp4", site.Process.InternalAddress)
	if err != nil {
		return errors.Wrap(err, "listen on inner for datagrams")
	}
	internalListener, err := net.Listen("tcp", site.Process.InternalAddress)
	if err != nil {
		return errors.Wrap(err, "listen on inner")
	}
	g.entries = &railentries.Entries{Self: site.Process.Name, Log: raillog.Named(p.Log, "entries")}
	g.configServer = &railconfigserver.Server{Config: p.Config, Age: g.configAge, MaxAge: p.Limits.MaxServedAge, Instances: g.currentInstances, Entries: g.members}
	g.quarantine = &railquarantine.Quarantine{Log: raillog.Named(p.Log, "quarantine")}
	g.frontend = &railgateway.Gateway{
		CallerListener: callerListener, ReadyListener: readyListener, ReadyPath: platform.ReadyPath, Translator: platform.Translator{}, Catalog: g.catalog, MinVersion: p.Config.MinVersion, NextMinVersion: p.Config.NextMinVersion,
		EntriesKnown: g.entriesKnown, ConfigAge: g.configAge, EndpointListAge: g.instancesAge, MaxConfigAge: p.Limits.MaxKeyAge, MaxRequestMemory: site.Process.MemoryBytes() / requestMemoryDivisor, RetryShare: site.Bounds.RetryShare / 2,
		ObjectivePercent: site.Process.ObjectivePercent, Quarantine: g.quarantine,
		Log: raillog.Named(p.Log, "front"),
	}
	g.fleet = &railfleet.Fleet{
		Zone: site.Process.Zone, Region: site.Process.Region, ColdOvershoot: site.Bounds.ColdOvershoot, ColdSlack: site.Bounds.ColdSlack,
		Share: g.entries.Share, OnChange: g.frontend.Wake, OnRestart: g.quarantine.EngineRestarted, StoreClock: p.StoreClock, Log: raillog.Named(p.Log, "fleet"),
	}
	g.frontend.Fleet = g.fleet
	socket := &raildatagram.Socket{Conn: packetConn, Log: raillog.Named(p.Log, "datagrams")}
	g.socket = socket
	g.fleet.Holders, g.fleet.Ask = g.entries.Holders, func(entry string, loan *railproto.QuotaLoan) {
		socket.Send(&railproto.Datagram{Content: &railproto.Datagram_Loan{Loan: loan}}, g.entryAddress(entry)...)
	}
	timer := &railtimer.Service{}
	keeper := g.newKeeper(timer)
	broadcaster := &railloadbroadcast.Broadcaster{
		Name: site.Process.Name, Incarnation: rand.Uint32(), Source: g.fleet, Timer: timer, Send: func(digest *railproto.LoadDigest) {
			socket.Send(&railproto.Datagram{Content: &railproto.Datagram_Digest{Digest: digest}}, g.peerAddresses()...)
		},
	}
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if g.relay, err = g.newRelay(socket); err != nil {
		return err
	}
	defer func() { _ = g.relay.Dialer.Close() }()
	g.startFollowers(workCtx)
	go g.relay.Run(workCtx)
	go timer.Run(workCtx)
	go keeper.Run(workCtx)
	go broadcaster.Run(workCtx)
	go g.shareQuarantine(workCtx, socket, timer)
	go socket.Receive(workCtx, func(from net.Addr, datagram *railproto.Datagram) {
		g.handleDatagram(from, datagram)
		if loan := datagram.GetLoan(); loan != nil {
			g.handleLoan(socket, from, loan)
		}
	})
	go g.publishEntryRow(workCtx)
	if err := g.serveInternal(workCtx, internalListener); err != nil {
		return err
	}
	return g.frontend.Run(ctx, site.Bounds.GracePeriod-exitTime)
}

// startFollowers starts to replicate the store's tables of configuration, endpoints and entries.
func (g *gateway) startFollowers(ctx context.Context) {
	g.configFollower = g.NewConfigFollower(g.updateInstances)
	g.Config.OnWantedVersion = func(model string, version int64, age time.Duration, guessed bool) {
		go g.ShareWantedVersion(ctx, model, version, age, guessed)
	}
	g.instanceFollower = g.NewFollower(platform.TableInstances, 0, g.Limits.ListDelay, func(rows map[string]railreplica.Row) {
		g.mu.Lock()
		g.instanceRows = rows
		g.mu.Unlock()
		g.updateInstances()
	})
	entriesFollower := g.NewFollower(railsiteprocess.TableEntries, entriesPollWait, 0, g.setEntries)
	for _, follower := range []*railreplica.Follower{g.configFollower, g.instanceFollower} {
		follower.Fallback = g.newPeerSource()
	}
	for _, follower := range []*railreplica.Follower{g.configFollower, g.instanceFollower, entriesFollower} {
		go follower.Run(ctx)
	}
}

// newPeerSource returns a source that reads a table from other entries.
func (g *gateway) newPeerSource() *railpeersource.Source {
	return &railpeersource.Source{
		Addresses: g.otherEntries, Timeout: railtimer.Scale(peerTimeoutShare, g.Limits.ConfigTimeout), Now: g.Clock.Now,
		Request: func(ctx context.Context, address string, req *railproto.ReplicaRequest) (*railproto.ReplicaReply, error) {
			return g.relay.Dialer.Replica(ctx, address).Changes(ctx, req)
		},
	}
}

// updateInstances recomputes the endpoints from the configuration and the replicated rows, and passes them to the other components.
// It does nothing before the first configuration is known.
func (g *gateway) updateInstances() {
	if _, known := g.Config.Get(); !known {
		return
	}
	g.mu.Lock()
	rows := g.instanceRows
	g.mu.Unlock()
	instances := g.Instances(rows)
	g.mu.Lock()
	g.instances = instances
	g.mu.Unlock()
	g.proofs.SetInstances(instances)
	g.fleet.SetInstances(instances)
	g.configServer.NotifyChange()
	g.relay.ConfigChanged()
}

// serveInternal serves calls from carriers and other entries until ctx is done. It returns an error if a service can't be registered.
func (g *gateway) serveInternal(ctx context.Context, internalListener net.Listener) error {
	mux := drpcmux.New()
	reporter := &railstatus.Reporter[railentryreport.Report]{Report: g.report}
	replicas := &railreplicaserver.Server{
		Followers: map[string]*railreplica.Follower{g.configFollower.Table: g.configFollower, g.instanceFollower.Table: g.instanceFollower}, Now: g.Clock.Now,
	}
	if err := errors.Join(railproto.DRPCRegisterEntry(mux, g.configServer), railproto.DRPCRegisterAgent(mux, g.relay), railproto.DRPCRegisterNode(mux, reporter),
		railproto.DRPCRegisterReplica(mux, replicas)); err != nil {
		return errors.Wrap(err, "register the internal services")
	}
	server := &raillistener.Listener{Key: []byte(g.Site.Process.SharedKey), Handler: mux, Log: raillog.Named(g.Log, "inner")}
	go func() {
		if err := server.Run(ctx, internalListener); err != nil {
			g.Log.Error("internal server failed; agents are no longer served", "err", err)
		}
	}()
	return nil
}

// configAge returns the time since the configuration was last confirmed to be current.
func (g *gateway) configAge() time.Duration {
	age, _ := g.configFollower.Age()
	return age
}

// instancesAge returns the time since the endpoint list was last confirmed to be current.
func (g *gateway) instancesAge() time.Duration {
	age, _ := g.instanceFollower.Age()
	return age
}

func (g *gateway) currentInstances() []railinstance.Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.instances
}

// setEntries applies the rows of the table of entries.
func (g *gateway) setEntries(rows map[string]railreplica.Row) {
	list := slices.Collect(maps.Values(rows))
	members := g.Entries(list)
	slices.SortFunc(members, func(a, b railmember.Member) int { return cmp.Compare(a.Name, b.Name) })
	others := slices.DeleteFunc(slices.Clone(members), func(m railmember.Member) bool { return m.Name == g.Site.Process.Name })
	newest, addrs := railsiteprocess.NewestConfig(list), raildatagram.Addresses(others)
	g.mu.Lock()
	g.entriesConfig, g.peerAddrs = newest, addrs
	g.mu.Unlock()
	g.entries.SetMembers(members)
	g.servedConfig.askOnce(others, g.requestConfigVersion)
	g.configServer.NotifyChange()
}

// otherEntries returns the internal addresses of the other entries.
func (g *gateway) otherEntries() []string {
	var addresses []string
	for _, m := range g.members() {
		if m.Name != g.Site.Process.Name {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}

// peerAddresses returns the datagram addresses of the other entries.
func (g *gateway) peerAddresses() []*net.UDPAddr {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peerAddrs
}

// entryAddress returns the address of an entry in a list, which is empty if it is not known.
func (g *gateway) entryAddress(name string) []*net.UDPAddr {
	members, _ := g.entries.Members()
	return raildatagram.Addresses(slices.DeleteFunc(slices.Clone(members), func(m railmember.Member) bool { return m.Name != name }))
}

// handleLoan answers another entry that asks for a part of an endpoint's limit, or applies the answer to this entry.
func (g *gateway) handleLoan(socket *raildatagram.Socket, from net.Addr, loan *railproto.QuotaLoan) {
	answer := g.fleet.HandleLoan(loan)
	if to, ok := from.(*net.UDPAddr); ok && answer != nil {
		socket.Send(&railproto.Datagram{Content: &railproto.Datagram_Loan{Loan: answer}}, to)
	}
}

func (g *gateway) members() []railmember.Member {
	members, _ := g.entries.Members()
	return members
}

// entriesKnown reports whether the table of entries has been read.
func (g *gateway) entriesKnown() bool {
	_, known := g.entries.Members()
	return known
}

// handleDatagram applies a digest of loads or of suspected parts from another entry, an inventory, or a notice about an engine
// or a question about one.
func (g *gateway) handleDatagram(from net.Addr, datagram *railproto.Datagram) {
	if digest := datagram.GetDigest(); digest != nil {
		g.entries.MarkSeen(digest.GetEntry())
		g.keeper.Heard(digest.GetEntry(), digest.GetIncarnation())
		g.fleet.MergeDigest(digest)
	}
	if parts := datagram.GetParts(); parts != nil {
		g.quarantine.Merge(parts)
	}
	if inventory := datagram.GetInventory(); inventory != nil {
		g.relay.HandleInventory(from, inventory)
	}
	if n := datagram.GetNotice(); n != nil {
		g.handleNotice(from, n)
	}
	if q := datagram.GetQuery(); q != nil {
		g.answerQuery(from, q)
	}
}
