package railinstaller

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/rollout/raildownloader"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railfetchorder"
)

// install loads the latest complete version once LoadDelay has passed. An engine without weights loads immediately.
func (n *Installer) install(ctx context.Context) error {
	for ctx.Err() == nil {
		w := n.Downloader.LatestComplete()
		state, err := n.readState(ctx)
		if err == nil {
			n.SetIdle(n.hasNothingToServe(state.Version))
		}
		switch {
		case err != nil:
			return err
		case w.Version == 0 && state.Version == 0:
			n.awaitFetched(ctx)
			continue
		case w.Version <= state.Version:
			return nil
		case state.Busy:
			return errors.New("engine is executing another order")
		}
		if delay := n.LoadDelay(state.Version, w.Version); state.Version > 0 && delay > 0 {
			n.announce(state.Version, delay)
			railtimer.Sleep(ctx, min(delay, pollInterval))
			continue
		}
		if err := n.load(ctx, w, state.Version); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// hasNothingToServe reports whether an engine with the given version, or 0 for none, has no weights that it may serve. A version may
// not be served any more once a newer one is due.
func (n *Installer) hasNothingToServe(version int64) bool {
	_, versions := n.Downloader.Wanted()
	return version == 0 || slices.ContainsFunc(versions, func(v railfetchorder.Version) bool { return v.Number > version && v.DueIn <= 0 })
}

// awaitFetched waits until a version is complete, for pollInterval at most.
func (n *Installer) awaitFetched(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-n.Downloader.Fetched():
	case <-time.After(pollInterval):
	}
}

// announce tells the entries ahead of a load, so that the engine has little work left when it begins.
func (n *Installer) announce(serving int64, delay time.Duration) {
	if delay > announceLead || time.Since(n.lastAnnounced) < announceInterval {
		return
	}
	n.lastAnnounced = time.Now()
	n.Notify(serving, delay)
}

// readState reads the engine's state and records the version in service.
func (n *Installer) readState(ctx context.Context) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := n.Engine.State(ctx)
	if err == nil {
		n.serving.Store(s.Version)
	}
	return s, errors.Wrap(err, "read the engine's state")
}

// load stages a version, orders the engine to load it and waits until the load has ended.
func (n *Installer) load(ctx context.Context, w raildownloader.Weights, serving int64) error {
	if err := n.stage(ctx, w); err != nil {
		return err
	}
	n.Notify(0, 0)
	if serving > 0 {
		railtimer.Sleep(ctx, notifyLead)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := time.Now()
	if err := n.Engine.StartLoad(callCtx, w.Model, w.Version); err != nil {
		n.Notify(serving, 0)
		return errors.Wrap(err, "order the engine to load")
	}
	n.Log.Info("load ordered", "version", w.Version, "serving", serving)
	if err := n.awaitLoad(ctx, w.Version); err != nil {
		return err
	}
	n.Notify(w.Version, 0)
	n.SetIdle(false)
	n.Log.Info("weights serve", "version", w.Version, "took", time.Since(began))
	return nil
}

// stage puts the missing pieces and verifies the others.
func (n *Installer) stage(ctx context.Context, w raildownloader.Weights) error {
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	putCount, err := n.Stager.EnsureStaged(ctx, w.Model, w.Manifest)
	n.Log.Info("pieces staged", "version", w.Version, "put", putCount, "err", err)
	return err
}

// awaitLoad waits until the engine serves a version. It returns an error if the engine is not busy and serves another one, if its
// state can't be read, or after loadTimeout.
func (n *Installer) awaitLoad(ctx context.Context, version int64) error {
	began := time.Now()
	for time.Since(began) < loadTimeout && railtimer.Sleep(ctx, loadPollInterval) {
		state, err := n.readState(ctx)
		switch {
		case err != nil:
			return err
		case state.Version == version:
			return nil
		case !state.Busy:
			return errors.New("engine did not load the ordered version")
		}
	}
	return errors.Newf("load did not finish within %s", loadTimeout)
}
