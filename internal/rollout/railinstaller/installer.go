package railinstaller

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/membership/railproof"
	"github.com/fulmarrail/fulmarrail/internal/rollout/raildownloader"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railloader"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railretryloop"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railstager"
)

const (
	// installInterval is the time between checks of whether a newer version is complete; a completed one is also signalled.
	installInterval = 800 * time.Millisecond
	// pollInterval is the time between checks of whether the load delay has passed.
	pollInterval = 60 * time.Millisecond
	// announceLead is how long before a load it is first announced: about the duration of a long response.
	announceLead     = 2500 * time.Millisecond
	announceInterval = 500 * time.Millisecond
	// notifyLead is how long before an ordered load the entries are told that the engine accepts no new requests.
	notifyLead = 30 * time.Millisecond
)

// Installer installs weights on one engine. Its fields must be set before Run.
type Installer struct {
	Engine railloader.Engine
	// Layers returns the number of layers of the model, or 0 if it is not known.
	Layers func() int
	// Downloader fetches the weights.
	Downloader *raildownloader.Downloader
	// LoadDelay returns the time until the engine should replace the serving version by the loading one; 0 or less means now.
	LoadDelay func(serving, loading int64) time.Duration
	// Notify tells the entries which version the engine serves, or 0 while it accepts no new requests. If changesIn is not 0, the
	// engine will replace that version after this time.
	Notify func(version int64, changesIn time.Duration)
	// OnProof, Known and Fence are those of the loader. They may be nil.
	OnProof func(railproof.Proof)
	Known   func(ctx context.Context, p railproof.Proof) (version int64, answered bool)
	Fence   func(ctx context.Context, p railproof.Proof)
	// SetIdle is called repeatedly with whether the engine has no weights that it may serve. An idle engine sends no responses
	// that the transfer of weights could delay.
	SetIdle func(idle bool)
	Stager  *railstager.Stager
	Log     *slog.Logger

	loader *railloader.Loader
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
	n.loader = &railloader.Loader{Engine: n.Engine, Stager: n.Stager, Layers: n.Layers, Suspend: n.suspend, OnProof: n.OnProof, Known: n.Known, Fence: n.Fence, Log: n.Log}
	var wg sync.WaitGroup
	install := &railretryloop.Loop{Name: "install", RunOnce: n.install, Interval: installInterval, Wake: n.Downloader.Fetched(), Log: n.Log}
	wg.Go(func() { n.Downloader.Run(ctx) })
	wg.Go(func() { install.Run(ctx) })
	wg.Wait()
}
