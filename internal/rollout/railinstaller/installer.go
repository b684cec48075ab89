package railinstaller

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
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
	// worthFinishing is the share of a version's chunks from which on it is fetched to its end though a newer one is wanted:
	// the engines can change over to it while the newer one comes.
	worthFinishing = 0.7
	// ownFirst is the time for which the pieces that the engine itself has are waited for before others are asked.
	ownFirst = 250 * time.Millisecond
	// finishLimit bounds the time for which that goes on.
	finishLimit = 1200 * time.Millisecond
	// announceAhead is the time for which a change is announced, about that of a long answer.
	announceAhead = 2500 * time.Millisecond
	announcePause = 500 * time.Millisecond
	// noticeLead is the time by which the entries hear of a change before it is ordered.
	noticeLead = 30 * time.Millisecond
)

var (
	errSuperseded = errors.New("another version is wanted now")
	errNoModel    = errors.New("no model is configured for the engine")
)

// State is what an engine says of itself.
type State struct {
	// Version is the version of the complete weights that serve, or 0.
	Version int64
	// Busy says that an order is in progress.
	Busy bool
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
	// Wanted returns the model and the version of its weights that is wanted; version 0 is the newest that the origin has.
	Wanted func() (model string, version int64)
	// Manifest returns the manifest of a version, and the version.
	Manifest func(ctx context.Context, model string, version int64) (railmanifest.Manifest, int64, error)
	// Turn returns the time until the engine's turn to load a version in place of the one that serves.
	Turn func(serving, loading int64) time.Duration
	// Notify tells the entries which version serves, or 0 while the engine takes nothing new, and the time after which it is to
	// change, if that is not 0.
	Notify  func(version int64, changesIn time.Duration)
	Stage   *railstage.Stage
	Store   *railchunks.Store
	Fetcher Fetcher
	Log     *slog.Logger

	once sync.Once
	// changed and fetched tell of another version that may be wanted, and of one that is there whole.
	changed, fetched chan struct{}

	mu sync.Mutex
	// fetching and complete are the version that is fetched now and the newest one that is there whole.
	fetching, complete weights
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

// fetch brings the wanted version in, unless it is there.
func (n *Installer) fetch(ctx context.Context) error {
	model, wanted := n.Wanted()
	if model == "" {
		return errNoModel
	}
	n.mu.Lock()
	there := n.complete.model == model && n.complete.version > 0 && (wanted == 0 || n.complete.version == wanted)
	n.mu.Unlock()
	if there {
		return nil
	}
	m, version, err := n.Manifest(ctx, model, wanted)
	if err != nil {
		return errors.Wrap(err, "read the manifest")
	}
	w := weights{model: model, version: version, manifest: m}
	n.setFetching(w)
	began := time.Now()
	if err := n.bring(ctx, w, wanted); err != nil {
		return err
	}
	n.Log.Info("weights fetched", "version", version, "took", time.Since(began))
	return n.setComplete(ctx, w)
}

// recover takes over what the engine has staged from before this process began, as soon as the engine answers; first is closed
// after the first attempt.
func (n *Installer) recover(ctx context.Context, w weights, first chan<- struct{}) {
	for attempt := 0; !n.recovered.Load(); attempt++ {
		bounded, cancel := context.WithTimeout(ctx, stageLimit)
		err := n.Stage.Recover(bounded, w.model, w.manifest, func(digest string, data []byte) error { return n.Store.Put(bounded, digest, data) })
		cancel()
		if attempt == 0 {
			close(first)
		}
		if err == nil {
			n.recovered.Store(true)
			return
		}
		n.Log.Debug("engine's own pieces not read", "err", err)
		if !railtimer.Sleep(ctx, look) {
			return
		}
	}
}

// bring fetches the missing chunks, unless another version is wanted before most of them are there. What the engine itself
// has staged goes first where it can be read at once.
func (n *Installer) bring(ctx context.Context, w weights, wanted int64) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !n.recovered.Load() {
		first := make(chan struct{})
		go n.recover(ctx, w, first)
		select {
		case <-first:
		case <-time.After(ownFirst):
		}
	}
	go n.supersede(ctx, w.manifest, wanted, cancel)
	if err := n.Fetcher.Fetch(ctx, w.manifest); err != nil {
		return errors.CombineErrors(context.Cause(ctx), err)
	}
	return nil
}

// supersede ends the fetching of a version once another is wanted, unless most of it is there and the rest comes soon: the
// other agents may have turned to the other version.
func (n *Installer) supersede(ctx context.Context, m railmanifest.Manifest, wanted int64, cancel context.CancelCauseFunc) {
	var since time.Time
	for railtimer.Sleep(ctx, look) {
		if _, now := n.Wanted(); now == wanted {
			continue
		}
		if since.IsZero() {
			since = time.Now()
		}
		if n.held(m) < worthFinishing*float64(len(m.Chunks)) || time.Since(since) > finishLimit {
			cancel(errSuperseded)
			return
		}
	}
}

// held returns the number of a manifest's chunks that are there.
func (n *Installer) held(m railmanifest.Manifest) float64 {
	count := 0
	for _, digest := range m.Chunks {
		if n.Store.Has(digest) {
			count++
		}
	}
	return float64(count)
}

func (n *Installer) setFetching(w weights) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fetching = w
}

// setComplete notes the newest complete version and drops what is neither of it nor of the one before.
func (n *Installer) setComplete(ctx context.Context, w weights) error {
	n.mu.Lock()
	kept := append(append([]string(nil), w.manifest.Chunks...), n.complete.manifest.Chunks...)
	n.complete = w
	n.mu.Unlock()
	wake(n.fetched)
	return n.Store.Keep(ctx, kept)
}

func (n *Installer) ready() weights {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.complete
}

// install loads the newest complete version once the engine's turn has come.
func (n *Installer) install(ctx context.Context) error {
	for ctx.Err() == nil {
		w := n.ready()
		state, err := n.state(ctx)
		switch {
		case err != nil:
			return err
		case w.version == 0 && state.Version == 0:
			n.awaitFetched(ctx)
			continue
		case w.version <= state.Version:
			return nil
		case state.Busy:
			return errors.New("the engine is busy with an order")
		}
		if wait := n.Turn(state.Version, w.version); state.Version > 0 && wait > 0 {
			n.announce(state.Version, wait)
			railtimer.Sleep(ctx, min(wait, look))
			continue
		}
		if err := n.load(ctx, w, state.Version); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// awaitFetched waits for a short time until a version is there whole.
func (n *Installer) awaitFetched(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-n.fetched:
	case <-time.After(look):
	}
}

// announce tells the entries some time ahead that the engine is to change over, so that it has little left to do by then.
func (n *Installer) announce(serving int64, wait time.Duration) {
	if wait > announceAhead || time.Since(n.announced) < announcePause {
		return
	}
	n.announced = time.Now()
	n.Notify(serving, wait)
}

func (n *Installer) state(ctx context.Context) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	s, err := n.Engine.State(ctx)
	return s, errors.Wrap(err, "read the engine's state")
}

// load stages a version, orders the engine to load it and waits for its end.
func (n *Installer) load(ctx context.Context, w weights, serving int64) error {
	if err := n.stage(ctx, w); err != nil {
		return err
	}
	n.Notify(0, 0)
	if serving > 0 {
		railtimer.Sleep(ctx, noticeLead)
	}
	bounded, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	began := time.Now()
	if err := n.Engine.Start(bounded, w.model, w.version); err != nil {
		n.Notify(serving, 0)
		return errors.Wrap(err, "order the load")
	}
	n.Log.Info("load ordered", "version", w.version, "serving", serving)
	if err := n.await(ctx, w.version); err != nil {
		return err
	}
	n.Notify(w.version, 0)
	n.Log.Info("weights serve", "version", w.version, "took", time.Since(began))
	return nil
}

// stage puts the pieces in place and reads them back.
func (n *Installer) stage(ctx context.Context, w weights) error {
	ctx, cancel := context.WithTimeout(ctx, stageLimit)
	defer cancel()
	put, err := n.Stage.Complete(ctx, w.model, w.manifest)
	n.Log.Info("pieces staged", "version", w.version, "put", put, "err", err)
	return err
}

func (n *Installer) await(ctx context.Context, version int64) error {
	began := time.Now()
	for time.Since(began) < loadLimit && railtimer.Sleep(ctx, lookLoad) {
		state, err := n.state(ctx)
		switch {
		case err != nil:
			return err
		case state.Version == version:
			return nil
		case !state.Busy:
			return errors.New("the engine has not loaded what was ordered")
		}
	}
	return errors.Newf("the load has not ended within %s", loadLimit)
}
