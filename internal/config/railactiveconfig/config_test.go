package railactiveconfig_test

import (
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railactiveconfig"
	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/config/railcatalog"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
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
	return &railactiveconfig.Config{RolloutTime: 8 * time.Second, Log: slog.New(slog.DiscardHandler)}
}

func TestSetRejectsOlderCatalog(t *testing.T) {
	c := newConfig()
	qt.Check(t, c.Set(catalog(7, 0)), qt.IsTrue)
	qt.Check(t, c.Set(catalog(6, 0)), qt.IsFalse)
	got, known := c.Get()
	qt.Check(t, known, qt.IsTrue)
	qt.Check(t, got.Version, qt.Equals, int64(7))
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
		c.RecordWantedVersion("m", 2, 6*time.Second)
		c.RecordWantedVersion("m", 3, 3*time.Second)
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
		c.RecordWantedVersion("m", 2, 5*time.Second)
		c.RecordWantedVersion("m", 3, 2*time.Second)
		qt.Check(t, c.MinVersion("m"), qt.Equals, int64(0))
		time.Sleep(3 * time.Second)
		qt.Check(t, c.MinVersion("m"), qt.Equals, int64(2))
		c.RecordWantedVersion("m", 3, 0)
		time.Sleep(3 * time.Second)
		qt.Check(t, c.MinVersion("m"), qt.Equals, int64(3), qt.Commentf("a known request time must not change"))
	})
}
