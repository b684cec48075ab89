package railpeer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/fulmarrail/fulmarrail/internal/config/railcatalog"
	"github.com/fulmarrail/fulmarrail/internal/core/raillog"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railchunks"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railcollector"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railfinder"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railpacer"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railsharing"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railswarm"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railtarget"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railturn"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railuploads"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railvault"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildatagram"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// burst is the number of bytes of weights that may pass at once: a chunk.
	burstBytes = 32 << 10
	// askLimit bounds the time for which a chunk that another process has may take.
	requestTimeout = 2 * time.Second
)

// Origin is where weights come from.
type Origin interface {
	// Manifest returns the manifest of a version from the origin at an address, and the version; version 0 is the newest.
	Manifest(ctx context.Context, address, model string, version int64) (railmanifest.Manifest, int64, error)
	// Piece returns a piece from the origin at an address; it is not checked.
	Piece(ctx context.Context, address, model string, version int64, index int) ([]byte, error)
}

// Peer is safe for concurrent use; its fields are set before its first use.
type Peer struct {
	railproto.DRPCAgentUnimplementedServer

	// Self is this process; its name is the IP address of its VM.
	Self railmember.Member
	// Members returns the processes that take part in the exchange, this one included.
	Members func() []railmember.Member
	// Model returns the model whose weights are fetched, or an empty string while none is known.
	Model func() string
	// Catalog returns the configuration in force, and Named the versions of a model's weights in the order in which they were named.
	Catalog        func() (railcatalog.Catalog, bool)
	WantedVersions func(model string) []railturn.WantedVersion
	// Weights is the time in which new weights are to serve everywhere.
	RolloutTime time.Duration
	// Regions holds the region of each zone.
	ZoneRegions map[string]string
	Origin      Origin
	Dialer      *raildialer.Dialer
	Socket      *raildatagram.Socket
	// Own hands over the sound chunks that an engine beside the process has, or is nil where there is none.
	RecoverChunks func(ctx context.Context, w railcollector.Weights, add func(digest string, data []byte) error) error
	// Rate is the rate at which weights come, in bytes a second, or 0 where it is not known.
	DownloadRate int
	// UploadSlots bounds the chunks on their way to the link at once.
	MaxUploads int
	Log        *slog.Logger

	once            sync.Once
	memory          railvault.MemoryStore
	store           *railchunks.Store
	uploadPacer     *railpacer.Pacer
	downloadLimiter *rate.Limiter
	chunkServer     *railsharing.Server
	swarm           *railswarm.Swarm
	finder          *railfinder.Finder
	collector       *railcollector.Collector
}

// Collector returns the part that fetches; whoever runs it brings the weights.
func (p *Peer) Collector() *railcollector.Collector {
	p.once.Do(p.init)
	return p.collector
}

// ReadChunk returns a chunk that is here, or an error.
func (p *Peer) ReadChunk(ctx context.Context, digest string) ([]byte, error) {
	return p.memory.Chunk(ctx, digest)
}

// HasChunk reports whether a chunk is here.
func (p *Peer) HasChunk(digest string) bool {
	p.once.Do(p.init)
	return p.store.Has(digest)
}

// SetRates sets the rates, in bytes a second, below which weights go and come; 0 stands for no bound on what comes.
func (p *Peer) SetRates(up, down int) {
	p.once.Do(p.init)
	p.uploadPacer.SetRate(up, 0)
	if down == 0 {
		p.downloadLimiter.SetLimit(rate.Inf)
		return
	}
	p.downloadLimiter.SetLimit(rate.Limit(down))
}

// Chunk gives another process a chunk.
func (p *Peer) Chunk(ctx context.Context, req *railproto.ChunkRequest) (*railproto.ChunkReply, error) {
	p.once.Do(p.init)
	return p.chunkServer.Chunk(ctx, req)
}

// Manifest gives another process a manifest.
func (p *Peer) Manifest(ctx context.Context, req *railproto.ManifestRequest) (*railproto.ManifestReply, error) {
	p.once.Do(p.init)
	return p.finder.HandleRequest(ctx, req)
}

// HandleInventory takes over what another process tells of the chunks that it holds.
func (p *Peer) HandleInventory(from net.Addr, inventory *railproto.Inventory) {
	p.once.Do(p.init)
	role := railmember.RoleAgent
	if inventory.GetRelay() {
		role = railmember.RoleEntry
	}
	p.swarm.HandleInventory(railmember.Member{
		Name: inventory.GetAgent(), Role: role, Address: from.String(), Zone: inventory.GetZone(), Region: inventory.GetRegion(),
	}, inventory)
}

func (p *Peer) init() {
	p.store = &railchunks.Store{Backend: &p.memory}
	p.uploadPacer, p.downloadLimiter = &railpacer.Pacer{Burst: burstBytes}, rate.NewLimiter(rate.Inf, burstBytes)
	p.chunkServer = &railsharing.Server{Store: p.store, Uploads: &railuploads.Scheduler{Slots: p.MaxUploads}, Pacer: p.uploadPacer}
	p.swarm = &railswarm.Swarm{
		Self: p.Self, Store: p.store, Members: p.Members, RequestChunk: p.requestChunk, SendInventory: p.sendInventory, FetchFromOrigin: p.originChunk, OriginRegion: p.originRegion,
		DownloadLimiter: p.downloadLimiter, Seed: rand.Uint64(), Log: raillog.Part(p.Log, "fetcher"),
	}
	p.finder = &railfinder.Finder{Self: p.Self, Members: p.Members, RequestManifest: p.requestManifest, FetchFromOrigin: p.originManifest, OriginRegion: p.originRegion}
	p.collector = &railcollector.Collector{
		Wanted: p.wanted, Manifest: p.finder.Find, RecoverStaged: p.RecoverChunks, Rate: p.DownloadRate, Store: p.store, Fetcher: p.swarm, Log: raillog.Part(p.Log, "rollout"),
	}
}

// wanted returns the model and the versions of its weights that were named.
func (p *Peer) wanted() (string, []railtarget.Version) {
	model := p.Model()
	wanted := p.WantedVersions(model)
	versions := make([]railtarget.Version, len(wanted))
	for i, n := range wanted {
		versions[i] = railtarget.Version{Number: n.Version, DueIn: p.RolloutTime - n.Age}
	}
	return model, versions
}

// manifest reads a manifest from the origin.
func (p *Peer) originManifest(ctx context.Context, model string, version int64) (railmanifest.Manifest, int64, error) {
	catalog, _ := p.Catalog()
	origin, ok := catalog.Origin()
	if !ok {
		return railmanifest.Manifest{}, 0, errors.New("the configuration names no origin of weights")
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return p.Origin.Manifest(ctx, origin.Origin, model, version)
}

// draw draws a chunk of the version that is fetched now.
func (p *Peer) originChunk(ctx context.Context, digest string) ([]byte, error) {
	catalog, _ := p.Catalog()
	origin, ok := catalog.Origin()
	model, version, index := p.collector.LocateChunk(digest)
	if !ok || index < 0 {
		return nil, errors.Newf("chunk %s is not of the version wanted now", digest)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return p.Origin.Piece(ctx, origin.Origin, model, version, index)
}

func (p *Peer) originRegion() string {
	catalog, _ := p.Catalog()
	origin, _ := catalog.Origin()
	return p.ZoneRegions[origin.Zone]
}

func (p *Peer) requestChunk(ctx context.Context, m railmember.Member, req *railproto.ChunkRequest) (*railproto.ChunkReply, error) {
	if m.Name == p.Self.Name {
		return nil, errors.New("a process does not ask itself")
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.GetWaitMillis())*time.Millisecond+requestTimeout)
	defer cancel()
	return p.Dialer.Agent(ctx, m.Address).Chunk(ctx, req)
}

func (p *Peer) requestManifest(ctx context.Context, m railmember.Member, req *railproto.ManifestRequest) (*railproto.ManifestReply, error) {
	return p.Dialer.Agent(ctx, m.Address).Manifest(ctx, req)
}

// tell tells another process what is held here.
func (p *Peer) sendInventory(m railmember.Member, inventory *railproto.Inventory) {
	p.Socket.Send(&railproto.Datagram{Content: &railproto.Datagram_Inventory{Inventory: inventory}}, raildatagram.Addresses([]railmember.Member{m})...)
}
