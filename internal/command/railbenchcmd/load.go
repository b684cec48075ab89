package railbenchcmd

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/lab/railloadtrial"
)

const loadTimeout = 5 * time.Minute

type loadOptions struct {
	*Options
	EngineCounts []int
	PlotPath     string
}

func newCmdLoad(shared *Options) *cobra.Command {
	opts := &loadOptions{Options: shared}
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send an assistant's load to more and fewer engines than it needs",
		Long: `Send an assistant's load, 196 requests a second of three kinds through six entries, to stand-in engines that read and write with
stated timing, by the system's own policy, by the same without a better place for first tries, and by the baselines round robin and
least in flight.

Callers that are refused come back once it is time. Worth is the share of what answers on time to all callers would be worth.`,
		Example: `  $ fulmarbench load --engines 27,22,17 --json
  $ fulmarbench load --plot load.svg`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return loadRun(opts) },
	}
	cmd.Flags().IntSliceVar(&opts.EngineCounts, "engines", []int{27, 22, 20, 17, 13}, "numbers of engines, one trial of each policy each")
	cmd.Flags().StringVar(&opts.PlotPath, "plot", "", "write a plot of worth against engines to this .svg or .png file")
	return cmd
}

// loadResult is the result of a trial with a number of engines.
type loadResult struct {
	Engines int `json:"engines"`
	railloadtrial.Result
}

func loadRun(opts *loadOptions) error {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	policies := []string{railloadtrial.PolicySystem, railloadtrial.PolicyIgnoreRetries, railloadtrial.PolicyLeastInFlight, railloadtrial.PolicyRoundRobin}
	var results []loadResult
	for _, engines := range opts.EngineCounts {
		for _, r := range runLoads(ctx, engines, opts.Seed, policies) {
			results = append(results, r)
			if !opts.JSON {
				fmt.Fprintf(opts.Factory.Out, "%2d engines %-13s %5d asked %5d on time %5d late %5d refused %4d failed worth %5.3f first token p50 %6.1f p99 %7.1f ms\n",
					engines, r.Policy, r.Requests, r.OnTime, r.Late, r.Refused, r.Failed, r.ValueShare, r.P50FirstTokenMillis, r.P99FirstTokenMillis)
			}
		}
	}
	if opts.JSON {
		if err := opts.Factory.WriteJSON(results); err != nil {
			return err
		}
	}
	if opts.PlotPath == "" {
		return nil
	}
	c := &lineChart{title: "What an assistant's load is worth", xLabel: "engines", yLabel: "share of the worth of answers on time to all", lineOrder: policies}
	for _, r := range slices.Backward(results) {
		c.addPoint(r.Policy, float64(r.Engines), r.ValueShare)
	}
	return c.save(opts.PlotPath)
}

// runLoads runs the same load under each policy. The trials run concurrently, since they spend most of their time waiting.
func runLoads(ctx context.Context, engines int, seed uint64, policies []string) []loadResult {
	results := make([]loadResult, len(policies))
	var wg sync.WaitGroup
	for i, policy := range policies {
		wg.Go(func() {
			trial := railloadtrial.Assistant(policy, seed)
			trial.Engines = engines
			results[i] = loadResult{Engines: engines, Result: trial.Run(ctx)}
		})
	}
	wg.Wait()
	return results
}
