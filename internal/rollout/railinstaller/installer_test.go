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

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railchunks"
	"github.com/fulmarrail/fulmarrail/internal/rollout/raildownloader"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railenginestate"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railfetcher"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railfetchorder"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railinstaller"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railloadorder"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmemstore"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railstager"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	pieceCount        = 8
	pieceBytes        = 24
	defaultPieceDelay = 100 * time.Millisecond
	// rolloutTime is the time after which no response may start on older weights.
	rolloutTime = 8 * time.Second
)

// fakeEngine loads the staged pieces when ordered to, and records whether they belonged to different versions.
type fakeEngine struct {
	mu        sync.Mutex
	staged    map[int]string
	state     railenginestate.State
	loaded    []int64
	mixed     bool
	drainTime time.Duration
}

func (e *fakeEngine) PutPiece(_ context.Context, _ string, index int, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[index] = string(data)
	return nil
}

func (e *fakeEngine) Piece(_ context.Context, _ string, index int) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return []byte(e.staged[index]), nil
}

func (e *fakeEngine) StagedPieces(context.Context, string) ([]int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var indexes []int
	for i := range e.staged {
		indexes = append(indexes, i)
	}
	return indexes, nil
}

func (e *fakeEngine) State(context.Context) (railenginestate.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, nil
}

func (e *fakeEngine) StartLoad(_ context.Context, o railloadorder.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	version := o.Version
	for i := range pieceCount {
		e.mixed = e.mixed || e.staged[i] != pieceContent(version, i)
	}
	e.state.Busy = true
	e.state.Sequence++
	time.AfterFunc(e.drainTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.state = railenginestate.State{Version: version, HeldVersion: version, Sequence: e.state.Sequence}
		e.loaded = append(e.loaded, version)
	})
	return nil
}

func pieceContent(version int64, index int) string {
	return "piece " + strconv.Itoa(index) + " of version " + strconv.FormatInt(version, 10)
}

func manifest(version int64) railmanifest.Manifest {
	m := railmanifest.Manifest{Version: strconv.FormatInt(version, 10), ChunkSize: pieceBytes, Size: pieceBytes * pieceCount}
	for i := range pieceCount {
		m.Chunks = append(m.Chunks, railmanifest.Sum([]byte(pieceContent(version, i))))
	}
	return m
}

// testEnv runs an installer with a fake engine and an origin that takes pieceDelay for each piece.
type testEnv struct {
	engine *fakeEngine
	mu     sync.Mutex
	// wantedSince holds the time at which each version became wanted.
	wantedSince map[int64]time.Time
	originDown  bool
	// loadAtNanos is the time of the next load in nanoseconds of Unix time.
	loadAtNanos   time.Duration
	notifications []int64
	pieceDelay    time.Duration
	downloader    *raildownloader.Downloader
	installer     *railinstaller.Installer
}

// newTestEnv starts an installer for an engine that serves a version, or 0 for none. setup runs before the start.
func newTestEnv(t *testing.T, serving int64, setup func(*testEnv)) *testEnv {
	env := &testEnv{engine: &fakeEngine{staged: map[int]string{}, drainTime: time.Second}, wantedSince: map[int64]time.Time{1: time.Now()}, pieceDelay: defaultPieceDelay}
	env.engine.state.Version, env.engine.state.HeldVersion = serving, serving
	chunks := &railmemstore.MemoryStore{}
	store := &railchunks.Store{Backend: chunks}
	self := railmember.Member{Name: "self", Region: "r"}
	log := slog.New(slog.DiscardHandler)
	start := time.Now()
	stager := &railstager.Stager{Engine: env.engine, Chunk: chunks.Chunk, Now: func() time.Duration { return time.Since(start) }}
	env.downloader = &raildownloader.Downloader{
		Store: store, Wanted: env.wanted, Rate: int(pieceBytes * time.Second / defaultPieceDelay), Log: log,
		Manifest: func(_ context.Context, _ string, version int64) (railmanifest.Manifest, int64, error) {
			return manifest(version), version, nil
		},
		RecoverStaged: func(ctx context.Context, w raildownloader.Weights, store func(string, []byte) error) error {
			return stager.Recover(ctx, w.Model, w.Manifest, store)
		},
		Fetcher: &railfetcher.Fetcher{
			Self: self, Store: store, Members: func(string) []railmember.Member { return []railmember.Member{self} },
			RequestChunk: func(context.Context, railmember.Member, *railproto.ChunkRequest) (*railproto.ChunkReply, error) {
				return nil, errors.New("no other agent")
			},
			FetchFromOrigin: env.readOrigin, OriginRegion: func() string { return "r" }, TakeoverDelay: time.Second, MaxDownloads: 1, MaxImports: 1, Log: log,
		},
	}
	env.installer = &railinstaller.Installer{
		Engine: env.engine, Layers: func() int { return 0 }, Downloader: env.downloader, Stager: stager, Log: log, SetIdle: func(bool) {},
		LoadDelay: func(int64, int64) time.Duration { return time.Until(time.Unix(0, int64(env.loadAtNanos))) },
		Notify: func(version int64, changesIn time.Duration) {
			env.mu.Lock()
			defer env.mu.Unlock()
			if changesIn == 0 {
				env.notifications = append(env.notifications, version)
			}
		},
	}
	setup(env)
	go env.installer.Run(t.Context())
	return env
}

func (env *testEnv) readOrigin(ctx context.Context, digest string) ([]byte, error) {
	_, version, index := env.downloader.LocateChunk(digest)
	env.mu.Lock()
	down := env.originDown
	env.mu.Unlock()
	if down {
		return nil, errors.New("origin is down")
	}
	select {
	case <-time.After(env.pieceDelay):
		return []byte(pieceContent(version, index)), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (env *testEnv) wanted() (string, []railfetchorder.Version) {
	env.mu.Lock()
	defer env.mu.Unlock()
	var versions []railfetchorder.Version
	for _, number := range slices.Sorted(maps.Keys(env.wantedSince)) {
		versions = append(versions, railfetchorder.Version{Number: number, DueIn: rolloutTime - time.Since(env.wantedSince[number])})
	}
	return "m", versions
}

func (env *testEnv) addWanted(version int64) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.wantedSince[version] = time.Now()
}

func (env *testEnv) setOriginDown(down bool) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.originDown = down
}

func (env *testEnv) loaded() ([]int64, bool) {
	env.engine.mu.Lock()
	defer env.engine.mu.Unlock()
	return env.engine.loaded, env.engine.mixed
}

func TestEmptyEngineLoadsImmediately(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 0, func(env *testEnv) { env.loadAtNanos = time.Duration(time.Now().Add(time.Hour).UnixNano()) })
		time.Sleep(3 * time.Second)
		loaded, mixed := env.loaded()
		qt.Check(t, loaded, qt.DeepEquals, []int64{1})
		qt.Check(t, mixed, qt.IsFalse)
		env.mu.Lock()
		defer env.mu.Unlock()
		qt.Check(t, env.notifications, qt.DeepEquals, []int64{0, 1})
	})
}

func TestServingEngineWaitsForLoadDelay(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1, func(env *testEnv) {
			env.loadAtNanos = time.Duration(time.Now().Add(10 * time.Second).UnixNano())
			env.wantedSince[2] = time.Now()
		})
		time.Sleep(9 * time.Second)
		loaded, _ := env.loaded()
		qt.Check(t, len(loaded), qt.Equals, 0)
		time.Sleep(4 * time.Second)
		loaded, mixed := env.loaded()
		qt.Check(t, loaded, qt.DeepEquals, []int64{2})
		qt.Check(t, mixed, qt.IsFalse)
	})
}

func TestNewerVersionSupersedesUnfinishedFetch(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1, func(env *testEnv) { env.wantedSince[2] = time.Now() })
		time.Sleep(300 * time.Millisecond)
		env.addWanted(3)
		time.Sleep(3 * time.Second)
		loaded, mixed := env.loaded()
		qt.Check(t, loaded, qt.DeepEquals, []int64{3})
		qt.Check(t, mixed, qt.IsFalse)
	})
}

// Guards against engines with nothing to serve under heavy load. The origin failed before version 2 was complete and recovered
// after version 2 was due; engines that switched to fetching version 3 had nothing to serve until it was complete.
func TestUnfinishedVersionIsFinishedFirstWhenNothingElseCanServe(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1, func(env *testEnv) { env.wantedSince[2] = time.Now() })
		time.Sleep(450 * time.Millisecond) // Half of version 2 is fetched.
		env.setOriginDown(true)
		time.Sleep(4500 * time.Millisecond)
		env.addWanted(3)
		time.Sleep(3500 * time.Millisecond)
		env.setOriginDown(false)
		time.Sleep(8 * time.Second)
		loaded, mixed := env.loaded()
		qt.Check(t, loaded, qt.DeepEquals, []int64{2, 3})
		qt.Check(t, mixed, qt.IsFalse)
	})
}

func TestCorruptPiecesAreNeverLoaded(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 0, func(env *testEnv) {
			for i := range pieceCount {
				env.engine.staged[i] = "spoilt"
			}
		})
		time.Sleep(8 * time.Second)
		loaded, mixed := env.loaded()
		qt.Check(t, loaded, qt.DeepEquals, []int64{1})
		qt.Check(t, mixed, qt.IsFalse)
	})
}
