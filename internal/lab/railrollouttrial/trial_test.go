package railrollouttrial_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railrollouttrial"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
)

const (
	maxRatio                  = 1.5
	maxOriginCopies           = 1.1
	maxOriginCopiesWithFaults = 1.3
	maxBorderCopies           = 1.2
	maxMachineCopies          = 2.2
	// timeout is the virtual time after which a rollout counts as stuck.
	timeout = 10 * time.Minute
)

func run(c *qt.C, trial *railrollouttrial.Trial) railrollouttrial.Result {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	trial.Regions, trial.Mode = 3, railrollouttrial.ModeSwarm
	trial.LinkTime, trial.BorderCopies = time.Minute, 2
	r, err := trial.Run(ctx)
	c.Assert(err, qt.IsNil)
	c.Logf("%+v", r)
	return r
}

func TestRolloutStaysWithinLimitsWithoutFaults(t *testing.T) {
	for _, replicas := range []int{20, 60, 200} {
		t.Run(fmt.Sprintf("replicas=%d", replicas), func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				c := qt.New(t)
				r := run(c, &railrollouttrial.Trial{Replicas: replicas, Seed: 1})
				c.Check(r.Ratio <= maxRatio, qt.IsTrue)
				c.Check(r.OriginCopies <= maxOriginCopies, qt.IsTrue)
				c.Check(r.BorderCopies <= maxBorderCopies, qt.IsTrue)
				c.Check(r.MaxMachineCopies <= maxMachineCopies, qt.IsTrue)
				c.Check(r.MixedReplicas, qt.Equals, 0)
				c.Check(r.CorruptRejected, qt.Equals, int64(0))
			})
		})
	}
}

func TestRolloutCompletesAndLimitsOriginTrafficUnderFaults(t *testing.T) {
	for _, test := range []struct {
		name  string
		trial *railrollouttrial.Trial
	}{
		{"machines killed", &railrollouttrial.Trial{KilledMachines: 5}},
		{"machines stalled", &railrollouttrial.Trial{StalledMachines: 5}},
		{"chunks corrupted, 1 %", &railrollouttrial.Trial{CorruptShare: 0.01}},
		{"chunks corrupted, 5 %", &railrollouttrial.Trial{CorruptShare: 0.05}},
		{"machines lie", &railrollouttrial.Trial{LyingMachines: 3}},
		{"origin stops", &railrollouttrial.Trial{OriginOutage: true}},
		{"region cut off and back", &railrollouttrial.Trial{RegionPartition: true}},
		{"fresh machine at the end", &railrollouttrial.Trial{FreshMachine: true}},
		{"several at once", &railrollouttrial.Trial{KilledMachines: 3, StalledMachines: 3, CorruptShare: 0.03, FreshMachine: true}},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/seed=%d", test.name, seed), func(t *testing.T) {
				railvirtualtime.Test(t, func(t *testing.T) {
					c := qt.New(t)
					r := run(c, test.trial.WithSeed(60, seed))
					c.Check(r.MixedReplicas, qt.Equals, 0)
					c.Check(r.OriginCopies <= maxOriginCopiesWithFaults, qt.IsTrue, qt.Commentf("origin copies %v", r.OriginCopies))
				})
			})
		}
	}
}
