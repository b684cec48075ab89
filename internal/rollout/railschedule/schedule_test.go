package railschedule_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/rollout/railschedule"
)

const engines = 27

// loadTimes returns the load times of all engines, measured from when the first version became wanted.
func loadTimes(serving, loading int64, versions ...railschedule.WantedVersion) []time.Duration {
	s := railschedule.Schedule{RolloutTime: 8 * time.Second, Versions: versions}
	times := make([]time.Duration, engines)
	for position := range times {
		times[position] = versions[0].Age + s.LoadDelay(serving, loading, position, engines)
	}
	return times
}

func TestLoadsAreSpreadOverRolloutTime(t *testing.T) {
	times := loadTimes(1, 2, railschedule.WantedVersion{Version: 2, Age: time.Second})
	for position := 1; position < engines; position++ {
		qt.Check(t, times[position] > times[position-1], qt.IsTrue)
	}
	qt.Check(t, times[0] > 3*time.Second && times[engines-1] < 7500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", times))
}

func TestNewerVersionMeetsDeadlineOfPendingOlderOne(t *testing.T) {
	times := loadTimes(1, 3, railschedule.WantedVersion{Version: 2, Age: 6 * time.Second}, railschedule.WantedVersion{Version: 3, Age: 2 * time.Second})
	qt.Check(t, times[engines-1] <= 7500*time.Millisecond, qt.IsTrue, qt.Commentf("version 2 is due after 8 s: %v", times))
}

func TestEngineServingOlderVersionUsesNewerDeadline(t *testing.T) {
	times := loadTimes(2, 3, railschedule.WantedVersion{Version: 2, Age: 6 * time.Second}, railschedule.WantedVersion{Version: 3, Age: 2 * time.Second})
	qt.Check(t, times[engines-1] > 10*time.Second && times[engines-1] < 11500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", times))
}
