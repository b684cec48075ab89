package railbenchcmd

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/command/railexit"
	"github.com/fulmarrail/fulmarrail/internal/lab/raillimittrial"
)

const (
	limitTimeout = 20 * time.Minute
	// minLimitDuration leaves some seconds to measure in after the endpoints have named their limits.
	minLimitDuration = 10 * time.Second
)

type limitOptions struct {
	*Options
	GatewayCounts []int
	Demands       []float64
	Policies      []string
	Trial         raillimittrial.Trial
}

func newCmdLimit(shared *Options) *cobra.Command {
	opts := &limitOptions{Options: shared}
	cmd := &cobra.Command{
		Use:   "limit",
		Short: "Send more and less than endpoints take that name rate limits",
		Long: `Send requests through several numbers of gateways to stand-in endpoints that name rate limits in their answers, by the system's own
admission, by the same without regard to limits, and by equal parts for all gateways. Gateways and customers differ in their demand.
Datagrams between gateways may be lost; the busiest gateway freezes for 2.5 s, the second stops and another one joins.

A row shows the greatest number of requests within 4 s at the endpoint that is loaded most against its limit. The exit code is 3 if the
system's own admission lets more reach an endpoint than 1.5 times its limit and five more.`,
		Example: `  $ fulmarbench limit --json
  $ fulmarbench limit --gateways 18 --limits 1 --demand 0.7,2 --lost 0.2`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return limitRun(opts) },
	}
	cmd.Flags().IntSliceVar(&opts.GatewayCounts, "gateways", []int{6, 18, 60, 340}, "numbers of gateways, one trial of each policy each")
	cmd.Flags().IntVar(&opts.Trial.Engines, "engines", 30, "number of endpoints")
	cmd.Flags().Float64SliceVar(&opts.Trial.Limits, "limits", []float64{1, 1.5, 3.2}, "limits in requests a second, which the endpoints name in turn")
	cmd.Flags().Float64SliceVar(&opts.Demands, "demand", []float64{2}, "ratios of the demand to the sum of the limits, one trial each")
	cmd.Flags().Float64Var(&opts.Trial.Skew, "skew", 1, "exponent by which demand falls with the rank of a gateway or a customer")
	cmd.Flags().IntVar(&opts.Trial.Customers, "customers", 8, "number of customers")
	cmd.Flags().Float64Var(&opts.Trial.LostDatagrams, "lost", 0.05, "share of datagrams between gateways that are lost")
	cmd.Flags().BoolVar(&opts.Trial.Disturbed, "disturbed", true, "let a gateway freeze, one stop and one join")
	cmd.Flags().DurationVar(&opts.Trial.Duration, "duration", 20*time.Second, "time for which requests are sent")
	cmd.Flags().StringSliceVar(&opts.Policies, "policies", []string{raillimittrial.PolicySystem, raillimittrial.PolicyNoLimits, raillimittrial.PolicyEqualParts}, "policies to compare")
	return cmd
}

// validate returns an error if a flag leaves nothing to run.
func (o *limitOptions) validate() error {
	policies := []string{raillimittrial.PolicySystem, raillimittrial.PolicyNoLimits, raillimittrial.PolicyEqualParts}
	unknown := func(policy string) bool { return !slices.Contains(policies, policy) }
	switch {
	case len(o.GatewayCounts) == 0 || slices.Min(o.GatewayCounts) < 1:
		return errors.New("--gateways must name numbers of at least 1")
	case o.Trial.Engines < 1:
		return errors.New("--engines must be at least 1")
	case o.Trial.Customers < 1:
		return errors.New("--customers must be at least 1")
	case len(o.Trial.Limits) == 0 || slices.Min(o.Trial.Limits) <= 0:
		return errors.New("--limits must name rates above 0")
	case len(o.Demands) == 0 || slices.Min(o.Demands) <= 0:
		return errors.New("--demand must name ratios above 0")
	case o.Trial.LostDatagrams < 0 || o.Trial.LostDatagrams > 1:
		return errors.New("--lost must be a share from 0 to 1")
	case o.Trial.Duration < minLimitDuration:
		return errors.Newf("--duration must be at least %v", minLimitDuration)
	case slices.ContainsFunc(o.Policies, unknown):
		return errors.Newf("--policies must name some of %v", policies)
	}
	return nil
}

func limitRun(opts *limitOptions) error {
	if err := opts.validate(); err != nil {
		return railexit.WithCode(err, railexit.Usage)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limitTimeout)
	defer cancel()
	var results []raillimittrial.Result
	overruns := 0
	for _, gateways := range opts.GatewayCounts {
		for _, demand := range opts.Demands {
			for _, policy := range opts.Policies {
				r := runLimit(ctx, opts, gateways, demand, policy)
				results = append(results, r)
				if policy == raillimittrial.PolicySystem {
					overruns += r.Overruns
				}
				if !opts.JSON {
					writeLimit(opts, r)
				}
			}
		}
	}
	if opts.JSON {
		if err := opts.Factory.WriteJSON(results); err != nil {
			return err
		}
	}
	if overruns > 0 {
		return railexit.WithCode(errors.Newf("more reached %d endpoints than 1.5 times their limits and five more", overruns), railexit.CheckFailed)
	}
	return nil
}

func runLimit(ctx context.Context, opts *limitOptions, gateways int, demand float64, policy string) raillimittrial.Result {
	trial := &raillimittrial.Trial{
		Policy: policy, Gateways: gateways, Engines: opts.Trial.Engines, Limits: opts.Trial.Limits, Demand: demand, Skew: opts.Trial.Skew, Customers: opts.Trial.Customers,
		LostDatagrams: opts.Trial.LostDatagrams, Disturbed: opts.Trial.Disturbed, Duration: opts.Trial.Duration, Seed: opts.Seed,
	}
	return trial.Run(ctx)
}

func writeLimit(opts *limitOptions, r raillimittrial.Result) {
	fmt.Fprintf(opts.Factory.Out, "%3d gateways demand %4.2f %-10s most %3d of %4.1f, tolerated %2d, over at %2d; used %5.3f; %5d asked %5d served %5d at once %5d in vain, p99 wait %4.0f ms; customers worst %4.2f smallest %4.2f, quiet gateways %4.2f; %5.0f datagrams/s %7.0f bytes/s\n",
		r.Gateways, r.Demand, r.Policy, r.Most, r.Named, r.Tolerated, r.Overruns, r.UsedShare, r.Requests, r.Served, r.RefusedAtOnce, r.RefusedLate, r.P99WaitMillis,
		r.WorstCustomerShare, r.SmallestCustomerShare, r.QuietGatewaysShare, r.DatagramsPerSecond, r.BytesPerSecond)
}
