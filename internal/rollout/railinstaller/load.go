package railinstaller

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/rollout/raildownloader"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railenginestate"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railfetchorder"
)

// install loads the latest complete version once LoadDelay has passed. An engine without weights that it may serve loads immediately.
func (n *Installer) install(ctx context.Context) error {
	for ctx.Err() == nil {
		w := n.Downloader.LatestComplete()
		state, err := n.readState(ctx)
		if err == nil {
			err = n.verifyInherited(ctx, w, state)
			n.SetIdle(n.hasNothingToServe(state.Version))
		}
		serves := state.Version > 0 && n.loader.Proven(state)
		switch {
		case err != nil:
			return err
		case serves && w.Version <= state.Version:
			return nil
		case state.Busy:
			return errors.New("engine is executing another order")
		case n.mustWithdraw(state, w.Version):
			err = n.withdraw(ctx, state.Version)
		case w.Version == 0, w.Version < state.Version:
			n.awaitFetched(ctx)
		case serves && n.LoadDelay(state.Version, w.Version) > 0:
			n.awaitTurn(ctx, state.Version, w.Version)
		default:
			err = n.load(ctx, w, state.Version)
		}
		if err != nil {
			return err
		}
	}
	return ctx.Err()
}

// verifyInherited finds out whether weights that an earlier process has loaded are intact. An error holds nothing up once they are to be replaced.
func (n *Installer) verifyInherited(ctx context.Context, w raildownloader.Weights, state railenginestate.State) error {
	err := n.loader.VerifyInherited(ctx, w)
	if err == nil || w.Version <= state.Version || n.LoadDelay(state.Version, w.Version) > 0 {
		return err
	}
	n.Log.Warn("weights of an earlier process are replaced without a proof", "version", state.Version, "by", w.Version, "err", err)
	return nil
}

// awaitTurn waits until the engine is to load a version, for pollInterval at most, and announces the load.
func (n *Installer) awaitTurn(ctx context.Context, serving, loading int64) {
	delay := n.LoadDelay(serving, loading)
	n.announce(serving, delay)
	railtimer.Sleep(ctx, min(delay, pollInterval))
}

// mustWithdraw reports whether the engine holds complete weights that may have been loaded from corrupt pieces, and that a load of the given
// version would not verify first. Weights of a single layer can't be withdrawn.
func (n *Installer) mustWithdraw(state railenginestate.State, version int64) bool {
	return state.Version > 0 && state.Version != version && !n.loader.Proven(state) && !n.loader.Inherited() && n.Layers() > 1
}

// withdraw takes a version out of service that may have been loaded from corrupt pieces.
func (n *Installer) withdraw(ctx context.Context, version int64) error {
	model, _ := n.Downloader.Wanted()
	n.Log.Warn("weights are withdrawn, since corrupt pieces may have been loaded", "version", version)
	return n.loader.Withdraw(ctx, model, version)
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
func (n *Installer) readState(ctx context.Context) (railenginestate.State, error) {
	s, err := n.loader.State(ctx)
	if err == nil {
		n.serving.Store(s.Version)
	}
	return s, err
}

// load makes the engine serve a version in place of the serving one, which is 0 if there is none.
func (n *Installer) load(ctx context.Context, w raildownloader.Weights, serving int64) error {
	began := time.Now()
	if err := n.loader.Load(ctx, w); err != nil {
		n.resume(ctx, serving)
		return err
	}
	n.serving.Store(w.Version)
	n.Notify(w.Version, 0)
	n.SetIdle(false)
	n.Log.Info("weights serve", "version", w.Version, "took", time.Since(began))
	return nil
}

// suspend tells the entries that the engine accepts no new requests, and lets those that are on their way arrive.
func (n *Installer) suspend(ctx context.Context) {
	n.Notify(0, 0)
	if n.serving.Load() > 0 {
		railtimer.Sleep(ctx, notifyLead)
	}
}

// resume tells the entries that the engine goes on with a version, if it does after a failed load.
func (n *Installer) resume(ctx context.Context, version int64) {
	state, err := n.readState(ctx)
	if err == nil && version > 0 && state.Version == version && n.loader.Proven(state) {
		n.Notify(version, 0)
	}
}
