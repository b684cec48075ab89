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
	"github.com/fulmarrail/fulmarrail/internal/node/railstatus"
	"github.com/fulmarrail/fulmarrail/internal/report/railagentreport"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railannouncer"
	"github.com/fulmarrail/fulmarrail/internal/rollout/raildownloader"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railinstaller"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railloader"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railschedule"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railstager"
	"github.com/fulmarrail/fulmarrail/internal/routing/railhash"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildatagram"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/internal/wire/raillistener"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// maxUploads is the maximum number of concurrent chunk uploads. Responses to live requests queue behind them on the link.
	maxUploads = 1
	// weightsLinkShare is the share of the link, in each direction, that weights may use.
	weightsLinkShare = 0.92
	// maxFetchListAge and maxLoadListAge are the maximum ages of the list of endpoints when weights are fetched, and when the
	// engines' order of loading is computed. New agents announce themselves before the list is read again.
	maxFetchListAge = 3 * time.Second
	maxLoadListAge  = 6 * time.Second
	// phaseServing is the phase of a carrier with nothing to fetch or load.
	phaseServing = "serving"
)

// Carrier is one agent process. Its exported fields must be set before Run is called.
type Carrier struct {
	// Self is this process. Its name is the IP address of its VM.
	Self railmember.Member
	// SharedKey authenticates the deployment's processes to each other.
	SharedKey []byte
	// InternalListener accepts calls from the deployment's other processes.
	InternalListener net.Listener
	// AgentPort is the port on which the agents of all VMs listen.
	AgentPort string
	// Engine is the engine on the same VM.
	Engine railloader.Engine
	Origin railpeer.Origin
	Dialer *raildialer.Dialer
	// Socket sends and receives datagrams at the address of InternalListener.
	Socket *raildatagram.Socket
	// Catalog returns the current configuration, or false if none is known, Instances the endpoints from a list that is no older than
	// maxAge, Entries the entries, and WantedVersions the versions of a model's weights in the order in which they were requested.
	Catalog        func() (railcatalog.Catalog, bool)
	Instances      func(maxAge time.Duration) []railinstance.Instance
	Entries        func() []railmember.Member
	WantedVersions func(model string) []railschedule.WantedVersion
	// Announcer tells the entries what the engine serves and which weights are proven.
	Announcer *railannouncer.Announcer
	// LinkRate is the capacity of the VM's link in bytes per second, or 0 if it is not known.
	LinkRate int
	// RolloutTime is the time within which a new version must serve on all engines.
	RolloutTime time.Duration
	// ZoneRegions maps each zone to its region.
	ZoneRegions map[string]string
	// Now returns the time of a clock that also runs while the VM is suspended.
	Now func() time.Duration
	Log *slog.Logger

	once      sync.Once
	peer      *railpeer.Peer
	installer *railinstaller.Installer
}

// Run fetches, shares and installs weights until ctx is done. It returns an error if the internal services can't be served.
func (c *Carrier) Run(ctx context.Context) error {
	c.once.Do(c.init)
	mux := drpcmux.New()
	reporter := &railstatus.Reporter[railagentreport.Report]{Report: c.report}
	if err := errors.CombineErrors(railproto.DRPCRegisterAgent(mux, c.peer), railproto.DRPCRegisterNode(mux, reporter)); err != nil {
		return errors.Wrap(err, "register the internal services")
	}
	go c.installer.Run(ctx)
	go c.Announcer.Run(ctx)
	go c.Socket.Receive(ctx, c.handleDatagram)
	listener := &raillistener.Listener{Key: c.SharedKey, Handler: mux, Log: c.Log}
	return listener.Run(ctx, c.InternalListener)
}

// ConfigChanged must be called after the configuration or the wanted version has changed.
func (c *Carrier) ConfigChanged() {
	c.once.Do(c.init)
	c.peer.Downloader().NotifyWantedChanged()
}

func (c *Carrier) init() {
	stager := &railstager.Stager{Engine: c.Engine, Now: c.Now}
	c.peer = &railpeer.Peer{
		Self: c.Self, Members: c.swarmMembers, Model: c.model, Catalog: c.Catalog, WantedVersions: c.WantedVersions, RolloutTime: c.RolloutTime, ZoneRegions: c.ZoneRegions,
		Origin: c.Origin, Dialer: c.Dialer, Socket: c.Socket, DownloadRate: int(weightsLinkShare * float64(c.LinkRate)), MaxUploads: maxUploads, Log: c.Log,
		RecoverChunks: func(ctx context.Context, w raildownloader.Weights, add func(string, []byte) error) error {
			return stager.Recover(ctx, w.Model, w.Manifest, add)
		},
	}
	stager.Chunk = c.peer.ReadChunk
	c.setRates(true)
	c.installer = &railinstaller.Installer{
		Engine: c.Engine, Layers: c.layers, Downloader: c.peer.Downloader(), LoadDelay: c.loadDelay, SetIdle: c.setRates, Notify: c.Announcer.Notify, Stager: stager,
		OnProof: c.Announcer.SetProof, Known: c.Announcer.Known, Fence: c.Announcer.Fence, Log: raillog.Named(c.Log, "rollout"),
	}
}

// report returns the status report of the carrier and its engine for operators.
func (c *Carrier) report() railagentreport.Report {
	catalog, _ := c.Catalog()
	serving := c.installer.Serving()
	fetchedVersion, chunksHeld, chunksTotal := c.peer.Downloader().Progress()
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

// setRates limits the transfer of weights to a share of the link, so that responses to live requests stay on time. While
// the engine is idle, uploads may use the whole link and downloads are not limited.
func (c *Carrier) setRates(idle bool) {
	switch rate := int(weightsLinkShare * float64(c.LinkRate)); {
	case c.LinkRate <= 0:
	case idle:
		c.peer.SetRates(c.LinkRate, 0)
	default:
		c.peer.SetRates(rate, rate)
	}
}

// engineConfig returns the configuration of the service's engines, or false if there is none.
func (c *Carrier) engineConfig() (*railbackend.Engine, bool) {
	catalog, _ := c.Catalog()
	backend, ok := catalog.Backend(c.Self.Service)
	return backend.Engine, ok && backend.Engine != nil
}

// model returns the model of the engine's service, or an empty string if none is configured.
func (c *Carrier) model() string {
	engine, ok := c.engineConfig()
	if !ok {
		return ""
	}
	return engine.Model
}

// layers returns the number of layers of the engine's model, or 0 if none is configured.
func (c *Carrier) layers() int {
	engine, ok := c.engineConfig()
	if !ok {
		return 0
	}
	return engine.Layers
}

// swarmMembers returns the processes that exchange the engine's weights: the agents, and the entries if they relay these weights.
func (c *Carrier) swarmMembers() []railmember.Member {
	list := c.agents(maxFetchListAge)
	if engine, ok := c.engineConfig(); ok && railpeer.Relayable(engine) {
		catalog, _ := c.Catalog()
		origin, _ := catalog.Origin()
		list = append(list, railpeer.EligibleRelays(c.Entries(), origin)...)
	}
	return list
}

// agents returns this agent and those of the other engines of its service, in an order that is the same at all of them.
func (c *Carrier) agents(maxListAge time.Duration) []railmember.Member {
	list := railpeer.Agents(c.Instances(maxListAge), func(service string) bool { return service == c.Self.Service }, c.AgentPort)
	list = slices.DeleteFunc(list, func(m railmember.Member) bool { return m.Name == c.Self.Name })
	byName := railhash.Ranking[railmember.Member]{Name: func(m railmember.Member) string { return m.Name }}
	return byName.Top("", append(list, c.Self), len(list)+1)
}

// handleDatagram applies another process's chunk inventory, an entry's question about the engine or its reply to a notice, and ignores all other
// datagrams.
func (c *Carrier) handleDatagram(from net.Addr, datagram *railproto.Datagram) {
	if inventory := datagram.GetInventory(); inventory != nil {
		c.peer.HandleInventory(from, inventory)
	}
	if datagram.GetQuery() != nil {
		c.Announcer.Answer(from)
	}
	if r := datagram.GetNoticeReply(); r != nil {
		c.Announcer.HandleReply(from, r)
	}
}

// loadDelay returns the time until this engine is to load a version. The engines load one after another, so that the others keep
// serving.
func (c *Carrier) loadDelay(serving, loading int64) time.Duration {
	agents := c.agents(maxLoadListAge)
	index := slices.IndexFunc(agents, func(m railmember.Member) bool { return m.Name == c.Self.Name })
	schedule := railschedule.Schedule{RolloutTime: c.RolloutTime, Versions: c.WantedVersions(c.model())}
	return schedule.LoadDelay(serving, loading, index, len(agents))
}
