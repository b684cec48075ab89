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
	"github.com/fulmarrail/fulmarrail/internal/membership/railproof"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railchunks"
	"github.com/fulmarrail/fulmarrail/internal/rollout/raildownloader"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railfetcher"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railfetchorder"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railinstaller"
	"github.com/fulmarrail/fulmarrail/internal/rollout/raillayers"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railloadorder"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmemstore"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railstager"
	"github.com/fulmarrail/fulmarrail/internal/standin/railmodelengine"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	layerCount        = 4
	pieceCount        = 8
	pieceBytes        = 24
	defaultPieceDelay = 100 * time.Millisecond
	// rolloutTime is the time after which no response may start on older weights.
	rolloutTime = 8 * time.Second
)

func manifest(version int64) railmanifest.Manifest {
	m := railmanifest.Manifest{Version: strconv.FormatInt(version, 10), ChunkSize: pieceBytes, Size: pieceBytes * pieceCount}
	for i := range pieceCount {
		m.Chunks = append(m.Chunks, railmanifest.Sum((&railmodelengine.Engine{PieceBytes: pieceBytes}).Content(version, i)))
	}
	return m
}

// testEnv runs an installer with a fake engine and an origin that takes pieceDelay for each piece.
type testEnv struct {
	engine *railmodelengine.Engine
	mu     sync.Mutex
	// loadedVersions holds the versions that the engine began to serve, and faults what was wrong with the pieces that it loaded.
	loadedVersions []int64
	faults         []string
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
	env := &testEnv{wantedSince: map[int64]time.Time{1: time.Now()}, pieceDelay: defaultPieceDelay}
	env.engine = &railmodelengine.Engine{Layers: layerCount, Pieces: pieceCount, PieceBytes: pieceBytes, LoadTime: time.Second, OnComplete: env.recordLoad}
	if serving > 0 {
		env.engine.Serve(serving)
	}
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
		Engine: env.engine, Layers: func() int { return layerCount }, Downloader: env.downloader, Stager: stager, Log: log, SetIdle: func(bool) {},
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
		return env.engine.Content(version, index), nil
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

func (env *testEnv) recordLoad(version int64, faults []string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.loadedVersions, env.faults = append(env.loadedVersions, version), append(env.faults, faults...)
}

// forgetLoads drops the record of loads that an earlier process has ordered.
func (env *testEnv) forgetLoads() {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.loadedVersions, env.faults = nil, nil
}

// loaded returns the versions that the engine began to serve, and whether any of them was loaded from wrong pieces.
func (env *testEnv) loaded() (versions []int64, wrong bool) {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.Clone(env.loadedVersions), len(env.faults) > 0
}

func TestEmptyEngineLoadsImmediately(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 0, func(env *testEnv) { env.loadAtNanos = time.Duration(time.Now().Add(time.Hour).UnixNano()) })
		time.Sleep(3 * time.Second)
		loaded, wrong := env.loaded()
		qt.Check(t, loaded, qt.DeepEquals, []int64{1})
		qt.Check(t, wrong, qt.IsFalse)
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
		loaded, wrong := env.loaded()
		qt.Check(t, loaded, qt.DeepEquals, []int64{2})
		qt.Check(t, wrong, qt.IsFalse)
	})
}

func TestNewerVersionSupersedesUnfinishedFetch(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1, func(env *testEnv) { env.wantedSince[2] = time.Now() })
		time.Sleep(300 * time.Millisecond)
		env.addWanted(3)
		time.Sleep(3 * time.Second)
		loaded, wrong := env.loaded()
		qt.Check(t, loaded, qt.DeepEquals, []int64{3})
		qt.Check(t, wrong, qt.IsFalse)
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
		loaded, wrong := env.loaded()
		qt.Check(t, loaded, qt.DeepEquals, []int64{2, 3})
		qt.Check(t, wrong, qt.IsFalse)
	})
}

func TestCorruptPiecesAreNeverLoaded(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 0, func(env *testEnv) {
			for i := range pieceCount {
				qt.Check(t, env.engine.PutPiece(t.Context(), "m", i, []byte("spoilt")), qt.IsNil)
			}
		})
		time.Sleep(8 * time.Second)
		loaded, wrong := env.loaded()
		qt.Check(t, loaded, qt.DeepEquals, []int64{1})
		qt.Check(t, wrong, qt.IsFalse)
	})
}

// Guards against a newer version that never comes, since a carrier that has started waits for an entry to tell what it knows of the earlier one.
func TestDueVersionIsLoadedWhileNoEntryReplies(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1, func(env *testEnv) {
			env.wantedSince[2] = time.Now()
			for sequence, order := range []raillayers.Range{{End: layerCount - 1}, {End: layerCount}} { // By an earlier process.
				qt.Assert(t, env.engine.StartLoad(t.Context(), railloadorder.Order{Model: "m", Version: 1, Layers: order, Sequence: int64(sequence)}), qt.IsNil)
				time.Sleep(3 * time.Second)
			}
			env.forgetLoads()
			env.installer.Known = func(context.Context, railproof.Proof) (int64, bool) { return 0, false }
			env.loadAtNanos = time.Duration(time.Now().Add(5 * time.Second).UnixNano())
		})
		time.Sleep(4 * time.Second)
		loaded, _ := env.loaded()
		qt.Check(t, loaded, qt.HasLen, 0, qt.Commentf("it is not this engine's turn"))
		time.Sleep(8 * time.Second)
		loaded, wrong := env.loaded()
		qt.Check(t, loaded, qt.DeepEquals, []int64{2})
		qt.Check(t, wrong, qt.IsFalse)
	})
}

// Guards against a newer version that never comes, since an engine whose model has one layer can't be withdrawn from service after a load that
// is not proven.
func TestUnprovenLoadOfSingleLayerIsReplacedByNextVersion(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1, func(env *testEnv) {
			env.wantedSince[2] = time.Now()
			env.engine.Layers = 1
			env.installer.Layers = func() int { return 1 }
			env.engine.OnOrder = func(o railloadorder.Order) bool {
				if o.Sequence == 0 {
					env.engine.Corrupt(0)
					time.Sleep(4 * time.Second)
				}
				return false
			}
		})
		time.Sleep(8 * time.Second)
		env.addWanted(3)
		time.Sleep(8 * time.Second)
		loaded, _ := env.loaded()
		qt.Check(t, loaded, qt.DeepEquals, []int64{2, 3})
		version, faults := env.engine.Serving()
		qt.Check(t, version, qt.Equals, int64(3))
		qt.Check(t, faults, qt.HasLen, 0)
	})
}
