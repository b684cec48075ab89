package railrelay

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/config/railcatalog"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/node/railpeer"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railturn"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildatagram"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// uploadSlots is the number of chunks that an entry gives at once.
	maxUploads = 64
	// linkShare is the share of an entry's link that weights may take; callers' answers go over the same one.
	weightsLinkShare = 0.5
)

// Relay is one entry's part in the exchange of the weights of all models; its fields are set before Run.
type Relay struct {
	railproto.DRPCAgentUnimplementedServer

	// Self is this entry; its name is the IP address of its VM.
	Self railmember.Member
	// Port is the port at which the agents of all VMs listen.
	AgentPort string
	Origin    railpeer.Origin
	Dialer    *raildialer.Dialer
	Socket    *raildatagram.Socket
	// Catalog returns the configuration in force, Instances the endpoints that are listed, Entries the entries, and Named the
	// versions of a model's weights in the order in which they were named.
	Catalog        func() (railcatalog.Catalog, bool)
	Instances      func() []railinstance.Instance
	Entries        func() []railmember.Member
	WantedVersions func(model string) []railturn.WantedVersion
	// Weights is the time in which new weights are to serve everywhere.
	RolloutTime time.Duration
	// Regions holds the region of each zone.
	ZoneRegions map[string]string
	Log         *slog.Logger

	once      sync.Once
	changed   chan struct{}
	mu        sync.Mutex
	exchanges map[string]exchange
}

// part is the exchange of one model's weights.
type exchange struct {
	peer *railpeer.Peer
	stop context.CancelFunc
}

// Run passes weights on until ctx is done.
func (r *Relay) Run(ctx context.Context) {
	r.once.Do(r.init)
	for ctx.Err() == nil {
		r.reconcile(ctx)
		select {
		case <-r.changed:
		case <-ctx.Done():
		}
	}
}

// ConfigChanged tells that the configuration or a version wanted has changed.
func (r *Relay) ConfigChanged() {
	r.once.Do(r.init)
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

func (r *Relay) init() {
	r.changed = make(chan struct{}, 1)
}

// update begins and ends the exchanges as the configuration says, and tells those that go on of the change.
func (r *Relay) reconcile(ctx context.Context) {
	models := r.models()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.exchanges == nil {
		r.exchanges = map[string]exchange{}
	}
	for model, p := range r.exchanges {
		if !models[model] {
			p.stop()
			delete(r.exchanges, model)
		}
	}
	for model := range models {
		p, ok := r.exchanges[model]
		if !ok {
			p = r.startExchange(ctx, model)
			r.exchanges[model] = p
		}
		p.peer.Collector().NotifyWantedChanged()
	}
}

// Chunk gives another process a chunk.
func (r *Relay) Chunk(ctx context.Context, req *railproto.ChunkRequest) (*railproto.ChunkReply, error) {
	for _, p := range r.peers() {
		if p.HasChunk(req.GetDigest()) {
			return p.Chunk(ctx, req)
		}
	}
	return &railproto.ChunkReply{}, nil
}

// Manifest gives another process a manifest.
func (r *Relay) Manifest(ctx context.Context, req *railproto.ManifestRequest) (*railproto.ManifestReply, error) {
	r.mu.Lock()
	p, ok := r.exchanges[req.GetModel()]
	r.mu.Unlock()
	if !ok {
		return &railproto.ManifestReply{}, nil
	}
	return p.peer.Manifest(ctx, req)
}

// HandleInventory takes over what another process tells of the chunks that it holds.
func (r *Relay) HandleInventory(from net.Addr, inventory *railproto.Inventory) {
	for _, p := range r.peers() {
		p.HandleInventory(from, inventory)
	}
}

func (r *Relay) peers() []*railpeer.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*railpeer.Peer
	for _, p := range r.exchanges {
		list = append(list, p.peer)
	}
	return list
}

// begin starts the exchange of a model's weights.
func (r *Relay) startExchange(ctx context.Context, model string) exchange {
	_, origin := r.configuration()
	peer := &railpeer.Peer{
		Self: r.Self, Members: func() []railmember.Member { return r.members(model) }, Model: func() string { return model },
		Catalog: r.Catalog, WantedVersions: r.WantedVersions, RolloutTime: r.RolloutTime, ZoneRegions: r.ZoneRegions, Origin: r.Origin, Dialer: r.Dialer, Socket: r.Socket,
		DownloadRate: origin.Link, MaxUploads: maxUploads, Log: r.Log,
	}
	peer.SetRates(int(weightsLinkShare*float64(r.Self.Link)), 0)
	ctx, stop := context.WithCancel(ctx)
	go peer.Collector().Run(ctx)
	return exchange{peer: peer, stop: stop}
}

// configuration returns the configuration in force and the origin of weights.
func (r *Relay) configuration() (railcatalog.Catalog, railbackend.Backend) {
	catalog, _ := r.Catalog()
	origin, _ := catalog.Origin()
	return catalog, origin
}

// models returns the models whose weights this entry relays.
func (r *Relay) models() map[string]bool {
	catalog, origin := r.configuration()
	models := map[string]bool{}
	if len(railpeer.EligibleRelays([]railmember.Member{r.Self}, origin)) == 0 {
		return models
	}
	for _, b := range catalog.Backends() {
		if b.IsEngine() && b.Engine.Model != "" && railpeer.Relayable(b.Engine) {
			models[b.Engine.Model] = true
		}
	}
	return models
}

// members returns the processes that exchange a model's weights.
func (r *Relay) members(model string) []railmember.Member {
	catalog, origin := r.configuration()
	serves := func(service string) bool {
		b, _ := catalog.Backend(service)
		return b.IsEngine() && b.Engine.Model == model && railpeer.Relayable(b.Engine)
	}
	list := railpeer.Agents(r.Instances(), serves, r.AgentPort)
	relays := slices.DeleteFunc(railpeer.EligibleRelays(r.Entries(), origin), func(m railmember.Member) bool { return m.Name == r.Self.Name })
	return append(append(list, relays...), r.Self) // The list of entries may not show this one yet.
}
