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
	rolloutLimit = 48 * time.Second

	goalRatio         = 1.5
	goalOrigin        = 1.1
	goalOriginFailing = 1.3
	goalBorder        = 1.2
	goalMachine       = 2.2
)

type rolloutOptions struct {
	*Options
	Replicas     []int
	Regions      int
	Allowed      time.Duration
	BaseAllowed  time.Duration
	BorderCopies float64
	Corrupt      float64
	Killed       int
	Stalled      int
	Lying        int
	Baselines    bool
	Plot         string
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
	cmd.Flags().IntSliceVar(&opts.Replicas, "replicas", []int{20, 60, 200}, "numbers of replicas, one rollout each")
	cmd.Flags().IntVar(&opts.Regions, "regions", 3, "regions that the replicas lie in")
	cmd.Flags().DurationVar(&opts.Allowed, "allowed", 6*time.Second, "time in which the links carry their copies")
	cmd.Flags().DurationVar(&opts.BaseAllowed, "baselineAllowed", 500*time.Millisecond, "the same for the baselines, whose ratio is to their own bound")
	cmd.Flags().Float64Var(&opts.BorderCopies, "borderCopies", 2, "copies that a border's link carries in the time allowed")
	cmd.Flags().Float64Var(&opts.Corrupt, "corrupt", 0, "share of transfers that arrive corrupted")
	cmd.Flags().IntVar(&opts.Killed, "killed", 0, "machines that die in the middle")
	cmd.Flags().IntVar(&opts.Stalled, "stalled", 0, "machines that stall for a third of the time allowed")
	cmd.Flags().IntVar(&opts.Lying, "lying", 0, "machines that send wrong bytes and claim to hold every chunk")
	cmd.Flags().BoolVar(&opts.Baselines, "baselines", false, "run the baselines beside")
	cmd.Flags().StringVar(&opts.Plot, "plot", "", "write a plot of time against replicas to this .svg or .png file")
	return cmd
}

func rolloutRun(opts *rolloutOptions) error {
	ctx, cancel := context.WithTimeout(context.Background(), rolloutLimit)
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
	if opts.Plot != "" {
		if err := plotRollouts(opts.Plot, results); err != nil {
			return err
		}
	}
	return judgeRollouts(opts, results)
}

// runRollouts runs the system's rollouts one after the other and the baselines, which are slow and idle, beside them.
func runRollouts(ctx context.Context, opts *rolloutOptions) ([]railrollouttrial.Result, error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var results []railrollouttrial.Result
	var errs []error
	run := func(mode string, replicas int, allowed time.Duration) {
		trial := &railrollouttrial.Trial{
			Replicas: replicas, Regions: opts.Regions, Mode: mode, Seed: opts.Seed, Allowed: allowed, BorderCopies: opts.BorderCopies,
		}
		if mode == railrollouttrial.ModeSwarm {
			trial.Corrupt, trial.Killed, trial.Stalled = opts.Corrupt, opts.Killed, opts.Stalled
			trial.Lying = opts.Lying
		}
		r, err := trial.Run(ctx)
		mu.Lock()
		defer mu.Unlock()
		results, errs = append(results, r), append(errs, errors.Wrapf(err, "%s, %d replicas", mode, replicas))
	}
	for _, replicas := range opts.Replicas {
		run(railrollouttrial.ModeSwarm, replicas, opts.Allowed)
	}
	if opts.Baselines {
		for _, replicas := range opts.Replicas {
			for _, mode := range []string{railrollouttrial.ModeOrigin, railrollouttrial.ModeTree} {
				wg.Go(func() { run(mode, replicas, opts.BaseAllowed) })
			}
		}
	}
	wg.Wait()
	return results, errors.Join(errs...)
}

func writeRollouts(opts *rolloutOptions, results []railrollouttrial.Result) {
	out := opts.Factory.Out
	fmt.Fprintf(out, "links scaled: 4 copies from the origin, 2 at a machine and %g over a border in %v\n", opts.BorderCopies, opts.Allowed)
	fmt.Fprintf(out, "%-8s %8s %9s %9s %6s %8s %8s %9s %8s %6s\n", "MODE", "REPLICAS", "SECONDS", "BOUND", "RATIO", "ORIGIN", "BORDER", "MACHINE", "CORRUPT", "MIXED")
	for _, r := range results {
		fmt.Fprintf(out, "%-8s %8d %9.2f %9.2f %6.2f %8.2f %8.2f %9.2f %8d %6d\n", r.Mode, r.Replicas, r.Seconds, r.BoundSeconds, r.Ratio,
			r.OriginCopies, r.BorderCopies, r.MaxMachineCopies, r.CorruptRejected, r.MixedAnswers)
	}
}

// judgeRollouts names missed goals and fails for counts that must be 0.
func judgeRollouts(opts *rolloutOptions, results []railrollouttrial.Result) error {
	mixed := 0
	origin := goalOrigin
	if opts.Killed+opts.Stalled+opts.Lying > 0 || opts.Corrupt > 0 {
		origin = goalOriginFailing
	}
	for _, r := range results {
		mixed += r.MixedAnswers
		if r.Mode != railrollouttrial.ModeSwarm {
			continue
		}
		goals := []struct {
			name      string
			got, goal float64
		}{
			{"time over the bound", r.Ratio, goalRatio},
			{"origin copies", r.OriginCopies, origin},
			{"border copies", r.BorderCopies, goalBorder},
			{"machine copies", r.MaxMachineCopies, goalMachine},
		}
		for _, g := range goals {
			if g.got > g.goal {
				fmt.Fprintf(opts.Factory.Err, "goal missed: %s at %d replicas: %.2f, over %.2f\n", g.name, r.Replicas, g.got, g.goal)
			}
		}
	}
	if mixed > 0 {
		return railexit.WithCode(errors.Newf("%d replicas hold partial or mixed weights", mixed), railexit.CheckFailed)
	}
	return nil
}

func plotRollouts(path string, results []railrollouttrial.Result) error {
	c := &chart{
		title: "Time of a rollout over the bound that the links set", x: "replicas", y: "time / bound", logarithmic: true,
		order: []string{railrollouttrial.ModeSwarm, railrollouttrial.ModeTree, railrollouttrial.ModeOrigin},
	}
	for _, r := range results {
		c.add(r.Mode, float64(r.Replicas), r.Ratio)
	}
	return c.save(path)
}
