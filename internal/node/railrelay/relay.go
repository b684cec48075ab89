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
	"github.com/fulmarrail/fulmarrail/internal/rollout/railschedule"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildatagram"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// maxUploads is the maximum number of concurrent chunk uploads.
	maxUploads = 64
	// weightsLinkShare is the share of an entry's link that weights may use. Responses to callers use the same link.
	weightsLinkShare = 0.5
)

// Relay distributes the weights of all relayable models from one entry. Its exported fields must be set before Run is called.
type Relay struct {
	railproto.DRPCAgentUnimplementedServer

	// Self is this entry. Its name is the IP address of its VM.
	Self railmember.Member
	// AgentPort is the port on which the agents of all VMs listen.
	AgentPort string
	Origin    railpeer.Origin
	Dialer    *raildialer.Dialer
	Socket    *raildatagram.Socket
	// Catalog returns the current configuration, or false if none is known, Instances the listed endpoints, Entries the entries, and
	// WantedVersions the versions of a model's weights in the order in which they were requested.
	Catalog        func() (railcatalog.Catalog, bool)
	Instances      func() []railinstance.Instance
	Entries        func() []railmember.Member
	WantedVersions func(model string) []railschedule.WantedVersion
	// RolloutTime is the time within which a new version must serve on all engines.
	RolloutTime time.Duration
	// ZoneRegions maps each zone to its region.
	ZoneRegions map[string]string
	Log         *slog.Logger

	once      sync.Once
	changed   chan struct{}
	mu        sync.Mutex
	exchanges map[string]exchange
}

// exchange is the distribution of one model's weights.
type exchange struct {
	peer *railpeer.Peer
	stop context.CancelFunc
}

// Run relays weights until ctx is done.
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

// ConfigChanged must be called after the configuration or a wanted version has changed.
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

// reconcile starts and stops exchanges to match the configuration, and notifies all current ones of the change.
func (r *Relay) reconcile(ctx context.Context) {
	models := r.models()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.exchanges == nil {
		r.exchanges = map[string]exchange{}
	}
	for model, e := range r.exchanges {
		if !models[model] {
			e.stop()
			delete(r.exchanges, model)
		}
	}
	for model := range models {
		e, ok := r.exchanges[model]
		if !ok {
			e = r.startExchange(ctx, model)
			r.exchanges[model] = e
		}
		e.peer.Downloader().NotifyWantedChanged()
	}
}

// Chunk serves another process's request for a chunk. The reply is empty if this entry does not have it.
func (r *Relay) Chunk(ctx context.Context, req *railproto.ChunkRequest) (*railproto.ChunkReply, error) {
	for _, p := range r.peers() {
		if p.HasChunk(req.GetDigest()) {
			return p.Chunk(ctx, req)
		}
	}
	return &railproto.ChunkReply{}, nil
}

// Manifest serves another process's request for a manifest. The reply is empty if this entry does not relay the model.
func (r *Relay) Manifest(ctx context.Context, req *railproto.ManifestRequest) (*railproto.ManifestReply, error) {
	r.mu.Lock()
	e, ok := r.exchanges[req.GetModel()]
	r.mu.Unlock()
	if !ok {
		return &railproto.ManifestReply{}, nil
	}
	return e.peer.Manifest(ctx, req)
}

// HandleInventory applies another process's chunk inventory.
func (r *Relay) HandleInventory(from net.Addr, inventory *railproto.Inventory) {
	for _, p := range r.peers() {
		p.HandleInventory(from, inventory)
	}
}

func (r *Relay) peers() []*railpeer.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*railpeer.Peer
	for _, e := range r.exchanges {
		list = append(list, e.peer)
	}
	return list
}

// startExchange starts the exchange of a model's weights.
func (r *Relay) startExchange(ctx context.Context, model string) exchange {
	_, origin := r.configuration()
	peer := &railpeer.Peer{
		Self: r.Self, Members: func() []railmember.Member { return r.members(model) }, Model: func() string { return model },
		Catalog: r.Catalog, WantedVersions: r.WantedVersions, RolloutTime: r.RolloutTime, ZoneRegions: r.ZoneRegions, Origin: r.Origin, Dialer: r.Dialer, Socket: r.Socket,
		DownloadRate: origin.Link, MaxUploads: maxUploads, Log: r.Log,
	}
	peer.SetRates(int(weightsLinkShare*float64(r.Self.Link)), 0)
	ctx, stop := context.WithCancel(ctx)
	go peer.Downloader().Run(ctx)
	return exchange{peer: peer, stop: stop}
}

// configuration returns the current configuration and the origin of weights.
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

// members returns the processes that exchange a model's weights, including this one.
func (r *Relay) members(model string) []railmember.Member {
	catalog, origin := r.configuration()
	serves := func(service string) bool {
		b, _ := catalog.Backend(service)
		return b.IsEngine() && b.Engine.Model == model && railpeer.Relayable(b.Engine)
	}
	list := railpeer.Agents(r.Instances(), serves, r.AgentPort)
	relays := slices.DeleteFunc(railpeer.EligibleRelays(r.Entries(), origin), func(m railmember.Member) bool { return m.Name == r.Self.Name })
	return append(append(list, relays...), r.Self) // The list of entries may not include this one yet.
}
