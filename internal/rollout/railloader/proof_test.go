package railloader_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/membership/railproof"
	"github.com/fulmarrail/fulmarrail/internal/rollout/raillayers"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railloader"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railloadorder"
	"github.com/fulmarrail/fulmarrail/internal/standin/railmodelengine"
)

const latePiece = 3

// firstPart are all layers but the last.
var firstPart = raillayers.Range{End: layers - 1}

// newProvingLoader returns a loader that fails the test if it states that weights are proven which were loaded from wrong pieces.
func newProvingLoader(t *testing.T, e *railmodelengine.Engine) *railloader.Loader {
	l := newLoader(e)
	l.OnProof = func(p railproof.Proof) {
		if version, faults := e.Serving(); p.Version > 0 && version == p.Version {
			qt.Check(t, faults, qt.HasLen, 0, qt.Commentf("version %d counts as proven", version))
		}
	}
	return l
}

// Guards against engines that serve nothing after a start of all processes: nobody has loaded what an engine came with.
func TestWeightsThatEngineCameWithAreProven(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		e := newEngine()
		e.Corrupt(0, 1, 2) // Staged pieces tell nothing of them.
		l := newLoader(e)
		_, err := l.State(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, l.Proof().Version, qt.Equals, int64(1))
		qt.Check(t, l.VerifyInherited(t.Context(), weights(e, 1)), qt.IsNil)
		qt.Check(t, e.Orders(), qt.HasLen, 0)
	})
}

// Guards against requests on complete weights that a killed process has ordered and not proven, and against loads of weights that an entry knows
// to be proven.
func TestCompleteWeightsOfEarlierProcessAreProvenOnlyOnceThatIsKnown(t *testing.T) {
	for name, test := range map[string]struct {
		// version and answered are what the entries tell.
		version  int64
		answered bool
		corrupt  []int
		// orders is the number of orders that the second process gives.
		orders    int
		wantError bool
	}{
		"an entry knows that they are proven":           {version: 2, answered: true, corrupt: []int{0, pieces - 1}},
		"no entry knows, and their pieces are intact":   {answered: true},
		"no entry knows, and a piece has become bad":    {answered: true, corrupt: []int{pieces - 1}, orders: 2},
		"no entry can be asked, and a piece is bad":     {corrupt: []int{pieces - 1}, wantError: true},
		"an entry knows of another version":             {version: 1, answered: true},
		"an entry knows of another one, a piece is bad": {version: 1, answered: true, corrupt: []int{pieces - 1}, orders: 2},
	} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				e := newEngine()
				install(t, newLoader(e), e, 2)
				before := len(e.Orders())
				e.Corrupt(test.corrupt...)
				l := newProvingLoader(t, e)
				l.Known = func(context.Context, railproof.Proof) (int64, bool) { return test.version, test.answered }
				state, err := l.State(t.Context())
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, l.Proof().Version, qt.Equals, int64(0), qt.Commentf("nothing is known yet"))
				qt.Check(t, l.Proven(state), qt.IsFalse)
				if test.wantError {
					qt.Check(t, l.VerifyInherited(t.Context(), weights(e, 2)), qt.IsNotNil)
					qt.Check(t, e.Orders(), qt.HasLen, before)
					return
				}
				install(t, l, e, 2)
				qt.Check(t, l.Proof().Version, qt.Equals, int64(2))
				qt.Check(t, len(e.Orders())-before, qt.Equals, test.orders)
			})
		})
	}
}

// Guards against entries that take a second load of a version for the first one, which was proven: requests name the version only.
func TestEntriesDropEarlierProofsBeforeWeightsAreComplete(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		e := newEngine()
		fenced := railproof.Proof{Sequence: -1}
		complete := 0
		e.OnOrder = func(o railloadorder.Order) bool {
			if o.Layers.From == 0 && o.Layers.End == 0 {
				complete++
				qt.Check(t, fenced.Sequence >= 0, qt.IsTrue, qt.Commentf("no entry was asked before the order %+v", o))
				qt.Check(t, fenced.Version == o.Version, qt.IsFalse)
			}
			fenced.Sequence = -1
			return false
		}
		install1 := func(l *railloader.Loader, version int64) {
			l.Fence = func(_ context.Context, p railproof.Proof) { fenced = p }
			install(t, l, e, version)
		}
		install1(newLoader(e), 2)
		e.Corrupt(pieces - 1)
		install1(newLoader(e), 2)
		qt.Check(t, complete, qt.Equals, 2)
	})
}

// heldOrder is an engine whose first order is on its way until pieces are put by somebody else, and is accepted just before the first of these is
// stored.
type heldOrder struct {
	*railmodelengine.Engine
	begin    sync.Once
	accepted chan struct{}
	release  chan struct{}
}

func (h *heldOrder) PutPiece(ctx context.Context, model string, index int, data []byte) error {
	h.begin.Do(func() {
		close(h.release)
		<-h.accepted
	})
	return h.Engine.PutPiece(ctx, model, index, data)
}

// Guards against a load from corrupt pieces that looks intact afterwards, since they were put again after a late order of a killed process was
// accepted and before its acceptance was seen.
func TestLateOrderOfKilledProcessIsNotProvenByPiecesPutSince(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		e := newEngine()
		h := &heldOrder{Engine: e, accepted: make(chan struct{}), release: make(chan struct{})}
		var once sync.Once
		e.OnOrder = func(railloadorder.Order) bool {
			once.Do(func() { <-h.release })
			return false
		}
		killed := newLoader(e)
		go func() {
			ctx := context.WithoutCancel(t.Context())
			_, err := killed.State(ctx)
			qt.Check(t, err, qt.IsNil)
			_, err = killed.Stager.Stage(ctx, "m", weights(e, 2).Manifest)
			qt.Check(t, err, qt.IsNil)
			e.Corrupt(0, 1, 2)
			time.Sleep(freezeTime)
			_ = e.StartLoad(ctx, railloadorder.Order{Model: "m", Version: 2, Layers: firstPart, Sequence: 0})
			close(h.accepted)
		}()
		time.Sleep(2 * freezeTime)
		l := newProvingLoader(t, e)
		l.Engine, l.Stager.Engine = h, h
		install(t, l, e, 2)
	})
}

// latePuts is an engine that answers no put of one piece of version 2, and carries it out once the first order for version 3 is on its way.
type latePuts struct {
	*railmodelengine.Engine
	mu   sync.Mutex
	late []byte
}

func (l *latePuts) PutPiece(ctx context.Context, model string, index int, data []byte) error {
	if index == latePiece && string(data) == string(l.Content(2, latePiece)) {
		l.mu.Lock()
		l.late = data
		l.mu.Unlock()
		return errors.New("no answer")
	}
	return l.Engine.PutPiece(ctx, model, index, data)
}

func (l *latePuts) StartLoad(ctx context.Context, o railloadorder.Order) error {
	l.mu.Lock()
	late := l.late
	l.late = nil
	l.mu.Unlock()
	if late != nil {
		if err := l.Engine.PutPiece(ctx, o.Model, latePiece, late); err != nil {
			return err
		}
	}
	return l.Engine.StartLoad(ctx, o)
}

// Guards against weights with a piece of another version, whose put was not answered and was carried out after the piece of the newer version had
// been verified.
func TestPutThatIsCarriedOutLateIsNoticed(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		e := newEngine()
		late := &latePuts{Engine: e}
		l := newProvingLoader(t, e)
		l.Engine, l.Stager.Engine = late, late
		qt.Check(t, reconcile(t.Context(), l, e, 2), qt.IsNotNil)
		install(t, l, e, 3)
		qt.Check(t, l.Proof().Version, qt.Equals, int64(3))
	})
}

// Guards against corrupt layers of a killed process that count as proven: an engine that loads whole models holds complete weights after the order for
// the first layers, whose pieces nobody has proven then.
func TestWholeModelOfKilledProcessIsProvenByAllItsPieces(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		e := newEngine()
		e.LoadsWholeModels = true
		ctx, kill := context.WithCancel(t.Context())
		e.OnOrder = func(o railloadorder.Order) bool {
			if o.Sequence == 0 {
				e.Corrupt(0, 1, 2)
				time.Sleep(freezeTime)
				kill()
			}
			return false
		}
		qt.Assert(t, reconcile(ctx, newLoader(e), e, 2), qt.IsNotNil)
		time.Sleep(freezeTime)
		l := newProvingLoader(t, e)
		l.Known = func(context.Context, railproof.Proof) (int64, bool) { return 0, true }
		install(t, l, e, 2)
	})
}

// Guards against weights with a piece of another version, whose put a killed process had on its way: the next process doesn't know of it.
func TestPutOfKilledProcessThatIsCarriedOutLateIsNoticed(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		e := newEngine()
		late := &latePuts{Engine: e}
		killed := newLoader(e)
		killed.Engine, killed.Stager.Engine = late, late
		qt.Check(t, reconcile(t.Context(), killed, e, 2), qt.IsNotNil)
		l := newProvingLoader(t, e)
		l.Engine, l.Stager.Engine = late, late
		install(t, l, e, 3)
	})
}
