package railactiveconfig_test

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railactiveconfig"
	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/config/railcatalog"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/store/railreplica"
	"github.com/fulmarrail/fulmarrail/internal/store/railstoreclock"
)

func catalog(number, weights int64) railcatalog.Catalog {
	backend := railbackend.Backend{Name: "engines", Engine: &railbackend.Engine{Model: "m"}}
	c := railcatalog.Catalog{Version: number}.WithBackends([]railbackend.Backend{backend})
	if weights > 0 {
		c = c.WithWantedVersions(map[string]int64{"m": weights})
	}
	return c
}

func newConfig() *railactiveconfig.Config {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	return &railactiveconfig.Config{RolloutTime: 8 * time.Second, Now: now, Log: slog.New(slog.DiscardHandler)}
}

func TestSetRejectsOlderCatalog(t *testing.T) {
	c := newConfig()
	qt.Check(t, c.Set(catalog(7, 0)), qt.IsTrue)
	qt.Check(t, c.Set(catalog(6, 0)), qt.IsFalse)
	got, known := c.Get()
	qt.Check(t, known, qt.IsTrue)
	qt.Check(t, got.Version, qt.Equals, int64(7))
}

// Guards against changes of zones and weights that are ignored while a store that was restored from a copy still holds an older configuration.
func TestOlderConfigurationStillBringsZonesAndWeights(t *testing.T) {
	c := newConfig()
	c.Set(catalog(7, 1))
	c.Set(catalog(6, 2).WithZonesOut([]string{"z"}))
	got, _ := c.Get()
	qt.Check(t, got.Version, qt.Equals, int64(7))
	qt.Check(t, got.ZoneOut("z"), qt.IsTrue)
	qt.Check(t, c.WantedVersions("m"), qt.HasLen, 2)
	c.Set(catalog(6, 1))
	got, _ = c.Get()
	qt.Check(t, got.ZoneOut("z"), qt.IsFalse)
	qt.Check(t, c.WantedVersions("m"), qt.HasLen, 2, qt.Commentf("a version that was wanted stays known"))
}

func TestEachWantedVersionHasItsOwnDeadline(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newConfig()
		c.Set(catalog(1, 0))
		c.Set(catalog(1, 2))
		time.Sleep(4 * time.Second)
		c.Set(catalog(1, 3))
		time.Sleep(3 * time.Second)
		qt.Check(t, c.MinVersion("m"), qt.Equals, int64(0))
		next, remaining := c.NextMinVersion("m")
		qt.Check(t, next, qt.Equals, int64(2))
		qt.Check(t, remaining, qt.Equals, time.Second)
		time.Sleep(900 * time.Millisecond)
		qt.Check(t, c.MinVersion("m"), qt.Equals, int64(2), qt.Commentf("7.9 s after version 2 was requested"))
		time.Sleep(4 * time.Second)
		qt.Check(t, c.MinVersion("m"), qt.Equals, int64(3))
	})
}

// A process that starts during a rollout reads from the store how much of the rollout time has passed.
func TestNewProcessKeepsDeadlineOfRecordedVersion(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newConfig()
		c.RecordWantedVersion("m", 2, 6*time.Second, false)
		c.RecordWantedVersion("m", 3, 3*time.Second, false)
		c.Set(catalog(1, 3))
		qt.Check(t, c.MinVersion("m"), qt.Equals, int64(0))
		time.Sleep(1900 * time.Millisecond)
		qt.Check(t, c.MinVersion("m"), qt.Equals, int64(2))
	})
}

// A process that can't read when a version was requested must not treat it as new: its rollout time may be over.
func TestMinVersionIsNewestUntilRecordsAreLoaded(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newConfig()
		recordsLoaded := false
		c.RecordsLoaded = func() bool { return recordsLoaded }
		c.Set(catalog(1, 3))
		qt.Check(t, c.MinVersion("m"), qt.Equals, int64(3))
		recordsLoaded = true
		c.RecordWantedVersion("m", 2, 5*time.Second, false)
		c.RecordWantedVersion("m", 3, 2*time.Second, false)
		qt.Check(t, c.MinVersion("m"), qt.Equals, int64(0))
		time.Sleep(3 * time.Second)
		qt.Check(t, c.MinVersion("m"), qt.Equals, int64(2))
		c.RecordWantedVersion("m", 3, 0, false)
		time.Sleep(3 * time.Second)
		qt.Check(t, c.MinVersion("m"), qt.Equals, int64(3), qt.Commentf("a known request time must not change"))
	})
}

// storeWithOutage is a source that is unreachable while down is set. A new wanted version is returned by the first poll after the
// outage, or by a poll that waits.
type storeWithOutage struct {
	mu      sync.Mutex
	down    bool
	version int64
	changed chan struct{}
	started time.Time
}

func newStoreWithOutage() *storeWithOutage {
	return &storeWithOutage{version: 1, changed: make(chan struct{}), started: time.Now()}
}

func (s *storeWithOutage) Table(_ context.Context, table string) (railreplica.Page, error) {
	return s.page(table, 0)
}

func (s *storeWithOutage) Changes(ctx context.Context, table string, after int64, wait time.Duration) (railreplica.Page, error) {
	s.mu.Lock()
	changed := s.changed
	s.mu.Unlock()
	if page, err := s.page(table, after); err != nil || len(page.Rows) > 0 {
		return page, err
	}
	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
		return railreplica.Page{}, ctx.Err()
	}
	return s.page(table, after)
}

func (s *storeWithOutage) page(table string, after int64) (railreplica.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return railreplica.Page{}, errors.New("unreachable")
	}
	page := railreplica.Page{Version: s.version, Now: time.Since(s.started)}
	if s.version > after && table == "op" {
		page.Rows = []railreplica.Row{{Key: "version/m", Value: []byte(strconv.FormatInt(s.version, 10)), Version: s.version}}
	}
	return page, nil
}

func (s *storeWithOutage) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *storeWithOutage) requestVersion(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
	close(s.changed)
	s.changed = make(chan struct{})
}

// follow keeps the configuration up to date with the source's wanted version until the test ends. Like a process, it also reads another
// table every 800 ms.
func follow(t *testing.T, c *railactiveconfig.Config, source railreplica.Source) {
	clock := &railstoreclock.Clock{Local: c.Now}
	follower := &railreplica.Follower{
		Source: source, Table: "op", Wait: 1600 * time.Millisecond, Timeout: time.Second, Now: c.Now, Clock: clock, Log: slog.New(slog.DiscardHandler),
		OnChange: func(rows map[string]railreplica.Row) {
			version, err := strconv.ParseInt(string(rows["version/m"].Value), 10, 64)
			qt.Check(t, err, qt.IsNil)
			c.Set(catalog(1, version))
		},
	}
	c.MaxChangeAge = follower.MaxChangeAge
	go follower.Run(t.Context())
	go func() {
		for railtimer.Sleep(t.Context(), 800*time.Millisecond) {
			if page, err := source.Table(t.Context(), "servers"); err == nil {
				clock.Observe(page.Version, page.Now, c.Now())
			}
		}
	}()
}

// Guards against an entry that counts the rollout time from its first read after it was cut off from the store: its requests began on
// old weights after the rollout time.
func TestVersionRequestedDuringOutageKeepsItsDeadline(t *testing.T) {
	for _, outage := range []time.Duration{2 * time.Second, 4400 * time.Millisecond, 7 * time.Second, 20 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				c, source := newConfig(), newStoreWithOutage()
				follow(t, c, source)
				time.Sleep(10 * time.Second)
				source.setDown(true)
				source.requestVersion(2)
				requestedAt := time.Now()
				time.Sleep(outage)
				source.setDown(false)
				time.Sleep(max(time.Until(requestedAt.Add(c.RolloutTime)), 2*time.Second))
				qt.Check(t, c.MinVersion("m"), qt.Equals, int64(2), qt.Commentf("%v after version 2 was requested", time.Since(requestedAt)))
			})
		})
	}
}

// Guards against shortening the rollout time of a version that is learned of at once. An entry knows the time of the request to within
// the interval at which it reads the store, and several entries that share what they know to within the margin of the rollout time.
func TestVersionRequestedWhileStoreRespondsHasRolloutTime(t *testing.T) {
	for name, test := range map[string]struct {
		entries int
		// early is the longest time by which the rollout time may be shortened.
		early time.Duration
	}{
		"one entry":    {entries: 1, early: 800 * time.Millisecond},
		"five entries": {entries: 5, early: 240 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			for offset := time.Duration(0); offset < 1600*time.Millisecond; offset += 370 * time.Millisecond {
				railvirtualtime.Test(t, func(t *testing.T) {
					source := newStoreWithOutage()
					configs := followAll(t, source, test.entries)
					time.Sleep(10*time.Second + offset)
					source.requestVersion(2)
					time.Sleep(7760*time.Millisecond - test.early - 5*time.Millisecond)
					for _, c := range configs {
						qt.Check(t, c.MinVersion("m"), qt.Equals, int64(1))
					}
					time.Sleep(test.early + 240*time.Millisecond)
					for _, c := range configs {
						qt.Check(t, c.MinVersion("m"), qt.Equals, int64(2))
					}
				})
			}
		})
	}
}

// followAll starts entries one after the other that follow the source and tell each other when versions were requested.
func followAll(t *testing.T, source railreplica.Source, entries int) []*railactiveconfig.Config {
	configs := make([]*railactiveconfig.Config, entries)
	for i := range configs {
		configs[i] = newConfig()
	}
	for _, c := range configs {
		c.OnWantedVersion = func(model string, version int64, age time.Duration, guessed bool) {
			go func() {
				const delay = 20 * time.Millisecond
				time.Sleep(delay)
				for _, other := range configs {
					other.RecordWantedVersion(model, version, age+delay, guessed)
				}
			}()
		}
		follow(t, c, source)
		time.Sleep(170 * time.Millisecond)
	}
	return configs
}

// A version that was requested during an outage has the rest of its rollout time once another entry's record of the request is read.
func TestRecordReplacesAgeThatWasAssumedAfterOutage(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c, source := newConfig(), newStoreWithOutage()
		follow(t, c, source)
		time.Sleep(10 * time.Second)
		source.setDown(true)
		time.Sleep(5 * time.Second)
		source.requestVersion(2)
		source.setDown(false)
		time.Sleep(2 * time.Second)
		_, remaining := c.NextMinVersion("m")
		qt.Check(t, remaining < 2*time.Second, qt.IsTrue, qt.Commentf("the version may be as old as the outage: %s", remaining))
		c.RecordWantedVersion("m", 2, 2*time.Second, false)
		_, remaining = c.NextMinVersion("m")
		qt.Check(t, remaining, qt.Equals, 6*time.Second)
		c.RecordWantedVersion("m", 2, 0, false)
		_, remaining = c.NextMinVersion("m")
		qt.Check(t, remaining, qt.Equals, 6*time.Second, qt.Commentf("the version was known before that"))
	})
}

// Guards against a guess of a process that has just started in place of what is known.
func TestGuessOfRequestTimeNeverReplacesKnownOne(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newConfig()
		age := func() time.Duration {
			versions := c.WantedVersions("m")
			return versions[len(versions)-1].Age
		}
		c.Set(catalog(1, 2))
		qt.Check(t, age(), qt.Equals, 4*time.Second, qt.Commentf("half of the rollout time is assumed at the start"))
		c.RecordWantedVersion("m", 2, 3*time.Second, true)
		qt.Check(t, age(), qt.Equals, 4*time.Second, qt.Commentf("a lower guess"))
		c.RecordWantedVersion("m", 2, 5*time.Second, true)
		qt.Check(t, age(), qt.Equals, 5*time.Second, qt.Commentf("a higher guess"))
		c.RecordWantedVersion("m", 2, time.Second, false)
		qt.Check(t, age(), qt.Equals, time.Second, qt.Commentf("the first that is known"))
		c.RecordWantedVersion("m", 2, 7*time.Second, true)
		qt.Check(t, age(), qt.Equals, time.Second, qt.Commentf("a guess afterwards"))
	})
}

// Guards against a deadline that moves by the time for which the VM is suspended: the monotonic clock stands still meanwhile.
func TestDeadlineDoesNotMoveWhileVMIsSuspended(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newConfig()
		start, suspended := time.Now(), time.Duration(0)
		c.Now = func() time.Duration { return time.Since(start) + suspended }
		c.Set(catalog(1, 1))
		time.Sleep(20 * time.Second)
		c.Set(catalog(1, 2))
		time.Sleep(time.Second)
		suspended = 5 * time.Second
		next, remaining := c.NextMinVersion("m")
		qt.Check(t, next, qt.Equals, int64(2))
		qt.Check(t, remaining, qt.Equals, 2*time.Second)
		time.Sleep(2 * time.Second)
		qt.Check(t, c.MinVersion("m"), qt.Equals, int64(2))
	})
}

// Guards against a version that is dated from the configuration that adds its model's service, although it was read before.
func TestVersionOfServiceThatIsAddedLaterCountsFromItsRequest(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newConfig()
		c.MaxChangeAge = func() time.Duration { return 0 }
		c.Set(catalog(1, 1))
		versions := map[string]int64{"m": 1, "n": 2}
		c.Set(catalog(2, 1).WithWantedVersions(versions))
		time.Sleep(time.Minute)
		backends := []railbackend.Backend{{Name: "engines", Engine: &railbackend.Engine{Model: "m"}}, {Name: "others", Engine: &railbackend.Engine{Model: "n"}}}
		c.Set(railcatalog.Catalog{Version: 3}.WithBackends(backends).WithWantedVersions(versions))
		qt.Check(t, c.MinVersion("n"), qt.Equals, int64(2))
	})
}

// Guards against the deadline of an older version hiding the earlier one of a newer version.
func TestNextMinVersionIsTheOneThatIsDueFirst(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newConfig()
		age := time.Duration(0)
		c.MaxChangeAge = func() time.Duration { return age }
		c.Set(catalog(1, 1))
		time.Sleep(20 * time.Second)
		c.Set(catalog(2, 2))
		time.Sleep(time.Second)
		age = 6 * time.Second
		c.Set(catalog(3, 3))
		_, remaining := c.NextMinVersion("m")
		qt.Check(t, remaining <= 2*time.Second, qt.IsTrue, qt.Commentf("%s", remaining))
	})
}
