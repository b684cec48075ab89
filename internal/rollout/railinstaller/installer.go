package railinstaller

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/rollout/raildownloader"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railretryloop"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railstager"
)

const (
	// installInterval is the time between checks of whether a newer version is complete; a completed one is also signalled.
	installInterval = 800 * time.Millisecond
	// pollInterval is the time between checks of whether the load delay has passed.
	pollInterval = 60 * time.Millisecond
	// loadPollInterval is the time between reads of the engine's state during a load.
	loadPollInterval = 25 * time.Millisecond
	// loadTimeout bounds the wait for an ordered load, including the time until the engine's running responses have ended.
	loadTimeout  = 12 * time.Second
	callTimeout  = time.Second
	stageTimeout = 5 * time.Second
	// announceLead is how long before a load it is first announced: about the duration of a long response.
	announceLead     = 2500 * time.Millisecond
	announceInterval = 500 * time.Millisecond
	// notifyLead is how long before an ordered load the entries are told that the engine accepts no new requests.
	notifyLead = 30 * time.Millisecond
)

// State is the state that an engine reports.
type State struct {
	// Version is the version of the complete weights in service, or 0 if there are none.
	Version int64
	// Busy is true while the engine executes an order.
	Busy bool
}

// Engine is a client of the local engine.
type Engine interface {
	railstager.Engine
	// State reads the engine's current state.
	State(ctx context.Context) (State, error)
	// StartLoad orders the engine to load the staged pieces once its running responses have ended. It does not wait for the load.
	StartLoad(ctx context.Context, model string, version int64) error
}

// Installer installs weights on one engine. Its fields must be set before Run.
type Installer struct {
	Engine Engine
	// Downloader fetches the weights.
	Downloader *raildownloader.Downloader
	// LoadDelay returns the time until the engine should replace the serving version by the loading one; 0 or less means now.
	LoadDelay func(serving, loading int64) time.Duration
	// Notify tells the entries which version the engine serves, or 0 while it accepts no new requests. If changesIn is not 0, the
	// engine will replace that version after this time.
	Notify func(version int64, changesIn time.Duration)
	// SetIdle is called repeatedly with whether the engine has no weights that it may serve. An idle engine sends no responses
	// that the transfer of weights could delay.
	SetIdle func(idle bool)
	Stager  *railstager.Stager
	Log     *slog.Logger

	// serving is the version in the state last read from the engine.
	serving atomic.Int64
	// lastAnnounced is when the entries were last told of an upcoming load.
	lastAnnounced time.Time
}

// Serving returns the version that the engine served when its state was last read, or 0 if there was none.
func (n *Installer) Serving() int64 {
	return n.serving.Load()
}

// Run fetches and installs the wanted versions until ctx is done.
func (n *Installer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	install := &railretryloop.Loop{Name: "install", RunOnce: n.install, Interval: installInterval, Wake: n.Downloader.Fetched(), Log: n.Log}
	wg.Go(func() { n.Downloader.Run(ctx) })
	wg.Go(func() { install.Run(ctx) })
	wg.Wait()
}
