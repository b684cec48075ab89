package railinstaller

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/rollout/railchunks"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railstage"
)

const (
	idlePause = 800 * time.Millisecond
	look      = 60 * time.Millisecond
	// lookLoad is the time between two looks at an engine that loads.
	lookLoad = 25 * time.Millisecond
	// lookEngine is the time between two looks at an engine that does not answer or has not been ready yet.
	lookEngine = 150 * time.Millisecond
	// loadLimit bounds the wait for an ordered load, which begins after the engine's running answers.
	loadLimit  = 12 * time.Second
	callLimit  = time.Second
	stageLimit = 5 * time.Second
	// ownFirst is the time for which the pieces that the engine itself has are waited for before others are asked.
	ownFirst = 250 * time.Millisecond
	// announceAhead is the time for which a change is announced, about that of a long answer.
	announceAhead = 2500 * time.Millisecond
	announcePause = 500 * time.Millisecond
	// noticeLead is the time by which the entries hear of a change before it is ordered.
	noticeLead = 30 * time.Millisecond
)

var (
	errSuperseded = errors.New("another version is to be fetched first now")
	errNoModel    = errors.New("no model is configured for the engine")
)

// State is what an engine says of itself.
type State struct {
	// Version is the version of the complete weights that serve, or 0.
	Version int64
	// Busy says that an order is in progress.
	Busy bool
}

// Version is a version of weights that was named.
type Version struct {
	Number int64
	// Due is the time until no answer may begin on older weights.
	Due time.Duration
}

// Engine is the engine beside the process.
type Engine interface {
	railstage.Engine
	// State returns the engine's state as of now.
	State(ctx context.Context) (State, error)
	// Start orders the engine to load the staged pieces once its running answers have ended.
	Start(ctx context.Context, model string, version int64) error
}

// Fetcher brings chunks.
type Fetcher interface {
	// Fetch returns when every chunk of a manifest is there, or an error when ctx is done first.
	Fetch(ctx context.Context, m railmanifest.Manifest) error
}

// Installer drives one engine; its fields are set before Run.
type Installer struct {
	Engine Engine
	// Wanted returns the model and the versions of its weights that are wanted, the newest last; none stands for the newest that
	// the origin has.
	Wanted func() (model string, versions []Version)
	// Manifest returns the manifest of a version, and the version.
	Manifest func(ctx context.Context, model string, version int64) (railmanifest.Manifest, int64, error)
	// Turn returns the time until the engine's turn to load a version in place of the one that serves.
	Turn func(serving, loading int64) time.Duration
	// Notify tells the entries which version serves, or 0 while the engine takes nothing new, and the time after which it is to
	// change, if that is not 0.
	Notify func(version int64, changesIn time.Duration)
	// Idle is told again and again whether the engine has nothing that may serve, so that weights hold up no answers.
	Idle func(idle bool)
	// Rate is the rate at which weights come, in bytes a second, or 0 where it is not known.
	Rate    int
	Stage   *railstage.Stage
	Store   *railchunks.Store
	Fetcher Fetcher
	Log     *slog.Logger

	once sync.Once
	// changed and fetched tell of another version that may be wanted, and of one that is there whole.
	changed, fetched chan struct{}

	mu sync.Mutex
	// fetching and complete are the version that is fetched now and the newest one that is there whole, and known holds the
	// versions whose manifests are known.
	fetching, complete weights
	known              map[int64]weights
	recovered          atomic.Bool
	// announced is when the entries were last told of a change that is to come.
	announced time.Time
}

// weights is one version of a model's weights.
type weights struct {
	model    string
	version  int64
	manifest railmanifest.Manifest
}

// Run fetches and installs what is wanted until ctx is done.
func (n *Installer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	n.init()
	wg.Go(func() { n.repeat(ctx, "fetch", look, n.changed, n.fetch) })
	wg.Go(func() { n.repeat(ctx, "install", idlePause, n.fetched, n.install) })
	wg.Wait()
}

// Changed tells that another version may be wanted now.
func (n *Installer) Changed() {
	n.init()
	wake(n.changed)
}

func (n *Installer) init() {
	n.once.Do(func() { n.changed, n.fetched = make(chan struct{}, 1), make(chan struct{}, 1) })
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Chunk returns the place of a chunk in the version that is fetched now.
func (n *Installer) Chunk(digest string) (model string, version int64, index int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fetching.model, n.fetching.version, n.fetching.manifest.Index(digest)
}

// repeat makes passes, with a pause after each that found nothing to do, which news end.
func (n *Installer) repeat(ctx context.Context, name string, idle time.Duration, news <-chan struct{}, pass func(context.Context) error) {
	last := ""
	for ctx.Err() == nil {
		err := pass(ctx)
		pause := idle
		if err != nil {
			pause = lookEngine
		}
		if err != nil && err.Error() != last && ctx.Err() == nil {
			last = err.Error()
			n.Log.Warn("weights are not in place yet", "step", name, "err", err)
		}
		select {
		case <-ctx.Done():
		case <-news:
		case <-time.After(pause):
		}
	}
}
