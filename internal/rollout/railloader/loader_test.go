package railloader_test

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/rollout/raildownloader"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railloader"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railloadorder"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railstager"
	"github.com/fulmarrail/fulmarrail/internal/standin/railmodelengine"
)

const (
	layers     = 4
	pieces     = 24
	pieceBytes = 64
	// ordersPerLoad is the number of orders of an undisturbed load.
	ordersPerLoad = 2
	// freezeTime is longer than the time for which the platform tolerates corrupt pieces.
	freezeTime = 4 * time.Second
	// installTime is the time within which a load has to succeed on an engine without delays, and slowInstallTime on one that is slow or
	// was frozen.
	installTime     = time.Second
	slowInstallTime = 12 * time.Second
)

// weights returns a version of the weights.
func weights(e *railmodelengine.Engine, version int64) raildownloader.Weights {
	m := railmanifest.Manifest{Version: strconv.FormatInt(version, 10), ChunkSize: pieceBytes, Size: pieceBytes * pieces}
	for i := range pieces {
		m.Chunks = append(m.Chunks, railmanifest.Sum(e.Content(version, i)))
	}
	return raildownloader.Weights{Model: "m", Version: version, Manifest: m}
}

// newLoader returns a loader as a process has it that has just started.
func newLoader(e *railmodelengine.Engine) *railloader.Loader {
	chunks := map[string][]byte{}
	for version := int64(1); version <= 3; version++ {
		for i, digest := range weights(e, version).Manifest.Chunks {
			chunks[digest] = e.Content(version, i)
		}
	}
	start := time.Now()
	return &railloader.Loader{
		Engine: e, Layers: func() int { return layers }, Suspend: func(context.Context) {}, Log: slog.New(slog.DiscardHandler),
		Stager: &railstager.Stager{
			Engine: e, Now: func() time.Duration { return time.Since(start) },
			Chunk: func(_ context.Context, digest string) ([]byte, error) { return chunks[digest], nil },
		},
	}
}

func newEngine() *railmodelengine.Engine {
	e := &railmodelengine.Engine{Layers: layers, Pieces: pieces, PieceBytes: pieceBytes, PutTime: time.Millisecond, ReadTime: time.Millisecond, LoadTime: 300 * time.Millisecond}
	e.Serve(1)
	return e
}

// reconcile takes one step towards a version, as the installer does.
func reconcile(ctx context.Context, l *railloader.Loader, e *railmodelengine.Engine, version int64) error {
	state, err := l.State(ctx)
	if err != nil {
		return err
	}
	w := weights(e, version)
	if err := l.VerifyInherited(ctx, w); err != nil {
		return err
	}
	switch {
	case state.Busy:
		return errors.New("the engine is busy")
	case l.Proven(state) && state.Version == version:
		return nil
	case !l.Proven(state) && state.Version > 0 && state.Version != version:
		if err := l.Withdraw(ctx, w.Model, state.Version); err != nil {
			return err
		}
	}
	return l.Load(ctx, w)
}

// install repeats reconcile until it succeeds, and returns the time that this took.
func install(t *testing.T, l *railloader.Loader, e *railmodelengine.Engine, version int64) time.Duration {
	t.Helper()
	start := time.Now()
	for reconcile(t.Context(), l, e, version) != nil {
		qt.Assert(t, time.Since(start) < time.Minute, qt.IsTrue)
		time.Sleep(100 * time.Millisecond)
	}
	served, faults := e.Serving()
	qt.Assert(t, served, qt.Equals, version)
	qt.Assert(t, faults, qt.HasLen, 0)
	return time.Since(start)
}

// Guards against engines that serve weights of which pieces had been corrupt for over 3 s when they were loaded.
func TestNoVersionServesThatWasLoadedFromCorruptPieces(t *testing.T) {
	for name, test := range map[string]struct {
		// disrupt prepares the disruption on an engine that serves version 1.
		disrupt func(e *railmodelengine.Engine)
		within  time.Duration
		// repaired is set if layers have to be loaded more than once.
		repaired bool
	}{
		"nothing happens": {func(*railmodelengine.Engine) {}, installTime, false},
		"pieces turn corrupt before the machine freezes during staging": {func(e *railmodelengine.Engine) {
			e.OnPut = func(count int) {
				if count == pieces/2 {
					e.Corrupt(0, 1, 2)
					time.Sleep(freezeTime)
				}
			}
		}, slowInstallTime, false},
		"pieces turn corrupt before the machine freezes with the order on its way": {func(e *railmodelengine.Engine) {
			e.OnOrder = func(o railloadorder.Order) bool {
				if o.Sequence == 0 {
					e.Corrupt(3, 17)
					time.Sleep(freezeTime)
				}
				return false
			}
		}, slowInstallTime, true},
		"the order is accepted late and its answer is lost": {func(e *railmodelengine.Engine) {
			e.OnOrder = func(o railloadorder.Order) bool {
				if o.Sequence == 0 {
					e.Corrupt(3, 17)
					time.Sleep(freezeTime)
				}
				return o.Sequence == 0
			}
		}, slowInstallTime, true},
		"the answer to each order of all layers is late": {func(e *railmodelengine.Engine) {
			late := 0
			e.OnOrder = func(railloadorder.Order) bool {
				if late++; late <= 3 {
					e.Corrupt(rand.IntN(pieces))
					time.Sleep(freezeTime)
				}
				return false
			}
		}, 2 * slowInstallTime, true},
		"each piece takes long to stage": {func(e *railmodelengine.Engine) {
			e.PutTime = 2200 * time.Millisecond
			e.OnPut = func(count int) {
				if count == 1 {
					e.Corrupt(0, 1, 2, 3, 4, 5)
				}
			}
		}, slowInstallTime, false},
		"each piece takes long to stage and to read": {func(e *railmodelengine.Engine) {
			e.PutTime, e.ReadTime = 1800*time.Millisecond, 1800*time.Millisecond
			e.OnPut = func(count int) {
				if count == 17 {
					e.Corrupt(0, 1, 2, 3, 4, 5)
				}
			}
		}, 3 * slowInstallTime, true},
		"the engine loses its staged pieces before the order": {func(e *railmodelengine.Engine) {
			restarted := false
			e.OnOrder = func(railloadorder.Order) bool {
				if !restarted {
					restarted = true
					e.Restart(false)
				}
				return false
			}
		}, slowInstallTime, true},
	} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				e := newEngine()
				test.disrupt(e)
				took := install(t, newLoader(e), e, 2)
				qt.Check(t, took < test.within, qt.IsTrue, qt.Commentf("took %s", took))
				qt.Check(t, len(e.Orders()) > ordersPerLoad, qt.Equals, test.repaired, qt.Commentf("orders: %v", e.Orders()))
			})
		})
	}
}

// Guards against corrupt layers that an engine never loads again, since it loads all layers whatever the order is for.
func TestEngineThatLoadsWholeModelsIsRepaired(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		e := newEngine()
		e.LoadsWholeModels = true
		e.OnOrder = func(o railloadorder.Order) bool {
			if o.Sequence == 0 {
				e.Corrupt(3, 17, 23)
				time.Sleep(freezeTime)
			}
			return false
		}
		took := install(t, newLoader(e), e, 2)
		qt.Check(t, took < slowInstallTime, qt.IsTrue, qt.Commentf("took %s", took))
	})
}

// Guards against an engine that accepts a late order for an older version while the pieces of a newer one are staged.
func TestLateOrderNeverLoadsPiecesOfTwoVersions(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		e := newEngine()
		l := newLoader(e)
		l.Engine = &lostOrders{Engine: e, lose: 1}
		qt.Assert(t, l.Load(t.Context(), weights(e, 2)), qt.IsNotNil)
		install(t, l, e, 3)
		time.Sleep(4 * time.Second)
		served, faults := e.Serving()
		qt.Check(t, served, qt.Equals, int64(3))
		qt.Check(t, faults, qt.HasLen, 0)
	})
}

// Guards against a loader that waits for ever for an order for a version whose pieces it no longer has.
func TestLostOrderOfDroppedVersionHoldsNothingUp(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		e := newEngine()
		l := newLoader(e)
		l.Engine = &lostOrders{Engine: e, lose: 1, dropped: true}
		qt.Assert(t, l.Load(t.Context(), weights(e, 2)), qt.IsNotNil)
		e.LoseStaged()
		chunk := l.Stager.Chunk
		dropped := weights(e, 2).Manifest
		l.Stager.Chunk = func(ctx context.Context, digest string) ([]byte, error) {
			if dropped.Index(digest) >= 0 {
				return nil, errors.New("the chunk was dropped")
			}
			return chunk(ctx, digest)
		}
		took := install(t, l, e, 3)
		qt.Check(t, took < slowInstallTime, qt.IsTrue, qt.Commentf("took %s", took))
		time.Sleep(4 * time.Second)
		served, faults := e.Serving()
		qt.Check(t, served, qt.Equals, int64(3))
		qt.Check(t, faults, qt.HasLen, 0)
	})
}

// lostOrders delivers the first orders to the engine two seconds late, or drops them, without an answer.
type lostOrders struct {
	*railmodelengine.Engine
	lose    int
	dropped bool
}

func (l *lostOrders) StartLoad(ctx context.Context, o railloadorder.Order) error {
	if l.lose == 0 {
		return l.Engine.StartLoad(ctx, o)
	}
	l.lose--
	if !l.dropped {
		time.AfterFunc(2*time.Second, func() { _ = l.Engine.StartLoad(context.Background(), o) })
	}
	<-ctx.Done()
	return errors.Wrap(ctx.Err(), "no answer")
}

// Guards against a process that trusts what the one before it has loaded, or that repairs pieces of which the engine may hold corrupt ones.
func TestRestartedProcessProvesLoadAgain(t *testing.T) {
	for name, held := range map[string]string{"all layers but the last": "most", "a load is under way": "busy"} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				e := newEngine()
				first := newLoader(e)
				ctx, cancel := context.WithCancel(t.Context())
				e.OnOrder = func(o railloadorder.Order) bool {
					if o.Sequence == 0 {
						e.Corrupt(2)
						time.Sleep(freezeTime)
						if held == "busy" {
							cancel()
						}
					} else if held == "most" {
						time.AfterFunc(time.Millisecond, cancel)
					}
					return false
				}
				_ = first.Load(ctx, weights(e, 2))
				e.OnOrder = nil
				install(t, newLoader(e), e, 2)
			})
		})
	}
}

// Guards against corrupt weights in service after any series of freezes, slow calls, lost answers, corruption, engine restarts, process
// restarts and new versions. A failing seed is played again by its name.
func TestSeriesOfDisruptionsNeverServesCorruptPieces(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) { playSeries(t, rand.New(&lockedSource{source: rand.NewPCG(seed, 0)})) })
		})
	}
}

// lockedSource is a source of random numbers for several goroutines.
type lockedSource struct {
	mu     sync.Mutex
	source rand.Source
}

// Uint64 returns a random number.
func (s *lockedSource) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.Uint64()
}

func playSeries(t *testing.T, random *rand.Rand) {
	e := newEngine()
	e.PutTime = time.Duration(random.IntN(1500)) * time.Millisecond
	e.ReadTime = time.Duration(random.IntN(1200)) * time.Millisecond
	calm := false
	pause := func() {
		if !calm && random.IntN(3) == 0 {
			time.Sleep(time.Duration(random.Int64N(int64(freezeTime))))
		}
	}
	e.OnPut = func(int) {
		if random.IntN(12) == 0 {
			e.Corrupt(random.IntN(pieces))
			pause()
		}
	}
	e.OnOrder = func(railloadorder.Order) bool {
		e.Corrupt(random.IntN(pieces))
		pause()
		if !calm && random.IntN(12) == 0 {
			e.Restart(random.IntN(2) == 0)
		}
		return !calm && random.IntN(3) == 0
	}
	l := newLoader(e)
	version := int64(2)
	for step := range 12 {
		calm = step >= 8
		if random.IntN(4) == 0 && !calm {
			l = newLoader(e)
		}
		if random.IntN(4) == 0 && version < 3 {
			version++
		}
		err := reconcile(t.Context(), l, e, version)
		served, faults := e.Serving()
		state, stateErr := l.State(t.Context())
		if err == nil && stateErr == nil && state.Version > 0 && l.Proven(state) {
			qt.Assert(t, strings.Join(faults, "\n"), qt.Equals, "", qt.Commentf("version %d in step %d", served, step))
		}
		time.Sleep(500 * time.Millisecond)
	}
	e.OnPut, e.OnOrder = nil, nil
	e.PutTime, e.ReadTime = time.Millisecond, time.Millisecond
	install(t, l, e, version)
}
