package railbenchcmd

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/command/railexit"
	"github.com/fulmarrail/fulmarrail/internal/lab/railzonetrial"
)

const zoneTimeout = 50 * time.Second

type zoneOptions struct {
	*Options
	EnginesPerZone int
	RequestRate    float64
	OrderRate      float64
	WithRollout    bool
}

func newCmdZone(shared *Options) *cobra.Command {
	opts := &zoneOptions{Options: shared}
	cmd := &cobra.Command{
		Use:   "zone",
		Short: "Take a zone out and back under load",
		Example: `  $ fulmarbench zone --json
  $ fulmarbench zone --rollout --json`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return zoneRun(opts) },
	}
	cmd.Flags().IntVar(&opts.EnginesPerZone, "engines", 4, "engines in each of the three zones")
	cmd.Flags().Float64Var(&opts.RequestRate, "rate", 200, "requests a second")
	cmd.Flags().Float64Var(&opts.OrderRate, "orders", 30, "orders a second")
	cmd.Flags().BoolVar(&opts.WithRollout, "rollout", false, "bring a second version of the weights while the zone is out")
	return cmd
}

func zoneRun(opts *zoneOptions) error {
	ctx, cancel := context.WithTimeout(context.Background(), zoneTimeout)
	defer cancel()
	trial := &railzonetrial.Trial{
		EnginesPerZone: opts.EnginesPerZone, RequestRate: opts.RequestRate, OrderRate: opts.OrderRate,
		SteadyDuration: 8 * time.Second, OutDuration: 8 * time.Second, ReturnDuration: 8 * time.Second, Rollout: opts.WithRollout, Seed: opts.Seed,
		Log:    opts.Factory.Logger("bench", slog.LevelError+1),
		OnStep: func(step string) { fmt.Fprintln(opts.Factory.Err, step) },
	}
	r, err := trial.Run(ctx)
	if err != nil {
		return err
	}
	if err := opts.Factory.WriteJSON(r); err != nil {
		return err
	}
	for _, missedGoal := range r.MissedGoals() {
		fmt.Fprintln(opts.Factory.Err, "goal missed:", missedGoal)
	}
	if faults := r.FailedChecks(); len(faults) > 0 {
		return railexit.WithCode(errors.Newf("%d checks did not pass: %v", len(faults), faults), railexit.CheckFailed)
	}
	return nil
}
