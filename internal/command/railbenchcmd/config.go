package railbenchcmd

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/command/railexit"
	"github.com/fulmarrail/fulmarrail/internal/lab/railconfigtrial"
)

const (
	configTimeout = 3 * time.Minute
	// configP99Goal is the limit for the 99th percentile of the time until a change is in effect in all processes, with 200 agents.
	configP99Goal        = 2 * time.Second
	configChangeInterval = 170 * time.Millisecond
)

func newCmdConfig(opts *Options) *cobra.Command {
	trial := &railconfigtrial.Trial{ChangeInterval: configChangeInterval}
	cmd := &cobra.Command{
		Use:     "config",
		Short:   "Measure the time until a change of the folder is in force everywhere",
		Example: "  $ fulmarbench config --agents 200 --json",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return configRun(opts, trial) },
	}
	cmd.Flags().IntVar(&trial.Agents, "agents", 200, "number of agents")
	cmd.Flags().IntVar(&trial.Entries, "entries", 8, "number of entries")
	cmd.Flags().IntVar(&trial.Customers, "customers", 10, "number of customers in the folder, 30 bytes each")
	cmd.Flags().IntVar(&trial.Changes, "changes", 40, "number of changes")
	return cmd
}

func configRun(opts *Options, trial *railconfigtrial.Trial) error {
	ctx, cancel := context.WithTimeout(context.Background(), configTimeout)
	defer cancel()
	r, err := trial.Run(ctx)
	if err != nil {
		return err
	}
	if opts.JSON {
		err = opts.Factory.WriteJSON(r)
	} else {
		fmt.Fprintf(opts.Factory.Out, "%d changes at %d entries and %d agents: p50 %.0f ms, p99 %.0f ms, longest %.0f ms, %.0f bytes each\n",
			r.Changes, r.Entries, r.Agents, r.P50Millis, r.P99Millis, r.MaxMillis, r.BytesPerChange)
	}
	if r.P99Millis > float64(configP99Goal.Milliseconds()) {
		return railexit.WithCode(errors.Newf("the 99th percentile of the time until a change is in effect is %.0f ms, over the limit of %v", r.P99Millis, configP99Goal), railexit.CheckFailed)
	}
	return err
}
