package railfetcher

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railchunks"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	retryPause = 50 * time.Millisecond
	maxStrikes = 10
	// longestSetBack bounds the time for which an agent that sent a corrupt chunk or failed is not asked.
	longestSetBack = 5 * time.Minute
	// longWait is the number of takeover delays for which an agent is asked to wait at the most until it holds a chunk.
	longWait = 4
	// standbys is the number of agents that look after a chunk's importer soon; the others do so much later.
	standbys  = 3
	lateAgain = 10
	// failuresToTakeOver is the number of failed imports after which the next importer follows.
	failuresToTakeOver = 2
	// directAfter is the number of takeover delays for which an importer holds a chunk before a standby takes it directly,
	// since the agents between do not pass it on.
	directAfter = 20
	// firstProbes is the number of agents that an importer asks before its first import of a chunk.
	firstProbes = 3
	// planFor is the time for which a plan is used before the list of agents is looked at again.
	planFor = time.Second
)

var (
	errNotYet   = errors.New("the agent does not hold the chunk yet")
	errNoAgents = errors.New("the list of agents is not known yet")
)

// Fetcher fetches weights; its fields are set before its first use.
type Fetcher struct {
	Self  railmember.Member
	Store *railchunks.Store
	// Members returns the live agents that want the manifest, in all regions and with this one.
	Members func(manifest string) []railmember.Member
	// RequestChunk asks another agent for a chunk, or about it.
	RequestChunk func(ctx context.Context, m railmember.Member, req *railproto.ChunkRequest) (*railproto.ChunkReply, error)
	// FetchFromOrigin draws a chunk from the origin.
	FetchFromOrigin func(ctx context.Context, digest string) ([]byte, error)
	// OriginRegion is the region that draws from the origin.
	OriginRegion func() string
	// TakeoverDelay is the time after which the next importer follows one that does not deliver.
	TakeoverDelay time.Duration
	// MaxDownloads and MaxImports are the chunks that are asked for and imported at once.
	MaxDownloads, MaxImports int
	Log                      *slog.Logger

	corrupt atomic.Int64
	mu      sync.Mutex
	setBack map[string]time.Time
	strikes map[string]int
}

// Fetch returns when the engine holds every chunk of the manifest, or an error when ctx is done first.
func (f *Fetcher) Fetch(ctx context.Context, m railmanifest.Manifest) error {
	job := &job{fetcher: f, manifest: m, digest: m.Digest()}
	var imports, downloads []int
	for i, digest := range m.Chunks {
		switch own := job.plan(f.Self.Region); {
		case f.Store.Has(digest):
		case !own.Empty() && own.ImporterRank(i, f.Self.Name) == 0:
			imports = append(imports, i)
		default:
			downloads = append(downloads, i)
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	job.work(ctx, group, imports, f.MaxImports)
	job.work(ctx, group, downloads, f.MaxDownloads)
	return group.Wait()
}

// SetTakeoverDelay changes the takeover delay, as a new revision does.
func (f *Fetcher) SetTakeoverDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.TakeoverDelay = d
}

// CorruptChunks returns the number of chunks that were refused because of their digest.
func (f *Fetcher) CorruptChunks() int64 {
	return f.corrupt.Load()
}

func (f *Fetcher) takeover() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.TakeoverDelay
}

// penalize sets an agent back, twice as long each time until it delivers again.
func (f *Fetcher) penalize(m railmember.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.setBack == nil {
		f.setBack, f.strikes = map[string]time.Time{}, map[string]int{}
	}
	if time.Now().Before(f.setBack[m.Name]) {
		return // The asks that ran together report the same failure.
	}
	f.setBack[m.Name] = time.Now().Add(min(f.TakeoverDelay<<f.strikes[m.Name], longestSetBack))
	f.strikes[m.Name] = min(f.strikes[m.Name]+1, maxStrikes)
}

func (f *Fetcher) delivered(m railmember.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.strikes[m.Name] > 0 {
		f.strikes[m.Name]--
	}
}

// willing returns the agents that are not set back.
func (f *Fetcher) willing(members []railmember.Member) []railmember.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []railmember.Member
	for _, m := range members {
		if time.Now().After(f.setBack[m.Name]) {
			list = append(list, m)
		}
	}
	return list
}
