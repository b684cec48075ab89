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
	uploadSlots = 64
	// linkShare is the share of an entry's link that weights may take; callers' answers go over the same one.
	linkShare = 0.5
)

// Relay is one entry's part in the exchange of the weights of all models; its fields are set before Run.
type Relay struct {
	railproto.DRPCAgentUnimplementedServer

	// Self is this entry; its name is the IP address of its VM.
	Self railmember.Member
	// Port is the port at which the agents of all VMs listen.
	Port   string
	Origin railpeer.Origin
	Dialer *raildialer.Dialer
	Socket *raildatagram.Socket
	// Catalog returns the configuration in force, Instances the endpoints that are listed, Entries the entries, and Named the
	// versions of a model's weights in the order in which they were named.
	Catalog   func() (railcatalog.Catalog, bool)
	Instances func() []railinstance.Instance
	Entries   func() []railmember.Member
	Named     func(model string) []railturn.Naming
	// Weights is the time in which new weights are to serve everywhere.
	Weights time.Duration
	// Regions holds the region of each zone.
	Regions map[string]string
	Log     *slog.Logger

	mu    sync.Mutex
	ctx   context.Context
	peers map[string]*part
}

// part is the exchange of one model's weights.
type part struct {
	peer *railpeer.Peer
	stop context.CancelFunc
}

// Run passes weights on until ctx is done.
func (r *Relay) Run(ctx context.Context) {
	r.mu.Lock()
	r.ctx, r.peers = ctx, map[string]*part{}
	r.mu.Unlock()
	r.Changed()
	<-ctx.Done()
}

// Changed tells that the configuration or a version wanted has changed.
func (r *Relay) Changed() {
	models := r.models()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx == nil {
		return
	}
	for model, p := range r.peers {
		if _, wanted := models[model]; !wanted {
			p.stop()
			delete(r.peers, model)
		}
	}
	for model := range models {
		p := r.peers[model]
		if p == nil {
			p = r.begin(model)
			r.peers[model] = p
		}
		p.peer.Collector().Changed()
	}
}

// Chunk gives another process a chunk.
func (r *Relay) Chunk(ctx context.Context, req *railproto.ChunkRequest) (*railproto.ChunkReply, error) {
	for _, p := range r.all() {
		if p.Holds(req.GetDigest()) {
			return p.Chunk(ctx, req)
		}
	}
	return &railproto.ChunkReply{}, nil
}

// Manifest gives another process a manifest.
func (r *Relay) Manifest(ctx context.Context, req *railproto.ManifestRequest) (*railproto.ManifestReply, error) {
	r.mu.Lock()
	p := r.peers[req.GetModel()]
	r.mu.Unlock()
	if p == nil {
		return &railproto.ManifestReply{}, nil
	}
	return p.peer.Manifest(ctx, req)
}

// Hear takes over what another process tells of the chunks that it holds.
func (r *Relay) Hear(from net.Addr, inventory *railproto.Inventory) {
	for _, p := range r.all() {
		p.Hear(from, inventory)
	}
}

func (r *Relay) all() []*railpeer.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*railpeer.Peer
	for _, p := range r.peers {
		list = append(list, p.peer)
	}
	return list
}

// begin starts the exchange of a model's weights.
func (r *Relay) begin(model string) *part {
	catalog, _ := r.Catalog()
	origin, _ := catalog.Origin()
	peer := &railpeer.Peer{
		Self: r.Self, Members: func() []railmember.Member { return r.members(model) }, Model: func() string { return model },
		Catalog: r.Catalog, Named: r.Named, Weights: r.Weights, Regions: r.Regions, Origin: r.Origin, Dialer: r.Dialer, Socket: r.Socket,
		Rate: origin.Link, UploadSlots: uploadSlots, Log: r.Log,
	}
	peer.SetPace(int(linkShare*float64(r.Self.Link)), 0)
	ctx, stop := context.WithCancel(r.ctx)
	go peer.Collector().Run(ctx)
	return &part{peer: peer, stop: stop}
}

// models returns for each model whose weights entries relay the names of the services whose engines serve it.
func (r *Relay) models() map[string]map[string]bool {
	catalog, _ := r.Catalog()
	models := map[string]map[string]bool{}
	origin, _ := catalog.Origin()
	if len(railpeer.Relays([]railmember.Member{r.Self}, origin)) == 0 {
		return models
	}
	for _, b := range catalog.Backends() {
		if !relayed(b) {
			continue
		}
		if models[b.Engine.Model] == nil {
			models[b.Engine.Model] = map[string]bool{}
		}
		models[b.Engine.Model][b.Name] = true
	}
	return models
}

func relayed(b railbackend.Backend) bool {
	return b.Engine != nil && b.Engine.Model != "" && railpeer.Relayed(b.Engine)
}

// members returns the processes that exchange a model's weights.
func (r *Relay) members(model string) []railmember.Member {
	services := r.models()[model]
	list := railpeer.Agents(r.Instances(), func(service string) bool { return services[service] }, r.Port)
	catalog, _ := r.Catalog()
	origin, _ := catalog.Origin()
	relays := slices.DeleteFunc(railpeer.Relays(r.Entries(), origin), func(m railmember.Member) bool { return m.Name == r.Self.Name })
	return append(append(list, relays...), r.Self) // The list of entries may not show this one yet.
}
