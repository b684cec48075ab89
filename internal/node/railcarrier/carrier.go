package railcarrier

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmux"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/config/railcatalog"
	"github.com/fulmarrail/fulmarrail/internal/core/raillog"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/node/railpeer"
	"github.com/fulmarrail/fulmarrail/internal/node/railreporter"
	"github.com/fulmarrail/fulmarrail/internal/report/railagentreport"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railcollector"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railinstaller"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railstage"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railturn"
	"github.com/fulmarrail/fulmarrail/internal/routing/railhash"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildatagram"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/internal/wire/raillistener"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// uploadSlots bounds the chunks on their way to the link at once, which live requests wait behind.
	maxUploads = 1
	// linkShare is the share of the link, each way, that weights may take.
	weightsLinkShare = 0.92
	// fetchList and turnList are the ages that the list of endpoints may have while weights are fetched, and for this engine's
	// place among the others. Fresh agents tell of themselves before the list is read again.
	maxFetchListAge = 3 * time.Second
	maxLoadListAge  = 6 * time.Second
	// phaseServing is the phase of a carrier that has nothing to do.
	phaseServing = "serving"
)

// Carrier is one agent process; its fields are set before Run.
type Carrier struct {
	// Self is this process; its name is the IP address of its VM.
	Self             railmember.Member
	SharedKey        []byte
	InternalListener net.Listener
	// Port is the port at which the agents of all VMs listen.
	AgentPort string
	// Engine is the engine beside the process.
	Engine railinstaller.Engine
	Origin railpeer.Origin
	Dialer *raildialer.Dialer
	// Socket is the socket for datagrams, at the address of Inner.
	Socket *raildatagram.Socket
	// Catalog returns the configuration in force, Instances the endpoints that are listed by a
	// list that is not older than asked for, Entries the entries, and Named the versions of a model's
	// weights in the order in which they were named.
	Catalog        func() (railcatalog.Catalog, bool)
	Instances      func(maxAge time.Duration) []railinstance.Instance
	Entries        func() []railmember.Member
	WantedVersions func(model string) []railturn.WantedVersion
	// Notify tells the entries which version serves, or 0 while the engine takes nothing new, and the time after which it is to
	// change, if that is not 0.
	NotifyEntries func(version int64, changesIn time.Duration)
	// Link is the rate of the VM's link in bytes a second, or 0 where it is not known.
	LinkRate int
	// Weights is the time in which new weights are to serve everywhere.
	RolloutTime time.Duration
	// Regions holds the region of each zone.
	ZoneRegions map[string]string
	Log         *slog.Logger

	once      sync.Once
	peer      *railpeer.Peer
	installer *railinstaller.Installer
}

// Run brings weights until ctx is done.
func (c *Carrier) Run(ctx context.Context) error {
	c.once.Do(c.init)
	mux := drpcmux.New()
	reporter := &railreporter.Reporter[railagentreport.Report]{Report: c.report}
	if err := errors.CombineErrors(railproto.DRPCRegisterAgent(mux, c.peer), railproto.DRPCRegisterNode(mux, reporter)); err != nil {
		return errors.Wrap(err, "register the inner services")
	}
	go c.installer.Run(ctx)
	go c.Socket.Receive(ctx, c.handleDatagram)
	listener := &raillistener.Listener{Key: c.SharedKey, Handler: mux, Log: c.Log}
	return listener.Run(ctx, c.InternalListener)
}

// ConfigChanged tells that the configuration or the version wanted has changed.
func (c *Carrier) ConfigChanged() {
	c.once.Do(c.init)
	c.peer.Collector().NotifyWantedChanged()
}

func (c *Carrier) init() {
	stager := &railstage.Stager{Engine: c.Engine}
	c.peer = &railpeer.Peer{
		Self: c.Self, Members: c.swarmMembers, Model: c.model, Catalog: c.Catalog, WantedVersions: c.WantedVersions, RolloutTime: c.RolloutTime, ZoneRegions: c.ZoneRegions,
		Origin: c.Origin, Dialer: c.Dialer, Socket: c.Socket, DownloadRate: int(weightsLinkShare * float64(c.LinkRate)), MaxUploads: maxUploads, Log: c.Log,
		RecoverChunks: func(ctx context.Context, w railcollector.Weights, add func(string, []byte) error) error {
			return stager.Recover(ctx, w.Model, w.Manifest, add)
		},
	}
	stager.Chunk = c.peer.ReadChunk
	c.setRates(true)
	c.installer = &railinstaller.Installer{
		Engine: c.Engine, Collector: c.peer.Collector(), LoadDelay: c.loadDelay, SetIdle: c.setRates, Notify: c.NotifyEntries, Stager: stager,
		Log: raillog.Part(c.Log, "rollout"),
	}
}

// report returns what operators see of the carrier and the engine beside it.
func (c *Carrier) report() railagentreport.Report {
	catalog, _ := c.Catalog()
	serving := c.installer.Serving()
	fetchedVersion, chunksHeld, chunksTotal := c.peer.Collector().Progress()
	r := railagentreport.Report{
		Name: c.Self.Name, Zone: c.Self.Zone, Service: c.Self.Service, Revision: uint64(catalog.Version), Serving: serving > 0,
		Weights: strconv.FormatInt(serving, 10), Phase: phaseServing, ChunksHeld: chunksHeld, ChunksTotal: chunksTotal,
	}
	switch {
	case chunksHeld < chunksTotal || chunksTotal == 0:
		r.Phase = "fetching version " + strconv.FormatInt(fetchedVersion, 10)
	case fetchedVersion > serving:
		r.Phase = "waiting for its turn to load version " + strconv.FormatInt(fetchedVersion, 10)
	}
	return r
}

// setPace paces weights below the link's rate, so that live answers beside them come on time; an idle engine has none.
func (c *Carrier) setRates(idle bool) {
	switch rate := int(weightsLinkShare * float64(c.LinkRate)); {
	case c.LinkRate <= 0:
	case idle:
		c.peer.SetRates(c.LinkRate, 0)
	default:
		c.peer.SetRates(rate, rate)
	}
}

// engine returns what is known of the engines of the service.
func (c *Carrier) engineConfig() (*railbackend.Engine, bool) {
	catalog, _ := c.Catalog()
	backend, ok := catalog.Backend(c.Self.Service)
	return backend.Engine, ok && backend.Engine != nil
}

// model returns the model of the engine's service, or an empty string while none is known.
func (c *Carrier) model() string {
	engine, ok := c.engineConfig()
	if !ok {
		return ""
	}
	return engine.Model
}

// exchange returns the processes with which weights are exchanged: the agents, and the entries where they relay them.
func (c *Carrier) swarmMembers() []railmember.Member {
	list := c.agents(maxFetchListAge)
	if engine, ok := c.engineConfig(); ok && railpeer.Relayable(engine) {
		catalog, _ := c.Catalog()
		origin, _ := catalog.Origin()
		list = append(list, railpeer.EligibleRelays(c.Entries(), origin)...)
	}
	return list
}

// agents returns this agent and the others beside engines of the same service, in an order that is the same at all of them.
func (c *Carrier) agents(maxListAge time.Duration) []railmember.Member {
	list := railpeer.Agents(c.Instances(maxListAge), func(service string) bool { return service == c.Self.Service }, c.AgentPort)
	list = slices.DeleteFunc(list, func(m railmember.Member) bool { return m.Name == c.Self.Name })
	byName := railhash.Ranking[railmember.Member]{Name: func(m railmember.Member) string { return m.Name }}
	return byName.Top("", append(list, c.Self), len(list)+1)
}

// hear takes over what another process tells of the chunks that it holds.
func (c *Carrier) handleDatagram(from net.Addr, datagram *railproto.Datagram) {
	if inventory := datagram.GetInventory(); inventory != nil {
		c.peer.HandleInventory(from, inventory)
	}
}

// turn returns the time until this engine's turn to change over: the engines follow each other, so that the others serve.
func (c *Carrier) loadDelay(serving, loading int64) time.Duration {
	agents := c.agents(maxLoadListAge)
	index := slices.IndexFunc(agents, func(m railmember.Member) bool { return m.Name == c.Self.Name })
	schedule := railturn.Schedule{RolloutTime: c.RolloutTime, Versions: c.WantedVersions(c.model())}
	return schedule.LoadDelay(serving, loading, index, len(agents))
}
