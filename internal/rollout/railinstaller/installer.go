package railinstaller

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railchunks"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railfetcher"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railstage"
)

const (
	idlePause  = 800 * time.Millisecond
	retryPause = 150 * time.Millisecond
	loadLook   = 60 * time.Millisecond
	// loadLimit bounds the wait for an ordered load, which begins after the engine's running answers.
	loadLimit = 12 * time.Second
	callLimit = time.Second
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

// Installer drives one engine; its fields are set before Run.
type Installer struct {
	Engine Engine
	// Wanted returns the model and the version of its weights that is wanted; version 0 is the newest that the origin has.
	Wanted func() (model string, version int64)
	// Manifest returns the manifest of a version.
	Manifest func(ctx context.Context, model string, version int64) (railmanifest.Manifest, int64, error)
	// Turn returns the time until this engine's turn to change from one version to another.
	Turn    func() time.Duration
	Stage   *railstage.Stage
	Store   *railchunks.Store
	Fetcher *railfetcher.Fetcher
	Log     *slog.Logger

	mu      sync.Mutex
	version int64
	model   string
	content railmanifest.Manifest
	lastErr string
}

// Run installs what is wanted until ctx is done.
func (n *Installer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := idlePause
		if err := n.install(ctx); err != nil && ctx.Err() == nil {
			pause = retryPause
			if err.Error() != n.lastErr {
				n.lastErr = err.Error()
				n.Log.Warn("weights are not in place yet", "err", err)
			}
		}
		railtimer.Sleep(ctx, pause)
	}
}

// Chunk returns the place of a chunk in the version that is fetched now.
func (n *Installer) Chunk(digest string) (model string, version int64, index int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.model, n.version, n.content.Index(digest)
}

// install makes one pass: it returns nil once the wanted version serves.
func (n *Installer) install(ctx context.Context) error {
	model, wanted := n.Wanted()
	if model == "" {
		return errNoModel
	}
	state, err := n.state(ctx)
	if err != nil {
		return err
	}
	if wanted > 0 && state.Version == wanted {
		return nil
	}
	if state.Busy {
		return errors.New("the engine is busy with an order")
	}
	m, version, err := n.prepare(ctx, model, wanted)
	if err != nil {
		return err
	}
	if state.Version == version {
		return nil
	}
	began := time.Now()
	if err := n.fetch(ctx, m, wanted); err != nil {
		return err
	}
	n.Log.Info("pieces staged", "version", version, "took", time.Since(began))
	if state.Version != 0 && !n.sleep(ctx, n.Turn(), wanted) {
		return errSuperseded
	}
	return n.load(ctx, m, version, wanted)
}

func (n *Installer) state(ctx context.Context) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	s, err := n.Engine.State(ctx)
	return s, errors.Wrap(err, "read the engine's state")
}

// prepare returns the manifest of the wanted version; at first it learns which of its pieces are staged already.
func (n *Installer) prepare(ctx context.Context, model string, wanted int64) (railmanifest.Manifest, int64, error) {
	n.mu.Lock()
	m, version := n.content, n.version
	known := n.model == model && version == wanted && wanted > 0
	first := n.version == 0
	n.mu.Unlock()
	if !known {
		var err error
		if m, version, err = n.Manifest(ctx, model, wanted); err != nil {
			return m, 0, errors.Wrap(err, "read the manifest")
		}
		n.mu.Lock()
		n.model, n.version, n.content = model, version, m
		n.mu.Unlock()
		n.Stage.SetManifest(model, m)
	}
	if !first {
		return m, version, nil
	}
	return m, version, errors.Wrap(n.Store.Refresh(ctx), "look at what is staged")
}

// fetch brings the missing pieces unless another version is wanted meanwhile.
func (n *Installer) fetch(ctx context.Context, m railmanifest.Manifest, wanted int64) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		for railtimer.Sleep(ctx, loadLook) {
			if _, now := n.Wanted(); now != wanted {
				cancel(errSuperseded)
			}
		}
	}()
	if err := n.Fetcher.Fetch(ctx, m); err != nil {
		return errors.CombineErrors(context.Cause(ctx), err)
	}
	return nil
}

// load reads the pieces back, orders the load and waits for its end.
func (n *Installer) load(ctx context.Context, m railmanifest.Manifest, version, wanted int64) error {
	if err := n.Store.Refresh(ctx); err != nil {
		return errors.Wrap(err, "read the pieces back")
	}
	for i, digest := range m.Chunks {
		if !n.Store.Has(digest) {
			return errors.Newf("piece %d has turned bad, it is fetched again", i)
		}
	}
	if _, now := n.Wanted(); now != wanted {
		return errSuperseded
	}
	bounded, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if err := n.Engine.Start(bounded, n.model, version); err != nil {
		return errors.Wrap(err, "order the load")
	}
	n.Log.Info("load ordered", "version", version)
	return n.await(ctx, version)
}

func (n *Installer) await(ctx context.Context, version int64) error {
	began := time.Now()
	for time.Since(began) < loadLimit && railtimer.Sleep(ctx, loadLook) {
		state, err := n.state(ctx)
		switch {
		case err != nil:
			return err
		case state.Version == version:
			n.Log.Info("weights serve", "version", version, "took", time.Since(began))
			return nil
		case !state.Busy:
			return errors.New("the engine has not loaded what was ordered")
		}
	}
	return errors.Newf("the load has not ended within %s", loadLimit)
}

// sleep waits unless another version is wanted meanwhile; it reports whether the same one is wanted still.
func (n *Installer) sleep(ctx context.Context, d time.Duration, wanted int64) bool {
	until := time.Now().Add(d)
	for {
		if _, now := n.Wanted(); now != wanted {
			return false
		}
		left := time.Until(until)
		if left <= 0 {
			return true
		}
		if !railtimer.Sleep(ctx, min(left, loadLook)) {
			return false
		}
	}
}
