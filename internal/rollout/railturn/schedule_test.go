package railturn_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/rollout/railturn"
)

const engines = 27

// turns returns the turns of all engines, counted from the naming of the first version.
func turns(serving, loading int64, named ...railturn.WantedVersion) []time.Duration {
	s := railturn.Schedule{RolloutTime: 8 * time.Second, Versions: named}
	list := make([]time.Duration, engines)
	for place := range list {
		list[place] = named[0].Age + s.LoadDelay(serving, loading, place, engines)
	}
	return list
}

func TestEnginesTakeTurnsWithinTheTimeForNewWeights(t *testing.T) {
	list := turns(1, 2, railturn.WantedVersion{Version: 2, Age: time.Second})
	for place := 1; place < engines; place++ {
		qt.Check(t, list[place] > list[place-1], qt.IsTrue)
	}
	qt.Check(t, list[0] > 3*time.Second && list[engines-1] < 7500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", list))
}

func TestAVersionThatFollowsSoonKeepsTheTimeOfTheOneThatIsDue(t *testing.T) {
	list := turns(1, 3, railturn.WantedVersion{Version: 2, Age: 6 * time.Second}, railturn.WantedVersion{Version: 3, Age: 2 * time.Second})
	qt.Check(t, list[engines-1] <= 7500*time.Millisecond, qt.IsTrue, qt.Commentf("version 2 is due after 8 s: %v", list))
}

func TestAnEngineThatServesTheEarlierVersionHasTheTimeOfTheLater(t *testing.T) {
	list := turns(2, 3, railturn.WantedVersion{Version: 2, Age: 6 * time.Second}, railturn.WantedVersion{Version: 3, Age: 2 * time.Second})
	qt.Check(t, list[engines-1] > 10*time.Second && list[engines-1] < 11500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", list))
}
