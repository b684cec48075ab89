package railrolloutcase

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
	regions = 3
	// linkTime and borderCopies are the trials' LinkTime and BorderCopies.
	linkTime     = time.Minute
	borderCopies = 2
	// faultReplicas is the number of replicas under faults, and faultSeeds the number of seeds with which each fault is run.
	faultReplicas, faultSeeds = 60, 3
	maxOriginCopiesWithFaults = 1.3
	// timeout is the virtual time after which a rollout counts as stuck.
	timeout = 10 * time.Minute
)

// Case is a trial of a rollout.
type Case struct {
	Name string
	// Trial holds the replicas, the seed and the faults. Run sets its other fields.
	Trial *railrollouttrial.Trial
}

// Run runs the trial as a subtest in virtual time and passes its result to check. The subtest fails if the rollout fails or is stuck.
func (c Case) Run(t *testing.T, check func(*qt.C, railrollouttrial.Result)) {
	t.Run(c.Name, func(t *testing.T) {
		railvirtualtime.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			c.Trial.Regions, c.Trial.Mode = regions, railrollouttrial.ModeSwarm
			c.Trial.LinkTime, c.Trial.BorderCopies = linkTime, borderCopies
			checker := qt.New(t)
			r, err := c.Trial.Run(ctx)
			checker.Assert(err, qt.IsNil)
			checker.Logf("%+v", r)
			check(checker, r)
		})
	})
}

// RunWithFaults runs the trial's faults with each seed and checks that all replicas hold the whole weights and that the origin's
// traffic stays within its limit. Only the faults of the trial are used.
func (c Case) RunWithFaults(t *testing.T) {
	for seed := range uint64(faultSeeds) {
		seeded := Case{Name: fmt.Sprintf("%s/seed=%d", c.Name, seed), Trial: c.Trial.WithSeed(faultReplicas, seed)}
		seeded.Run(t, func(c *qt.C, r railrollouttrial.Result) {
			c.Check(r.MixedReplicas, qt.Equals, 0)
			c.Check(r.OriginCopies <= maxOriginCopiesWithFaults, qt.IsTrue, qt.Commentf("origin copies %v", r.OriginCopies))
		})
	}
}
