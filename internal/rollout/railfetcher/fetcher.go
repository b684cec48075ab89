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
	retryDelay          = 50 * time.Millisecond
	maxBackoffDoublings = 10
	// maxBackoff bounds how long an agent that failed or sent a corrupt chunk is not asked.
	maxBackoff = 5 * time.Minute
	// maxWaitDelays bounds, in takeover delays, how long a source is asked to wait until it holds a chunk.
	maxWaitDelays = 4
	// maxStandbys is the number of standbys of a chunk's importer: the agents after it in the import order, which check it after a
	// few takeover delays. All others check it lateCheckFactor times as late.
	maxStandbys     = 3
	lateCheckFactor = 10
	// takeoverFailures is the number of failed imports after which the next importer takes over.
	takeoverFailures = 2
	// directRequestDelays is the time, in takeover delays, that an importer has held a chunk before a standby requests it
	// directly, because the agents in between do not pass it on.
	directRequestDelays = 20
	// initialProbes is the number of agents that an importer probes before its first attempt to import a chunk.
	initialProbes = 3
	// planTTL is how long a plan is used before the list of agents is read again.
	planTTL = time.Second
)

var (
	errNotHeld  = errors.New("agent does not hold the chunk yet")
	errNoAgents = errors.New("no agents are known yet")
)

// Fetcher downloads weights; its exported fields are set before its first use.
type Fetcher struct {
	Self  railmember.Member
	Store *railchunks.Store
	// Members returns the live agents of all regions that want the manifest, this agent included.
	Members func(manifest string) []railmember.Member
	// RequestChunk requests a chunk from another agent, or probes for it.
	RequestChunk func(ctx context.Context, m railmember.Member, req *railproto.ChunkRequest) (*railproto.ChunkReply, error)
	// FetchFromOrigin fetches a chunk from the origin.
	FetchFromOrigin func(ctx context.Context, digest string) ([]byte, error)
	// OriginRegion returns the region that imports from the origin.
	OriginRegion func() string
	// TakeoverDelay is the time after which the next importer takes over from one that does not deliver.
	TakeoverDelay time.Duration
	// MaxDownloads and MaxImports bound the chunks that are requested and imported concurrently.
	MaxDownloads, MaxImports int
	Log                      *slog.Logger

	corruptChunks atomic.Int64
	mu            sync.Mutex
	backoffUntil  map[string]time.Time
	failures      map[string]int
}

// Fetch downloads the manifest's chunks and returns when the store holds all of them. It returns an error when ctx is done
// first. Chunks that fail are retried.
func (f *Fetcher) Fetch(ctx context.Context, m railmanifest.Manifest) error {
	j := &job{fetcher: f, manifest: m, digest: m.Digest()}
	var imports, downloads []int
	for i, digest := range m.Chunks {
		switch plan := j.regionPlan(f.Self.Region); {
		case f.Store.Has(digest):
		case !plan.Empty() && plan.ImporterRank(i, f.Self.Name) == 0:
			imports = append(imports, i)
		default:
			downloads = append(downloads, i)
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	j.startWorkers(ctx, group, imports, f.MaxImports)
	j.startWorkers(ctx, group, downloads, f.MaxDownloads)
	return group.Wait()
}

// SetTakeoverDelay changes the takeover delay, for instance when a new revision of the configuration sets another.
func (f *Fetcher) SetTakeoverDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.TakeoverDelay = d
}

// CorruptChunks returns the number of chunks that were rejected because they did not match their digest.
func (f *Fetcher) CorruptChunks() int64 {
	return f.corruptChunks.Load()
}

func (f *Fetcher) takeoverDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.TakeoverDelay
}

// backOff stops requests to an agent for a while. The time doubles with each failure and halves again with each success.
func (f *Fetcher) backOff(m railmember.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.backoffUntil == nil {
		f.backoffUntil, f.failures = map[string]time.Time{}, map[string]int{}
	}
	if time.Now().Before(f.backoffUntil[m.Name]) {
		return // Concurrent requests report the same failure.
	}
	f.backoffUntil[m.Name] = time.Now().Add(min(f.TakeoverDelay<<f.failures[m.Name], maxBackoff))
	f.failures[m.Name] = min(f.failures[m.Name]+1, maxBackoffDoublings)
}

func (f *Fetcher) recordSuccess(m railmember.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failures[m.Name] > 0 {
		f.failures[m.Name]--
	}
}

// available returns the agents for which no backoff is in effect.
func (f *Fetcher) available(members []railmember.Member) []railmember.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var selected []railmember.Member
	for _, m := range members {
		if time.Now().After(f.backoffUntil[m.Name]) {
			selected = append(selected, m)
		}
	}
	return selected
}
