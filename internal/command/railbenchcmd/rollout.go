package railbenchcmd

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/command/railexit"
	"github.com/fulmarrail/fulmarrail/internal/lab/railrollouttrial"
)

const (
	rolloutTimeout = 48 * time.Second

	// maxBoundRatio is the limit for a rollout's time as a ratio to the lower bound that the links set. The other limits are for the
	// number of copies of the weights that a link carries.
	maxBoundRatio             = 1.5
	maxOriginCopies           = 1.1
	maxOriginCopiesWithFaults = 1.3
	maxBorderCopies           = 1.2
	maxMachineCopies          = 2.2
)

type rolloutOptions struct {
	*Options
	ReplicaCounts    []int
	Regions          int
	LinkTime         time.Duration
	BaselineLinkTime time.Duration
	BorderCopies     float64
	CorruptShare     float64
	KilledMachines   int
	StalledMachines  int
	LyingMachines    int
	RunBaselines     bool
	PlotPath         string
}

func newCmdRollout(shared *Options) *cobra.Command {
	opts := &rolloutOptions{Options: shared}
	cmd := &cobra.Command{
		Use:   "rollout",
		Short: "Bring weights to replicas over paced links",
		Long:  "Bring weights to replicas over links that are scaled down: in the time allowed the origin's link carries four copies and a machine's link two. Ratios, not seconds, are the result.",
		Example: `  $ fulmarbench rollout --replicas 200 --json
  $ fulmarbench rollout --replicas 20,60,200 --baselines --plot rollout.svg
  $ fulmarbench rollout --replicas 60 --killed 3 --stalled 3 --corrupt 0.03`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return rolloutRun(opts) },
	}
	cmd.Flags().IntSliceVar(&opts.ReplicaCounts, "replicas", []int{20, 60, 200}, "numbers of replicas, one rollout each")
	cmd.Flags().IntVar(&opts.Regions, "regions", 3, "regions that the replicas lie in")
	cmd.Flags().DurationVar(&opts.LinkTime, "allowed", 6*time.Second, "time in which the links carry their copies")
	cmd.Flags().DurationVar(&opts.BaselineLinkTime, "baselineAllowed", 500*time.Millisecond, "the same for the baselines, whose ratio is to their own bound")
	cmd.Flags().Float64Var(&opts.BorderCopies, "borderCopies", 2, "copies that a border's link carries in the time allowed")
	cmd.Flags().Float64Var(&opts.CorruptShare, "corrupt", 0, "share of transfers that arrive corrupted")
	cmd.Flags().IntVar(&opts.KilledMachines, "killed", 0, "machines that die in the middle")
	cmd.Flags().IntVar(&opts.StalledMachines, "stalled", 0, "machines that stall for a third of the time allowed")
	cmd.Flags().IntVar(&opts.LyingMachines, "lying", 0, "machines that send wrong bytes and claim to hold every chunk")
	cmd.Flags().BoolVar(&opts.RunBaselines, "baselines", false, "run the baselines beside")
	cmd.Flags().StringVar(&opts.PlotPath, "plot", "", "write a plot of time against replicas to this .svg or .png file")
	return cmd
}

func rolloutRun(opts *rolloutOptions) error {
	ctx, cancel := context.WithTimeout(context.Background(), rolloutTimeout)
	defer cancel()
	results, err := runRollouts(ctx, opts)
	if err != nil {
		return err
	}
	if opts.JSON {
		err = opts.Factory.WriteJSON(results)
	} else {
		writeRollouts(opts, results)
	}
	if err != nil {
		return err
	}
	if opts.PlotPath != "" {
		if err := plotRollouts(opts.PlotPath, results); err != nil {
			return err
		}
	}
	return checkRollouts(opts, results)
}

// runRollouts runs the system's rollouts one after another, and then all baselines concurrently, since those are slow and mostly idle.
func runRollouts(ctx context.Context, opts *rolloutOptions) ([]railrollouttrial.Result, error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var results []railrollouttrial.Result
	var errs []error
	runTrial := func(mode string, replicas int, linkTime time.Duration) {
		trial := &railrollouttrial.Trial{
			Replicas: replicas, Regions: opts.Regions, Mode: mode, Seed: opts.Seed, LinkTime: linkTime, BorderCopies: opts.BorderCopies,
		}
		if mode == railrollouttrial.ModeSwarm {
			trial.CorruptShare, trial.KilledMachines, trial.StalledMachines = opts.CorruptShare, opts.KilledMachines, opts.StalledMachines
			trial.LyingMachines = opts.LyingMachines
		}
		r, err := trial.Run(ctx)
		mu.Lock()
		defer mu.Unlock()
		results, errs = append(results, r), append(errs, errors.Wrapf(err, "%s, %d replicas", mode, replicas))
	}
	for _, replicas := range opts.ReplicaCounts {
		runTrial(railrollouttrial.ModeSwarm, replicas, opts.LinkTime)
	}
	if opts.RunBaselines {
		for _, replicas := range opts.ReplicaCounts {
			for _, mode := range []string{railrollouttrial.ModeOrigin, railrollouttrial.ModeTree} {
				wg.Go(func() { runTrial(mode, replicas, opts.BaselineLinkTime) })
			}
		}
	}
	wg.Wait()
	return results, errors.Join(errs...)
}

func writeRollouts(opts *rolloutOptions, results []railrollouttrial.Result) {
	out := opts.Factory.Out
	fmt.Fprintf(out, "links scaled: 4 copies from the origin, 2 at a machine and %g over a border in %v\n", opts.BorderCopies, opts.LinkTime)
	fmt.Fprintf(out, "%-8s %8s %9s %9s %6s %8s %8s %9s %8s %6s\n", "MODE", "REPLICAS", "SECONDS", "BOUND", "RATIO", "ORIGIN", "BORDER", "MACHINE", "CORRUPT", "MIXED")
	for _, r := range results {
		fmt.Fprintf(out, "%-8s %8d %9.2f %9.2f %6.2f %8.2f %8.2f %9.2f %8d %6d\n", r.Mode, r.Replicas, r.Seconds, r.BoundSeconds, r.Ratio,
			r.OriginCopies, r.BorderCopies, r.MaxMachineCopies, r.CorruptRejected, r.MixedReplicas)
	}
}

// checkRollouts prints the limits that were exceeded. It returns an error with the exit code for a failed check if any replica holds
// partial or mixed weights.
func checkRollouts(opts *rolloutOptions, results []railrollouttrial.Result) error {
	mixedReplicas := 0
	originLimit := maxOriginCopies
	if opts.KilledMachines+opts.StalledMachines+opts.LyingMachines > 0 || opts.CorruptShare > 0 {
		originLimit = maxOriginCopiesWithFaults
	}
	for _, r := range results {
		mixedReplicas += r.MixedReplicas
		if r.Mode != railrollouttrial.ModeSwarm {
			continue
		}
		limits := []struct {
			name         string
			value, limit float64
		}{
			{"time over the bound", r.Ratio, maxBoundRatio},
			{"origin copies", r.OriginCopies, originLimit},
			{"border copies", r.BorderCopies, maxBorderCopies},
			{"machine copies", r.MaxMachineCopies, maxMachineCopies},
		}
		for _, l := range limits {
			if l.value > l.limit {
				fmt.Fprintf(opts.Factory.Err, "goal missed: %s at %d replicas: %.2f, over %.2f\n", l.name, r.Replicas, l.value, l.limit)
			}
		}
	}
	if mixedReplicas > 0 {
		return railexit.WithCode(errors.Newf("%d replicas hold partial or mixed weights", mixedReplicas), railexit.CheckFailed)
	}
	return nil
}

func plotRollouts(path string, results []railrollouttrial.Result) error {
	c := &lineChart{
		title: "Time of a rollout over the bound that the links set", xLabel: "replicas", yLabel: "time / bound", logY: true,
		lineOrder: []string{railrollouttrial.ModeSwarm, railrollouttrial.ModeTree, railrollouttrial.ModeOrigin},
	}
	for _, r := range results {
		c.addPoint(r.Mode, float64(r.Replicas), r.Ratio)
	}
	return c.save(path)
}
