package railinstaller

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/rollout/railcollector"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railstage"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railsteps"
)

const (
	idlePause = 800 * time.Millisecond
	// look is the time between two looks at whether the engine's turn has come.
	look = 60 * time.Millisecond
	// lookLoad is the time between two looks at an engine that loads.
	lookLoad = 25 * time.Millisecond
	// loadLimit bounds the wait for an ordered load, which begins after the engine's running answers.
	loadLimit  = 12 * time.Second
	callLimit  = time.Second
	stageLimit = 5 * time.Second
	// announceAhead is the time for which a change is announced, about that of a long answer.
	announceAhead = 2500 * time.Millisecond
	announcePause = 500 * time.Millisecond
	// noticeLead is the time by which the entries hear of a change before it is ordered.
	noticeLead = 30 * time.Millisecond
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
	StartLoad(ctx context.Context, model string, version int64) error
}

// Installer drives one engine; its fields are set before Run.
type Installer struct {
	Engine Engine
	// Collector fetches the weights.
	Collector *railcollector.Collector
	// Turn returns the time until the engine's turn to load a version in place of the one that serves.
	LoadDelay func(serving, loading int64) time.Duration
	// Notify tells the entries which version serves, or 0 while the engine takes nothing new, and the time after which it is to
	// change, if that is not 0.
	Notify func(version int64, changesIn time.Duration)
	// Idle is told again and again whether the engine has nothing that may serve, so that weights hold up no answers.
	SetIdle func(idle bool)
	Stager  *railstage.Stager
	Log     *slog.Logger

	// serving is the version that the engine held when it was asked last.
	serving atomic.Int64
	// announced is when the entries were last told of a change that is to come.
	announced time.Time
}

// Serving returns the version that the engine held when it was asked last, or 0.
func (n *Installer) Serving() int64 {
	return n.serving.Load()
}

// Run fetches and installs what is wanted until ctx is done.
func (n *Installer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	install := &railsteps.Step{Name: "install", Pass: n.install, Pause: idlePause, News: n.Collector.Fetched(), Log: n.Log}
	wg.Go(func() { n.Collector.Run(ctx) })
	wg.Go(func() { install.Run(ctx) })
	wg.Wait()
}
