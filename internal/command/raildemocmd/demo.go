package raildemocmd

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/command/railexit"
	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
	"github.com/fulmarrail/fulmarrail/internal/lab/railzonetrial"
)

const (
	demoTimeout  = 50 * time.Second
	steadyTime   = 4 * time.Second
	zoneOutTime  = 5 * time.Second
	zoneBackTime = 5 * time.Second
	// requestRate and orderRate are the load per second.
	requestRate = 60
	orderRate   = 10
)

// Options holds the command's dependencies and its flags and arguments.
type Options struct {
	Factory *railfactory.Factory
	Seed    uint64
	JSON    bool
	Verbose bool
}

// NewCmdDemo returns the command "demo". If runF is not nil, the command calls it instead of doing its work.
func NewCmdDemo(f *railfactory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole deployment in this process and check it",
		Long:  "Run entries, agents and stand-ins in this process on loopback: roll a version out, serve requests and orders, take a zone out and back, roll a second version out under load, and check what callers saw.\n\nThe exit code is 3 when a check does not pass.",
		Example: `  $ fulmarrail demo
  $ fulmarrail demo --json`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if runF != nil {
				return runF(opts)
			}
			return demoRun(opts)
		},
	}
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "print the result as JSON")
	cmd.Flags().BoolVar(&opts.Verbose, "verbose", false, "print the processes' log")
	cmd.Flags().Uint64Var(&opts.Seed, "seed", 1, "seed of the load and the weights")
	return cmd
}

func demoRun(opts *Options) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	level := slog.LevelError + 1
	if opts.Verbose {
		level = slog.LevelInfo
	}
	trial := &railzonetrial.Trial{
		EnginesPerZone: 2, RequestRate: requestRate, OrderRate: orderRate, SteadyDuration: steadyTime, OutDuration: zoneOutTime, ReturnDuration: zoneBackTime, Rollout: true,
		Seed: opts.Seed, Log: opts.Factory.Logger("demo", level),
		OnStep: func(step string) { fmt.Fprintln(opts.Factory.Err, step) },
	}
	result, err := trial.Run(ctx)
	if err != nil {
		return err
	}
	return writeResult(opts, result)
}

func writeResult(opts *Options, r railzonetrial.Result) error {
	out := opts.Factory.Out
	if opts.JSON {
		if err := opts.Factory.WriteJSON(r); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(out, "requests %d, without a whole answer %d, from mixed weights %d\n", r.Requests, r.FailedIdempotent, r.MixedAnswers)
		fmt.Fprintf(out, "orders %d, twice %d, lost %d, untrue \"not run\" %d\n", r.Orders, r.DuplicateOrders, r.LostOrders, r.CommittedNotRun)
		fmt.Fprintf(out, "last new work in the zone %.2f s after it was taken out\n", r.LastRequestAfterSeconds)
		fmt.Fprintf(out, "p95 first token %.1f ms, %.2f times the steady state\n", r.P95FirstTokenMillis, r.P95FirstTokenRatio)
		fmt.Fprintf(out, "origin copies for each version %.2f, %.1f s in all\n", r.OriginCopies, r.Seconds)
	}
	for _, missedGoal := range r.MissedGoals() {
		fmt.Fprintln(opts.Factory.Err, "goal missed:", missedGoal)
	}
	faults := r.FailedChecks()
	for _, fault := range faults {
		fmt.Fprintln(opts.Factory.Err, "check failed:", fault)
	}
	if len(faults) > 0 {
		return railexit.WithCode(errors.Newf("%d checks did not pass", len(faults)), railexit.CheckFailed)
	}
	if !opts.JSON {
		fmt.Fprintln(out, "all checks passed")
	}
	return nil
}
