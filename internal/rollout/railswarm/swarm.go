package railswarm

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railchunks"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railpicker"
	"github.com/fulmarrail/fulmarrail/internal/routing/railhash"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// maxJobs is the number of versions whose inventories an agent sends: the wanted version and the one before, which new
	// agents may still be fetching.
	maxJobs = 2
)

var byName = railhash.Ranking[railmember.Member]{Name: func(m railmember.Member) string { return m.Name }}

// Swarm downloads weights together with other agents; its exported fields are set before its first use.
type Swarm struct {
	Self  railmember.Member
	Store *railchunks.Store
	// Members returns the live agents of all regions that want the same weights, this agent included.
	Members func() []railmember.Member
	// RequestChunk requests a chunk from another agent.
	RequestChunk func(ctx context.Context, m railmember.Member, req *railproto.ChunkRequest) (*railproto.ChunkReply, error)
	// SendInventory sends another agent an inventory as a datagram, which may be lost.
	SendInventory func(m railmember.Member, inventory *railproto.Inventory)
	// FetchFromOrigin fetches a chunk from the origin.
	FetchFromOrigin func(ctx context.Context, digest string) ([]byte, error)
	// OriginRegion returns the region that imports from the origin.
	OriginRegion func() string
	// DownloadLimiter limits the rate of requested chunks, in bytes per second; nil means no limit.
	DownloadLimiter *rate.Limiter
	// Seed seeds the random order in which equally rare chunks are requested.
	Seed uint64
	Log  *slog.Logger

	mu   sync.Mutex
	jobs []*job
}

// Fetch downloads the manifest's chunks and returns when the store holds all of them. It returns an error when ctx is done
// first. A chunk that fails is retried.
func (s *Swarm) Fetch(ctx context.Context, m railmanifest.Manifest) error {
	j := s.job(m)
	j.start()
	return j.run(ctx)
}

// HandleInventory records another agent's inventory, and may reply if that agent lacks a chunk that this one holds.
func (s *Swarm) HandleInventory(from railmember.Member, inventory *railproto.Inventory) {
	for _, j := range s.currentJobs() {
		if j.key == inventory.GetManifest() {
			j.handleInventory(from, inventory)
		}
	}
}

// job returns the job of a manifest, which is resumed if it exists already.
func (s *Swarm) job(m railmanifest.Manifest) *job {
	s.mu.Lock()
	defer s.mu.Unlock()
	digest := m.Digest()
	for _, j := range s.jobs {
		if j.digest == digest {
			return j
		}
	}
	j := &job{
		swarm: s, manifest: m, digest: digest, key: xxhash.Sum64String(digest), wake: make(chan struct{}, 1),
		importRanks: map[int]int{}, gossip: gossipState{startTime: time.Now()},
		picker: railpicker.Picker{Chunks: len(m.Chunks), Random: rand.New(rand.NewPCG(s.Seed, xxhash.Sum64String(s.Self.Name)))},
	}
	s.jobs = append(s.jobs, j)
	s.jobs = s.jobs[max(len(s.jobs)-maxJobs, 0):]
	return j
}

func (s *Swarm) currentJobs() []*job {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*job(nil), s.jobs...)
}

// verifyAndStore stores a chunk, or returns an error when it does not match the manifest.
func (s *Swarm) verifyAndStore(ctx context.Context, m railmanifest.Manifest, chunk int, data []byte, from string) error {
	if !m.Verify(chunk, data) {
		metrics.GetOrCreateCounter("fulmarrail_corrupt_chunks_total").Inc()
		return errors.Wrapf(errCorrupt, "chunk %d from %s", chunk, from)
	}
	return s.Store.Put(ctx, m.Chunks[chunk], data)
}

// withinRate reports whether the download rate permits another request now.
func (s *Swarm) withinRate(now time.Time) bool {
	return s.DownloadLimiter == nil || s.DownloadLimiter.Limit() == rate.Inf || s.DownloadLimiter.TokensAt(now) >= 0
}

// countDownload counts requested bytes against the download rate.
func (s *Swarm) countDownload(now time.Time, bytes int) {
	if s.DownloadLimiter != nil {
		s.DownloadLimiter.ReserveN(now, min(bytes, s.DownloadLimiter.Burst()))
	}
}
