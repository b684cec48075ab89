package railcarrier

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
	"storj.io/drpc/drpcmux"

	"github.com/fulmarrail/fulmarrail/internal/config/railcatalog"
	"github.com/fulmarrail/fulmarrail/internal/core/raillog"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railchunks"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railfinder"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railinstaller"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railpacer"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railsharing"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railstage"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railswarm"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railturn"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railuploads"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railvault"
	"github.com/fulmarrail/fulmarrail/internal/routing/railhash"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildatagram"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/internal/wire/raillistener"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// uploadSlots bounds the chunks on their way to the link at once, which live requests wait behind.
	uploadSlots = 1
	// linkShare is the share of the link, each way, that weights may take.
	linkShare = 0.92
	// burst is the number of bytes of weights that may pass at once: a chunk.
	burst = 32 << 10
	// askLimit bounds the time for which a chunk that another agent has may take.
	askLimit = 2 * time.Second
	// fetchList and turnList are the ages that the list of endpoints may have while weights are fetched, and for this engine's
	// place among the others. Fresh agents tell of themselves before the list is read again.
	fetchList = 3 * time.Second
	turnList  = 6 * time.Second
)

// Engine is the engine beside the process, and the origin.
type Engine interface {
	railinstaller.Engine
	// Manifest returns the manifest of a version from the origin, and the version; version 0 is the newest.
	Manifest(ctx context.Context, origin, model string, version int64) (railmanifest.Manifest, int64, error)
	// OriginPiece returns a piece from the origin; it is not checked.
	OriginPiece(ctx context.Context, origin, model string, version int64, index int) ([]byte, error)
}

// Carrier is one agent process; its fields are set before Run.
type Carrier struct {
	// Self is this process; its name is the IP address of its VM.
	Self  railmember.Member
	Key   []byte
	Inner net.Listener
	// Port is the port at which the agents of all VMs listen.
	Port   string
	Engine Engine
	Dialer *raildialer.Dialer
	// Socket is the socket for datagrams, at the address of Inner.
	Socket *raildatagram.Socket
	// Catalog returns the configuration in force, Instances the endpoints that are listed by a
	// list that is not older than asked for, and Named the versions of a model's
	// weights in the order in which they were named.
	Catalog   func() (railcatalog.Catalog, bool)
	Instances func(oldest time.Duration) []railinstance.Instance
	Named     func(model string) []railturn.Naming
	// Notify tells the entries which version serves, or 0 while the engine takes nothing new, and the time after which it is to
	// change, if that is not 0.
	Notify func(version int64, changesIn time.Duration)
	// Link is the rate of the VM's link in bytes a second, or 0 where it is not known.
	Link int
	// Weights is the time in which new weights are to serve everywhere.
	Weights time.Duration
	// Regions holds the region of each zone.
	Regions map[string]string
	Log     *slog.Logger

	once      sync.Once
	store     *railchunks.Store
	uploads   *railpacer.Pacer
	downloads *rate.Limiter
	sharing   *railsharing.Server
	swarm     *railswarm.Swarm
	finder    *railfinder.Finder
	installer *railinstaller.Installer
}

// Run brings weights until ctx is done.
func (c *Carrier) Run(ctx context.Context) error {
	c.once.Do(c.init)
	mux := drpcmux.New()
	if err := railproto.DRPCRegisterAgent(mux, &service{carrier: c}); err != nil {
		return errors.Wrap(err, "register the inner service")
	}
	go c.installer.Run(ctx)
	go c.Socket.Receive(ctx, c.hear)
	listener := &raillistener.Listener{Key: c.Key, Handler: mux, Log: c.Log}
	return listener.Run(ctx, c.Inner)
}

// Changed tells that the configuration or the version wanted has changed.
func (c *Carrier) Changed() {
	c.once.Do(c.init)
	c.installer.Changed()
}

func (c *Carrier) init() {
	vault := &railvault.Vault{}
	stage := &railstage.Stage{Engine: c.Engine, Chunk: vault.Chunk}
	c.store = &railchunks.Store{Endpoint: vault}
	c.uploads, c.downloads = &railpacer.Pacer{Burst: burst}, rate.NewLimiter(rate.Inf, burst)
	c.setPace(true)
	c.sharing = &railsharing.Server{Store: c.store, Uploads: &railuploads.Scheduler{Slots: uploadSlots}, Pacer: c.uploads}
	c.swarm = &railswarm.Swarm{
		Self: c.Self, Store: c.store, Members: func() []railmember.Member { return c.members(fetchList) }, Ask: c.ask, Tell: c.tell,
		Origin: c.origin, OriginRegion: c.originRegion, Pace: c.downloads, Seed: rand.Uint64(), Log: raillog.Part(c.Log, "fetcher"),
	}
	c.finder = &railfinder.Finder{
		Self: c.Self, Members: func() []railmember.Member { return c.members(fetchList) }, Ask: c.askManifest, Origin: c.manifest, OriginRegion: c.originRegion,
	}
	c.installer = &railinstaller.Installer{
		Engine: c.Engine, Wanted: c.wanted, Manifest: c.finder.Find, Turn: c.turn, Idle: c.setPace, Notify: c.Notify, Stage: stage, Store: c.store, Fetcher: c.swarm,
		Rate: int(linkShare * float64(c.Link)), Log: raillog.Part(c.Log, "rollout"),
	}
}

// setPace paces weights below the link's rate, so that live answers beside them come on time; an idle engine has none.
func (c *Carrier) setPace(idle bool) {
	if c.Link <= 0 {
		return
	}
	if idle {
		c.uploads.SetPace(c.Link, 0)
		c.downloads.SetLimit(rate.Inf)
		return
	}
	c.uploads.SetPace(int(linkShare*float64(c.Link)), 0)
	c.downloads.SetLimit(rate.Limit(linkShare * float64(c.Link)))
}

// wanted returns the model of the engine's service and the versions of its weights that were named.
func (c *Carrier) wanted() (string, []railinstaller.Version) {
	model := c.model()
	named := c.Named(model)
	versions := make([]railinstaller.Version, len(named))
	for i, n := range named {
		versions[i] = railinstaller.Version{Number: n.Version, Due: c.Weights - n.For}
	}
	return model, versions
}

// model returns the model of the engine's service, or an empty string while none is known.
func (c *Carrier) model() string {
	catalog, _ := c.Catalog()
	backend, ok := catalog.Backend(c.Self.Service)
	if !ok || backend.Engine == nil {
		return ""
	}
	return backend.Engine.Model
}

// manifest reads a manifest from the origin.
func (c *Carrier) manifest(ctx context.Context, model string, version int64) (railmanifest.Manifest, int64, error) {
	catalog, _ := c.Catalog()
	origin, ok := catalog.Origin()
	if !ok {
		return railmanifest.Manifest{}, 0, errors.New("the configuration names no origin of weights")
	}
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	return c.Engine.Manifest(ctx, origin.Origin, model, version)
}

// origin draws a chunk of the version that is fetched now.
func (c *Carrier) origin(ctx context.Context, digest string) ([]byte, error) {
	catalog, _ := c.Catalog()
	origin, ok := catalog.Origin()
	model, version, index := c.installer.Chunk(digest)
	if !ok || index < 0 {
		return nil, errors.Newf("chunk %s is not of the version wanted now", digest)
	}
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	return c.Engine.OriginPiece(ctx, origin.Origin, model, version, index)
}

func (c *Carrier) originRegion() string {
	catalog, _ := c.Catalog()
	origin, _ := catalog.Origin()
	return c.Regions[origin.Zone]
}

// members returns the agents beside the engines of the same service that stay, each once: after a start the list may show an
// engine's former entry beside its new one.
func (c *Carrier) members(oldest time.Duration) []railmember.Member {
	list := []railmember.Member{c.Self}
	known := map[string]bool{c.Self.Name: true}
	for _, i := range c.Instances(oldest) {
		host := i.Host()
		if i.Service != c.Self.Service || i.Draining || host == "" || known[host] {
			continue
		}
		known[host] = true
		list = append(list, railmember.Member{
			Name: host, Role: railmember.RoleAgent, Address: net.JoinHostPort(host, c.Port), Zone: i.Zone, Region: i.Region, Service: i.Service,
		})
	}
	byName := railhash.Ranking[railmember.Member]{Name: func(m railmember.Member) string { return m.Name }}
	return byName.Top("", list, len(list))
}

func (c *Carrier) ask(ctx context.Context, m railmember.Member, req *railproto.ChunkRequest) (*railproto.ChunkReply, error) {
	if m.Name == c.Self.Name {
		return nil, errors.New("an agent does not ask itself")
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.GetWaitMillis())*time.Millisecond+askLimit)
	defer cancel()
	return c.Dialer.Agent(ctx, m.Address).Chunk(ctx, req)
}

func (c *Carrier) askManifest(ctx context.Context, m railmember.Member, req *railproto.ManifestRequest) (*railproto.ManifestReply, error) {
	return c.Dialer.Agent(ctx, m.Address).Manifest(ctx, req)
}

// tell tells another agent what is held here.
func (c *Carrier) tell(m railmember.Member, inventory *railproto.Inventory) {
	c.Socket.Send(&railproto.Datagram{Content: &railproto.Datagram_Inventory{Inventory: inventory}}, raildatagram.Addresses([]railmember.Member{m})...)
}

// hear takes over what another agent tells of the chunks that it holds.
func (c *Carrier) hear(from net.Addr, datagram *railproto.Datagram) {
	inventory := datagram.GetInventory()
	if inventory == nil {
		return
	}
	c.swarm.Hear(railmember.Member{
		Name: inventory.GetAgent(), Role: railmember.RoleAgent, Address: from.String(), Zone: inventory.GetZone(), Region: inventory.GetRegion(),
		Service: c.Self.Service,
	}, inventory)
}

// turn returns the time until this engine's turn to change over: the engines follow each other, so that the others serve.
func (c *Carrier) turn(serving, loading int64) time.Duration {
	members := c.members(turnList)
	place := slices.IndexFunc(members, func(m railmember.Member) bool { return m.Name == c.Self.Name })
	schedule := railturn.Schedule{Weights: c.Weights, Named: c.Named(c.model())}
	return schedule.Turn(serving, loading, place, len(members))
}

// service answers the other agents.
type service struct {
	railproto.DRPCAgentUnimplementedServer
	carrier *Carrier
}

func (s *service) Chunk(ctx context.Context, req *railproto.ChunkRequest) (*railproto.ChunkReply, error) {
	return s.carrier.sharing.Chunk(ctx, req)
}

func (s *service) Manifest(ctx context.Context, req *railproto.ManifestRequest) (*railproto.ManifestReply, error) {
	return s.carrier.finder.Answer(ctx, req)
}
