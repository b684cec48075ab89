package railinstaller_test

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtual"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railchunks"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railcollector"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railfetcher"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railinstaller"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railstage"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railtarget"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railvault"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	pieces     = 8
	pieceBytes = 24
	perPiece   = 100 * time.Millisecond
	// timeForWeights is the time after which no answer begins on older weights.
	timeForWeights = 8 * time.Second
)

// engine is a stand-in that loads what is staged when it is told to, and notes mixed weights.
type engine struct {
	mu     sync.Mutex
	staged map[int]string
	state  railinstaller.State
	loaded []int64
	mixed  bool
	drain  time.Duration
}

func (e *engine) PutPiece(_ context.Context, _ string, index int, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[index] = string(data)
	return nil
}

func (e *engine) Piece(_ context.Context, _ string, index int) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return []byte(e.staged[index]), nil
}

func (e *engine) StagedPieces(context.Context, string) ([]int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var held []int
	for i := range e.staged {
		held = append(held, i)
	}
	return held, nil
}

func (e *engine) State(context.Context) (railinstaller.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, nil
}

func (e *engine) StartLoad(_ context.Context, _ string, version int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range pieces {
		e.mixed = e.mixed || e.staged[i] != piece(version, i)
	}
	e.state.Busy = true
	time.AfterFunc(e.drain, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.state = railinstaller.State{Version: version}
		e.loaded = append(e.loaded, version)
	})
	return nil
}

func piece(version int64, index int) string {
	return "piece " + strconv.Itoa(index) + " of version " + strconv.FormatInt(version, 10)
}

func manifest(version int64) railmanifest.Manifest {
	m := railmanifest.Manifest{Version: strconv.FormatInt(version, 10), ChunkSize: pieceBytes, Size: pieceBytes * pieces}
	for i := range pieces {
		m.Chunks = append(m.Chunks, railmanifest.Sum([]byte(piece(version, i))))
	}
	return m
}

// world is an installer beside an engine, with an origin that takes a while for each piece.
type world struct {
	engine *engine
	mu     sync.Mutex
	// named holds when each version was named.
	named     map[int64]time.Time
	away      bool
	turn      time.Duration
	notices   []int64
	perPiece  time.Duration
	collector *railcollector.Collector
	installer *railinstaller.Installer
}

// newWorld starts an installer beside an engine that serves a version; prepare changes what stands before the start.
func newWorld(t *testing.T, serving int64, prepare func(*world)) *world {
	w := &world{engine: &engine{staged: map[int]string{}, drain: time.Second}, named: map[int64]time.Time{1: time.Now()}, perPiece: perPiece}
	w.engine.state.Version = serving
	vault := &railvault.MemoryStore{}
	store := &railchunks.Store{Backend: vault}
	self := railmember.Member{Name: "self", Region: "r"}
	log := slog.New(slog.DiscardHandler)
	stage := &railstage.Stager{Engine: w.engine, Chunk: vault.Chunk}
	w.collector = &railcollector.Collector{
		Store: store, Wanted: w.wanted, Rate: int(pieceBytes * time.Second / perPiece), Log: log,
		Manifest: func(_ context.Context, _ string, version int64) (railmanifest.Manifest, int64, error) {
			return manifest(version), version, nil
		},
		RecoverStaged: func(ctx context.Context, w railcollector.Weights, take func(string, []byte) error) error {
			return stage.Recover(ctx, w.Model, w.Manifest, take)
		},
		Fetcher: &railfetcher.Fetcher{
			Self: self, Store: store, Members: func(string) []railmember.Member { return []railmember.Member{self} },
			RequestChunk: func(context.Context, railmember.Member, *railproto.ChunkRequest) (*railproto.ChunkReply, error) {
				return nil, errors.New("nobody else is there")
			},
			FetchFromOrigin: w.origin, OriginRegion: func() string { return "r" }, TakeoverDelay: time.Second, MaxDownloads: 1, MaxImports: 1, Log: log,
		},
	}
	w.installer = &railinstaller.Installer{
		Engine: w.engine, Collector: w.collector, Stager: stage, Log: log, SetIdle: func(bool) {},
		LoadDelay: func(int64, int64) time.Duration { return time.Until(time.Unix(0, int64(w.turn))) },
		Notify: func(version int64, changesIn time.Duration) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if changesIn == 0 {
				w.notices = append(w.notices, version)
			}
		},
	}
	prepare(w)
	go w.installer.Run(t.Context())
	return w
}

func (w *world) origin(ctx context.Context, digest string) ([]byte, error) {
	_, version, index := w.collector.LocateChunk(digest)
	w.mu.Lock()
	away := w.away
	w.mu.Unlock()
	if away {
		return nil, errors.New("the origin is away")
	}
	select {
	case <-time.After(w.perPiece):
		return []byte(piece(version, index)), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (w *world) wanted() (string, []railtarget.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var versions []railtarget.Version
	for _, number := range slices.Sorted(maps.Keys(w.named)) {
		versions = append(versions, railtarget.Version{Number: number, DueIn: timeForWeights - time.Since(w.named[number])})
	}
	return "m", versions
}

func (w *world) want(version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.named[version] = time.Now()
}

func (w *world) setAway(away bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.away = away
}

func (w *world) loaded() ([]int64, bool) {
	w.engine.mu.Lock()
	defer w.engine.mu.Unlock()
	return w.engine.loaded, w.engine.mixed
}

func TestAnEmptyEngineLoadsAtOnce(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		w := newWorld(t, 0, func(w *world) { w.turn = time.Duration(time.Now().Add(time.Hour).UnixNano()) })
		time.Sleep(3 * time.Second)
		loaded, mixed := w.loaded()
		qt.Check(t, loaded, qt.DeepEquals, []int64{1})
		qt.Check(t, mixed, qt.IsFalse)
		w.mu.Lock()
		defer w.mu.Unlock()
		qt.Check(t, w.notices, qt.DeepEquals, []int64{0, 1})
	})
}

func TestAServingEngineWaitsForItsTurn(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, func(w *world) {
			w.turn = time.Duration(time.Now().Add(10 * time.Second).UnixNano())
			w.named[2] = time.Now()
		})
		time.Sleep(9 * time.Second)
		loaded, _ := w.loaded()
		qt.Check(t, len(loaded), qt.Equals, 0)
		time.Sleep(4 * time.Second)
		loaded, mixed := w.loaded()
		qt.Check(t, loaded, qt.DeepEquals, []int64{2})
		qt.Check(t, mixed, qt.IsFalse)
	})
}

func TestAVersionNamedInBetweenReplacesAnUnfinishedOne(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, func(w *world) { w.named[2] = time.Now() })
		time.Sleep(300 * time.Millisecond)
		w.want(3)
		time.Sleep(3 * time.Second)
		loaded, mixed := w.loaded()
		qt.Check(t, loaded, qt.DeepEquals, []int64{3})
		qt.Check(t, mixed, qt.IsFalse)
	})
}

// On the heaviest days the origin went away before version 2 was there, and came back when its time was over: engines that turned
// to version 3 had nothing to serve until that was there too.
func TestAnUnfinishedVersionIsFinishedFirstWhereNothingElseCouldServe(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, func(w *world) { w.named[2] = time.Now() })
		time.Sleep(450 * time.Millisecond) // Half of it is there.
		w.setAway(true)
		time.Sleep(4500 * time.Millisecond)
		w.want(3)
		time.Sleep(3500 * time.Millisecond)
		w.setAway(false)
		time.Sleep(8 * time.Second)
		loaded, mixed := w.loaded()
		qt.Check(t, loaded, qt.DeepEquals, []int64{2, 3})
		qt.Check(t, mixed, qt.IsFalse)
	})
}

func TestSpoiltPiecesAreNeverLoaded(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		w := newWorld(t, 0, func(w *world) {
			for i := range pieces {
				w.engine.staged[i] = "spoilt"
			}
		})
		time.Sleep(8 * time.Second)
		loaded, mixed := w.loaded()
		qt.Check(t, loaded, qt.DeepEquals, []int64{1})
		qt.Check(t, mixed, qt.IsFalse)
	})
}
