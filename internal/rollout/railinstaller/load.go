package railinstaller

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railcollector"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railtarget"
)

// install loads the newest complete version once the engine's turn has come.
func (n *Installer) install(ctx context.Context) error {
	for ctx.Err() == nil {
		w := n.Collector.LatestComplete()
		state, err := n.state(ctx)
		if err == nil {
			n.SetIdle(n.idle(state.Version))
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
			return errors.New("the engine is busy with an order")
		}
		if wait := n.LoadDelay(state.Version, w.Version); state.Version > 0 && wait > 0 {
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

// idle reports whether an engine that holds a version, or none, has nothing that may serve.
func (n *Installer) idle(holds int64) bool {
	_, versions := n.Collector.Wanted()
	return holds == 0 || slices.ContainsFunc(versions, func(v railtarget.Version) bool { return v.Number > holds && v.DueIn <= 0 })
}

// awaitFetched waits for a short time until a version is there whole.
func (n *Installer) awaitFetched(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-n.Collector.Fetched():
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
	if err == nil {
		n.serving.Store(s.Version)
	}
	return s, errors.Wrap(err, "read the engine's state")
}

// load stages a version, orders the engine to load it and waits for its end.
func (n *Installer) load(ctx context.Context, w railcollector.Weights, serving int64) error {
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
	if err := n.Engine.StartLoad(bounded, w.Model, w.Version); err != nil {
		n.Notify(serving, 0)
		return errors.Wrap(err, "order the load")
	}
	n.Log.Info("load ordered", "version", w.Version, "serving", serving)
	if err := n.await(ctx, w.Version); err != nil {
		return err
	}
	n.Notify(w.Version, 0)
	n.SetIdle(false)
	n.Log.Info("weights serve", "version", w.Version, "took", time.Since(began))
	return nil
}

// stage puts the pieces in place and reads them back.
func (n *Installer) stage(ctx context.Context, w railcollector.Weights) error {
	ctx, cancel := context.WithTimeout(ctx, stageLimit)
	defer cancel()
	put, err := n.Stager.EnsureStaged(ctx, w.Model, w.Manifest)
	n.Log.Info("pieces staged", "version", w.Version, "put", put, "err", err)
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
