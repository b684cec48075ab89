package railcluster_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railcluster"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
)

// Guards against callers that are refused since the restored VM list lacks the endpoints that were added in the lost seconds, or shows those
// that have gone.
func TestCallersAreServedWhileRestoredListIsWrong(t *testing.T) {
	for _, test := range []struct {
		name string
		age  time.Duration
		// gone is an agent that ends and leaves the list before the restore, or empty.
		gone string
	}{
		{"it lacks all endpoints", time.Hour, ""},
		{"it shows one that has gone", 10 * time.Second, "orders-a"},
	} {
		t.Run(test.name, func(t *testing.T) {
			o := &ordersCluster{}
			o.run(t, &railplatform.Platform{}, func(ctx context.Context, c *qt.C) {
				if test.gone != "" {
					time.Sleep(20 * time.Second)
					o.KillAgent(test.gone)
					o.Platform.RemoveMember(test.gone)
					time.Sleep(5 * time.Second)
				}
				o.restoreStore(ctx, time.Second, test.age)
				for n := range 200 {
					req := railcluster.NewRequest("orders", "castle", "", fmt.Sprint(n), false, time.Second)
					verdict, _, err := railcluster.Submit(ctx, o.routers["entry-a"], req)
					c.Check(verdict, qt.Equals, railverdict.Ran, qt.Commentf("order %d: %v", n, err))
					time.Sleep(50 * time.Millisecond)
				}
			})
		})
	}
}
