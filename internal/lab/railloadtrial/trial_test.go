package railloadtrial_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railloadtrial"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtual"
)

// zoneOut leaves two thirds of the engines, as when a zone is taken out.
var zoneOut = railloadtrial.Change{After: 4 * time.Second, Engines: 17}

func run(t *testing.T, policy string, seed uint64, changes ...railloadtrial.Change) railloadtrial.Result {
	var r railloadtrial.Result
	railvirtual.Test(t, func(t *testing.T) {
		r = railloadtrial.Assistant(policy, seed).WithChanges(changes...).Run(t.Context())
	})
	t.Logf("%+v", r)
	return r
}

// At the load that the engines are made for, 95 in 100 first tokens come in time.
func TestAnswersAreOnTimeWhereThereIsRoom(t *testing.T) {
	r := run(t, railloadtrial.System, 1)
	qt.Check(t, r.OnTime*100 >= r.Asked*95, qt.IsTrue, qt.Commentf("%d of %d", r.OnTime, r.Asked))
	qt.Check(t, r.Refused+r.Failed, qt.Equals, 0)
}

// The pattern is an overload that lasts: a zone is taken out, and callers who are refused come back once.
func TestAZonesLeavingMakesNoMoreCallersLateThanItMust(t *testing.T) {
	for seed := range uint64(3) {
		system := run(t, railloadtrial.System, seed, zoneOut)
		for _, other := range []string{railloadtrial.Alike, railloadtrial.RoundRobin, railloadtrial.LeastInFlight} {
			r := run(t, other, seed, zoneOut)
			qt.Check(t, system.OnTime > r.OnTime && system.Worth > r.Worth, qt.IsTrue, qt.Commentf("seed %d, %s", seed, other))
		}
		qt.Check(t, system.Late < system.OnTime/2, qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}
