package raildownloader

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/rollout/railchunks"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railfetchorder"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railretryloop"
)

const (
	// pollInterval is the time between checks of which version to fetch.
	pollInterval   = 60 * time.Millisecond
	recoverTimeout = 5 * time.Second
	// recoverHeadStart is how long a fetch waits for the chunks staged at the local engine before it requests them from peers
	// and the origin.
	recoverHeadStart = 250 * time.Millisecond
)

var (
	errSuperseded = errors.New("superseded: another version must be fetched first")
	errNoModel    = errors.New("no model is configured")
)

// Fetcher fetches chunks into the local store.
type Fetcher interface {
	// Fetch returns nil once every chunk of the manifest is in the store, or an error if ctx is done first.
	Fetch(ctx context.Context, m railmanifest.Manifest) error
}

// Weights is one version of a model's weights.
type Weights struct {
	Model    string
	Version  int64
	Manifest railmanifest.Manifest
}

// Downloader fetches the wanted versions of a model's weights into Store. It is safe for concurrent use; its fields must be set
// before its first use.
type Downloader struct {
	// Wanted returns the model and the wanted versions of its weights, newest last. An empty list means the newest version that
	// the origin has.
	Wanted func() (model string, versions []railfetchorder.Version)
	// Manifest returns the manifest of a version and that version's number; version 0 is the newest that the origin has.
	Manifest func(ctx context.Context, model string, version int64) (railmanifest.Manifest, int64, error)
	// RecoverStaged passes each intact chunk of w that is staged at the local engine to store. It is nil if the process has no
	// engine.
	RecoverStaged func(ctx context.Context, w Weights, store func(digest string, data []byte) error) error
	// Rate is the expected download rate in bytes per second, or 0 if unknown.
	Rate    int
	Store   *railchunks.Store
	Fetcher Fetcher
	Log     *slog.Logger

	once sync.Once
	// wantedChanged signals that the wanted versions may have changed, fetched that a version is complete.
	wantedChanged, fetched chan struct{}

	mu sync.Mutex
	// fetching is the version being fetched, or fetched last; latestComplete is the last version of which all chunks were fetched.
	// knownVersions holds the versions whose manifests have been read, by number. recovered is set once the chunks staged at the
	// engine are in the store.
	fetching, latestComplete Weights
	knownVersions            map[int64]Weights
	recovered                atomic.Bool
}

// Run fetches the wanted versions until ctx is done.
func (d *Downloader) Run(ctx context.Context) {
	d.init()
	(&railretryloop.Loop{Name: "fetch", RunOnce: d.fetch, Interval: pollInterval, Wake: d.wantedChanged, Log: d.Log}).Run(ctx)
}

// NotifyWantedChanged makes Run check the wanted versions without waiting for the next poll.
func (d *Downloader) NotifyWantedChanged() {
	d.init()
	notify(d.wantedChanged)
}

// LatestComplete returns the last version of which all chunks were fetched, or the zero value if there is none.
func (d *Downloader) LatestComplete() Weights {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.latestComplete
}

// Progress returns the version being fetched, or fetched last, the number of its chunks in the store, and their total.
func (d *Downloader) Progress() (version int64, held, chunks int) {
	d.mu.Lock()
	w := d.fetching
	d.mu.Unlock()
	return w.Version, d.countHeld(w.Manifest), len(w.Manifest.Chunks)
}

// Fetched returns a channel that receives a value after a version has been fetched completely. It serves a single reader.
func (d *Downloader) Fetched() <-chan struct{} {
	d.init()
	return d.fetched
}

// LocateChunk returns the model and version being fetched, or fetched last, and the index of a chunk in its manifest, or -1.
func (d *Downloader) LocateChunk(digest string) (model string, version int64, index int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fetching.Model, d.fetching.Version, d.fetching.Manifest.Index(digest)
}

func (d *Downloader) init() {
	d.once.Do(func() { d.wantedChanged, d.fetched = make(chan struct{}, 1), make(chan struct{}, 1) })
}

// notify sends on a channel of capacity 1, unless a signal is pending already.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
