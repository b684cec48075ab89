package railloadtrial_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railloadtrial"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
)

// zoneOut leaves about two thirds of the engines, as when one of three zones is taken out.
var zoneOut = railloadtrial.EngineChange{After: 4 * time.Second, Engines: 17}

func run(t *testing.T, policy string, seed uint64, changes ...railloadtrial.EngineChange) railloadtrial.Result {
	var r railloadtrial.Result
	railvirtualtime.Test(t, func(t *testing.T) {
		r = railloadtrial.Assistant(policy, seed).WithEngineChanges(changes...).Run(t.Context())
	})
	t.Logf("%+v", r)
	return r
}

// At the load that the engines are sized for, at least 95% of the answers are on time, and no request is
// rejected or fails.
func TestAnswersMeetTargetsWithinCapacity(t *testing.T) {
	r := run(t, railloadtrial.PolicySystem, 1)
	qt.Check(t, r.OnTime*100 >= r.Requests*95, qt.IsTrue, qt.Commentf("%d of %d", r.OnTime, r.Requests))
	qt.Check(t, r.Refused+r.Failed, qt.Equals, 0)
}

// Removing a zone causes a lasting overload, in which rejected clients retry once. The system's policy must deliver more answers on
// time, and more value, than each baseline.
func TestSystemPolicyOutperformsBaselinesDuringZoneOutage(t *testing.T) {
	for seed := range uint64(3) {
		system := run(t, railloadtrial.PolicySystem, seed, zoneOut)
		for _, baseline := range []string{railloadtrial.PolicyIgnoreRetries, railloadtrial.PolicyRoundRobin, railloadtrial.PolicyLeastInFlight} {
			r := run(t, baseline, seed, zoneOut)
			qt.Check(t, system.OnTime > r.OnTime && system.ValueShare > r.ValueShare, qt.IsTrue, qt.Commentf("seed %d, %s", seed, baseline))
		}
		qt.Check(t, system.Late < system.OnTime/2, qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}
