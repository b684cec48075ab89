package railcurrent_test

import (
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/config/railcatalog"
	"github.com/fulmarrail/fulmarrail/internal/config/railcurrent"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtual"
)

func catalog(number, weights int64) railcatalog.Catalog {
	backend := railbackend.Backend{Name: "engines", Engine: &railbackend.Engine{Model: "m"}}
	c := railcatalog.Catalog{Version: number}.WithBackends([]railbackend.Backend{backend})
	if weights > 0 {
		c = c.WithWantedVersions(map[string]int64{"m": weights})
	}
	return c
}

func newCurrent() *railcurrent.Config {
	return &railcurrent.Config{RolloutTime: 8 * time.Second, Log: slog.New(slog.DiscardHandler)}
}

func TestAnOlderConfigurationIsNeverTakenOver(t *testing.T) {
	c := newCurrent()
	qt.Check(t, c.Set(catalog(7, 0)), qt.IsTrue)
	qt.Check(t, c.Set(catalog(6, 0)), qt.IsFalse)
	got, known := c.Get()
	qt.Check(t, known, qt.IsTrue)
	qt.Check(t, got.Version, qt.Equals, int64(7))
}

func TestEachVersionOfWeightsHasItsOwnTime(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		c := newCurrent()
		c.Set(catalog(1, 0))
		c.Set(catalog(1, 2))
		time.Sleep(4 * time.Second)
		c.Set(catalog(1, 3))
		time.Sleep(3 * time.Second)
		qt.Check(t, c.MinVersion("m"), qt.Equals, int64(0))
		due, left := c.NextMinVersion("m")
		qt.Check(t, due, qt.Equals, int64(2))
		qt.Check(t, left, qt.Equals, time.Second)
		time.Sleep(900 * time.Millisecond)
		qt.Check(t, c.MinVersion("m"), qt.Equals, int64(2), qt.Commentf("7.9 s after version 2 was named"))
		time.Sleep(4 * time.Second)
		qt.Check(t, c.MinVersion("m"), qt.Equals, int64(3))
	})
}

// A process that starts in the middle of a rollout knows from the store how much of the time has passed.
func TestANewProcessKeepsTheTimeOfAVersionNamedBefore(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		c := newCurrent()
		c.RecordWantedVersion("m", 2, 6*time.Second)
		c.RecordWantedVersion("m", 3, 3*time.Second)
		c.Set(catalog(1, 3))
		qt.Check(t, c.MinVersion("m"), qt.Equals, int64(0))
		time.Sleep(1900 * time.Millisecond)
		qt.Check(t, c.MinVersion("m"), qt.Equals, int64(2))
	})
}

// A process that can't read when a version was named must not take it for new: its time may be over.
func TestNothingBeginsOnOldWeightsWhileTheirTimeIsNotKnown(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		c := newCurrent()
		recorded := false
		c.RecordsLoaded = func() bool { return recorded }
		c.Set(catalog(1, 3))
		qt.Check(t, c.MinVersion("m"), qt.Equals, int64(3))
		recorded = true
		c.RecordWantedVersion("m", 2, 5*time.Second)
		c.RecordWantedVersion("m", 3, 2*time.Second)
		qt.Check(t, c.MinVersion("m"), qt.Equals, int64(0))
		time.Sleep(3 * time.Second)
		qt.Check(t, c.MinVersion("m"), qt.Equals, int64(2))
		c.RecordWantedVersion("m", 3, 0)
		time.Sleep(3 * time.Second)
		qt.Check(t, c.MinVersion("m"), qt.Equals, int64(3), qt.Commentf("what is known is not changed"))
	})
}
