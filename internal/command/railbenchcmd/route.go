package railbenchcmd

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/command/railexit"
	"github.com/fulmarrail/fulmarrail/internal/lab/railroutetrial"
)

const routeTimeout = 2 * time.Minute

func newCmdRoute(opts *Options) *cobra.Command {
	return &cobra.Command{
		Use:     "route",
		Short:   "Send a burst to engines of which half have turned cold",
		Long:    "Send a burst to engines of which half have turned cold, by the system's routing and by the baselines round robin and least in flight.",
		Example: "  $ fulmarbench route --json",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return routeRun(opts) },
	}
}

func routeRun(opts *Options) error {
	ctx, cancel := context.WithTimeout(context.Background(), routeTimeout)
	defer cancel()
	var results []railroutetrial.Result
	for _, policy := range []string{railroutetrial.PolicySystem, railroutetrial.PolicyRoundRobin, railroutetrial.PolicyLeastInFlight} {
		r, err := (&railroutetrial.Trial{Policy: policy, Seed: opts.Seed}).Run(ctx)
		if err != nil {
			return err
		}
		results = append(results, r)
		if !opts.JSON {
			fmt.Fprintf(opts.Factory.Out, "%-14s %5d requests %5d whole %6.1f/s overloads %3d p95 first token %7.1f ms refused %5d failed %4d\n",
				r.Policy, r.Requests, r.Complete, r.GoodputPerSecond, r.Overloads, r.P95FirstTokenMillis, r.Refused, r.Failed)
		}
	}
	if opts.JSON {
		if err := opts.Factory.WriteJSON(results); err != nil {
			return err
		}
	}
	if results[0].Overloads > 0 {
		return railexit.WithCode(errors.Newf("engines were overloaded %d times", results[0].Overloads), railexit.CheckFailed)
	}
	return nil
}
