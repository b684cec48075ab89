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
	"github.com/fulmarrail/fulmarrail/internal/rollout/railchunkserver"
	"github.com/fulmarrail/fulmarrail/internal/rollout/raildownloader"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railfetchorder"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifestfinder"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmemstore"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railratelimit"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railschedule"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railswarm"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railuploads"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildatagram"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// burstBytes is the burst size of the upload and download limiters: one chunk.
	burstBytes = 32 << 10
	// requestTimeout limits a request to the origin, and the transfer of a chunk from another process.
	requestTimeout = 2 * time.Second
)

// Origin serves the original copy of weights.
type Origin interface {
	// Manifest returns the manifest of a version from the origin at an address, and the version. Version 0 means the newest.
	Manifest(ctx context.Context, address, model string, version int64) (railmanifest.Manifest, int64, error)
	// Piece returns the chunk with the given index from the origin at an address. The data is not verified.
	Piece(ctx context.Context, address, model string, version int64, index int) ([]byte, error)
}

// Peer takes part in distributing the weights of one model. It is safe for concurrent use. Its exported fields must be set before first
// use.
type Peer struct {
	railproto.DRPCAgentUnimplementedServer

	// Self is this process. Its name is the IP address of its VM.
	Self railmember.Member
	// Members returns the members of the swarm, including this process.
	Members func() []railmember.Member
	// Model returns the model whose weights are fetched, or an empty string if none is known.
	Model func() string
	// Catalog returns the current configuration, or false if none is known, and WantedVersions the versions of a model's weights in the
	// order in which they were requested.
	Catalog        func() (railcatalog.Catalog, bool)
	WantedVersions func(model string) []railschedule.WantedVersion
	// RolloutTime is the time within which a new version must serve on all engines.
	RolloutTime time.Duration
	// ZoneRegions maps each zone to its region.
	ZoneRegions map[string]string
	Origin      Origin
	Dialer      *raildialer.Dialer
	Socket      *raildatagram.Socket
	// RecoverChunks calls add with each valid chunk that the engine on the VM already stores. It is nil if there is no engine.
	RecoverChunks func(ctx context.Context, w raildownloader.Weights, add func(digest string, data []byte) error) error
	// DownloadRate is the expected download rate in bytes per second, or 0 if it is not known.
	DownloadRate int
	// MaxUploads is the maximum number of concurrent chunk uploads.
	MaxUploads int
	Log        *slog.Logger

	once            sync.Once
	memory          railmemstore.MemoryStore
	store           *railchunks.Store
	uploadPacer     *railratelimit.Pacer
	downloadLimiter *rate.Limiter
	chunkServer     *railchunkserver.Server
	swarm           *railswarm.Swarm
	finder          *railmanifestfinder.Finder
	downloader      *raildownloader.Downloader
}

// Downloader returns the downloader that fetches the weights. The caller must run it.
func (p *Peer) Downloader() *raildownloader.Downloader {
	p.once.Do(p.init)
	return p.downloader
}

// ReadChunk returns a chunk from this process's memory, or an error if it is not there.
func (p *Peer) ReadChunk(ctx context.Context, digest string) ([]byte, error) {
	return p.memory.Chunk(ctx, digest)
}

// HasChunk reports whether this process has a chunk.
func (p *Peer) HasChunk(digest string) bool {
	p.once.Do(p.init)
	return p.store.Has(digest)
}

// SetRates limits the upload and download rates of weights, in bytes per second. A download rate of 0 means no limit.
func (p *Peer) SetRates(up, down int) {
	p.once.Do(p.init)
	p.uploadPacer.SetRate(up, 0)
	if down == 0 {
		p.downloadLimiter.SetLimit(rate.Inf)
		return
	}
	p.downloadLimiter.SetLimit(rate.Limit(down))
}

// Chunk serves another process's request for a chunk.
func (p *Peer) Chunk(ctx context.Context, req *railproto.ChunkRequest) (*railproto.ChunkReply, error) {
	p.once.Do(p.init)
	return p.chunkServer.Chunk(ctx, req)
}

// Manifest serves another process's request for a manifest.
func (p *Peer) Manifest(ctx context.Context, req *railproto.ManifestRequest) (*railproto.ManifestReply, error) {
	p.once.Do(p.init)
	return p.finder.HandleRequest(ctx, req)
}

// HandleInventory applies another process's chunk inventory.
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
	p.uploadPacer, p.downloadLimiter = &railratelimit.Pacer{Burst: burstBytes}, rate.NewLimiter(rate.Inf, burstBytes)
	p.chunkServer = &railchunkserver.Server{Store: p.store, Uploads: &railuploads.Scheduler{Slots: p.MaxUploads}, Pacer: p.uploadPacer}
	p.swarm = &railswarm.Swarm{
		Self: p.Self, Store: p.store, Members: p.Members, RequestChunk: p.requestChunk, SendInventory: p.sendInventory, FetchFromOrigin: p.originChunk, OriginRegion: p.originRegion,
		DownloadLimiter: p.downloadLimiter, Seed: rand.Uint64(), Log: raillog.Named(p.Log, "fetcher"),
	}
	p.finder = &railmanifestfinder.Finder{Self: p.Self, Members: p.Members, RequestManifest: p.requestManifest, FetchFromOrigin: p.originManifest, OriginRegion: p.originRegion}
	p.downloader = &raildownloader.Downloader{
		Wanted: p.wanted, Manifest: p.finder.Find, RecoverStaged: p.RecoverChunks, Rate: p.DownloadRate, Store: p.store, Fetcher: p.swarm, Log: raillog.Named(p.Log, "rollout"),
	}
}

// wanted returns the model and the wanted versions of its weights, with the time until each is due.
func (p *Peer) wanted() (string, []railfetchorder.Version) {
	model := p.Model()
	wanted := p.WantedVersions(model)
	versions := make([]railfetchorder.Version, len(wanted))
	for i, v := range wanted {
		versions[i] = railfetchorder.Version{Number: v.Version, DueIn: p.RolloutTime - v.Age}
	}
	return model, versions
}

// originManifest fetches a manifest from the origin.
func (p *Peer) originManifest(ctx context.Context, model string, version int64) (railmanifest.Manifest, int64, error) {
	catalog, _ := p.Catalog()
	origin, ok := catalog.Origin()
	if !ok {
		return railmanifest.Manifest{}, 0, errors.New("no weights origin is configured")
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return p.Origin.Manifest(ctx, origin.OriginAddress, model, version)
}

// originChunk fetches a chunk of the version being fetched from the origin.
func (p *Peer) originChunk(ctx context.Context, digest string) ([]byte, error) {
	catalog, _ := p.Catalog()
	origin, ok := catalog.Origin()
	model, version, index := p.downloader.LocateChunk(digest)
	if !ok || index < 0 {
		return nil, errors.Newf("chunk %s is not part of the version being fetched", digest)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return p.Origin.Piece(ctx, origin.OriginAddress, model, version, index)
}

func (p *Peer) originRegion() string {
	catalog, _ := p.Catalog()
	origin, _ := catalog.Origin()
	return p.ZoneRegions[origin.Zone]
}

func (p *Peer) requestChunk(ctx context.Context, m railmember.Member, req *railproto.ChunkRequest) (*railproto.ChunkReply, error) {
	if m.Name == p.Self.Name {
		return nil, errors.New("a process can't request a chunk from itself")
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.GetWaitMillis())*time.Millisecond+requestTimeout)
	defer cancel()
	return p.Dialer.Agent(ctx, m.Address).Chunk(ctx, req)
}

func (p *Peer) requestManifest(ctx context.Context, m railmember.Member, req *railproto.ManifestRequest) (*railproto.ManifestReply, error) {
	return p.Dialer.Agent(ctx, m.Address).Manifest(ctx, req)
}

// sendInventory sends another process the inventory of this process's chunks.
func (p *Peer) sendInventory(m railmember.Member, inventory *railproto.Inventory) {
	p.Socket.Send(&railproto.Datagram{Content: &railproto.Datagram_Inventory{Inventory: inventory}}, raildatagram.Addresses([]railmember.Member{m})...)
}
