package railcollector

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/rollout/railchunks"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railsteps"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railtarget"
)

const (
	// look is the time between two looks at which version is to be fetched.
	look     = 60 * time.Millisecond
	ownLimit = 5 * time.Second
	// ownFirst is the time for which the pieces that the engine itself has are waited for before others are asked.
	ownFirst = 250 * time.Millisecond
)

var (
	errSuperseded = errors.New("another version is to be fetched first now")
	errNoModel    = errors.New("no model is configured")
)

// Fetcher brings chunks.
type Fetcher interface {
	// Fetch returns when every chunk of a manifest is there, or an error when ctx is done first.
	Fetch(ctx context.Context, m railmanifest.Manifest) error
}

// Weights is one version of a model's weights.
type Weights struct {
	Model    string
	Version  int64
	Manifest railmanifest.Manifest
}

// Collector is safe for concurrent use; its fields are set before Run.
type Collector struct {
	// Wanted returns the model and the versions of its weights that are wanted, the newest last; none stands for the newest that
	// the origin has.
	Wanted func() (model string, versions []railtarget.Version)
	// Manifest returns the manifest of a version, and the version.
	Manifest func(ctx context.Context, model string, version int64) (railmanifest.Manifest, int64, error)
	// Own hands over the sound chunks that an engine beside the process has, or is nil where there is none.
	RecoverStaged func(ctx context.Context, w Weights, take func(digest string, data []byte) error) error
	// Rate is the rate at which weights come, in bytes a second, or 0 where it is not known.
	Rate    int
	Store   *railchunks.Store
	Fetcher Fetcher
	Log     *slog.Logger

	once sync.Once
	// changed and fetched tell of another version that may be wanted, and of one that is there whole.
	changed, fetched chan struct{}

	mu sync.Mutex
	// fetching and complete are the version that is fetched now and the newest one that is there whole, and known holds the
	// versions whose manifests are known.
	fetching, complete Weights
	known              map[int64]Weights
	recovered          atomic.Bool
}

// Run fetches what is wanted until ctx is done.
func (c *Collector) Run(ctx context.Context) {
	c.init()
	(&railsteps.Step{Name: "fetch", Pass: c.fetch, Pause: look, News: c.changed, Log: c.Log}).Run(ctx)
}

// NotifyWantedChanged tells that another version may be wanted now.
func (c *Collector) NotifyWantedChanged() {
	c.init()
	wake(c.changed)
}

// LatestComplete returns the newest version that is there whole, or the zero value.
func (c *Collector) LatestComplete() Weights {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.complete
}

// Progress returns the version that is fetched now, or was fetched last, and how many of its chunks are there.
func (c *Collector) Progress() (version int64, held, chunks int) {
	c.mu.Lock()
	w := c.fetching
	c.mu.Unlock()
	return w.Version, c.held(w.Manifest), len(w.Manifest.Chunks)
}

// Fetched returns the channel that tells one reader of each version that is there whole.
func (c *Collector) Fetched() <-chan struct{} {
	c.init()
	return c.fetched
}

// LocateChunk returns the place of a chunk in the version that is fetched now.
func (c *Collector) LocateChunk(digest string) (model string, version int64, index int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fetching.Model, c.fetching.Version, c.fetching.Manifest.Index(digest)
}

func (c *Collector) init() {
	c.once.Do(func() { c.changed, c.fetched = make(chan struct{}, 1), make(chan struct{}, 1) })
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
