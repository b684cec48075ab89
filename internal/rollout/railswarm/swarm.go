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
	// keptJobs is the number of versions about which an agent tells others what it holds: the one that is wanted, and the one
	// before, which fresh agents may be fetching still.
	keptJobs = 2
)

var byName = railhash.Ranking[railmember.Member]{Name: func(m railmember.Member) string { return m.Name }}

// Swarm fetches weights; its fields are set before its first use.
type Swarm struct {
	Self  railmember.Member
	Store *railchunks.Store
	// Members returns the live agents that want the same weights, in all regions and with this one.
	Members func() []railmember.Member
	// RequestChunk asks another agent for a chunk.
	RequestChunk func(ctx context.Context, m railmember.Member, req *railproto.ChunkRequest) (*railproto.ChunkReply, error)
	// SendInventory sends another agent a datagram, which may be lost.
	SendInventory func(m railmember.Member, inventory *railproto.Inventory)
	// FetchFromOrigin draws a chunk from the origin.
	FetchFromOrigin func(ctx context.Context, digest string) ([]byte, error)
	// OriginRegion is the region that draws from the origin.
	OriginRegion func() string
	// DownloadLimiter is the rate at which chunks are asked for, or nil where downloads are not paced.
	DownloadLimiter *rate.Limiter
	// Seed is that of the order in which equally rare chunks are taken.
	Seed uint64
	Log  *slog.Logger

	mu   sync.Mutex
	jobs []*job
}

// Fetch returns when every chunk of the manifest is here, or an error when ctx is done first.
func (s *Swarm) Fetch(ctx context.Context, m railmanifest.Manifest) error {
	j := s.job(m)
	j.start()
	return j.run(ctx)
}

// HandleInventory takes over what another agent tells of its chunks, and tells it what it lacks.
func (s *Swarm) HandleInventory(from railmember.Member, inventory *railproto.Inventory) {
	for _, j := range s.known() {
		if j.key == inventory.GetManifest() {
			j.hear(from, inventory)
		}
	}
}

// job returns the fetching of a manifest, which goes on where it was left.
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
		ranks: map[int]int{}, talk: talk{began: time.Now()},
		picker: railpicker.Picker{Chunks: len(m.Chunks), Random: rand.New(rand.NewPCG(s.Seed, xxhash.Sum64String(s.Self.Name)))},
	}
	s.jobs = append(s.jobs, j)
	s.jobs = s.jobs[max(len(s.jobs)-keptJobs, 0):]
	return j
}

func (s *Swarm) known() []*job {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*job(nil), s.jobs...)
}

// accept keeps a chunk that is what the manifest says, or returns an error.
func (s *Swarm) accept(ctx context.Context, m railmanifest.Manifest, chunk int, data []byte, from string) error {
	if !m.Verify(chunk, data) {
		metrics.GetOrCreateCounter("fulmarrail_corrupt_chunks_total").Inc()
		return errors.Wrapf(errCorrupt, "chunk %d from %s", chunk, from)
	}
	return s.Store.Put(ctx, m.Chunks[chunk], data)
}

// ready reports whether more may be asked for now.
func (s *Swarm) ready(now time.Time) bool {
	return s.DownloadLimiter == nil || s.DownloadLimiter.Limit() == rate.Inf || s.DownloadLimiter.TokensAt(now) >= 0
}

// took counts bytes that are asked for against the pace.
func (s *Swarm) took(now time.Time, bytes int) {
	if s.DownloadLimiter != nil {
		s.DownloadLimiter.ReserveN(now, min(bytes, s.DownloadLimiter.Burst()))
	}
}
