package railbenchcmd

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/command/railexit"
	"github.com/fulmarrail/fulmarrail/internal/lab/railordertrial"
)

const ordersTimeout = 3 * time.Minute

func newCmdOrders(opts *Options) *cobra.Command {
	return &cobra.Command{
		Use:     "orders",
		Short:   "Measure orders while the platform is up, slow and down",
		Example: "  $ fulmarbench orders --json",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return ordersRun(opts) },
	}
}

func ordersRun(opts *Options) error {
	ctx, cancel := context.WithTimeout(context.Background(), ordersTimeout)
	defer cancel()
	results, err := railordertrial.Run(ctx)
	if err != nil {
		return err
	}
	if opts.JSON {
		err = opts.Factory.WriteJSON(results)
	}
	violations := 0
	for _, r := range results {
		violations += r.CommittedTwice + r.CommittedNotRun
		if !opts.JSON {
			fmt.Fprintf(opts.Factory.Out, "platform %-5s keyed %-5v orders %4d ran %4d notRun %4d mayHaveRun %3d p50 %7.1f ms p95 %7.1f ms writes/order %.2f twice %d untrue %d\n",
				r.Platform, r.Keyed, r.Orders, r.Ran, r.NotRun, r.MayHaveRun, r.P50Millis, r.P95Millis, r.WritesPerOrder, r.CommittedTwice, r.CommittedNotRun)
		}
	}
	if violations > 0 {
		return railexit.WithCode(errors.Newf("%d orders were committed twice or falsely reported as not run", violations), railexit.CheckFailed)
	}
	return err
}
