package railbenchcmd

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/command/railexit"
	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
)

// Options holds the dependencies and flags that all commands share.
type Options struct {
	Factory *railfactory.Factory
	JSON    bool
	Seed    uint64
}

// NewCmdBench returns the command fulmarbench with all its subcommands.
func NewCmdBench(f *railfactory.Factory) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:           "fulmarbench <command>",
		Short:         "Load deployments and run experiments",
		Long:          "Load deployments and run experiments on loopback.\n\nThe exit code is 3 when a count that must be 0 is not.",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	cmd.PersistentFlags().BoolVar(&opts.JSON, "json", false, "print the result as JSON")
	cmd.PersistentFlags().Uint64Var(&opts.Seed, "seed", 1, "seed of the experiment")
	cmd.AddCommand(newCmdRollout(opts), newCmdZone(opts), newCmdRoute(opts), newCmdLoad(opts), newCmdLimit(opts), newCmdOrders(opts), newCmdConfig(opts), newCmdCapacity(opts))
	return cmd
}

// Main runs the command line with the given arguments, writes an error to f.Err and returns the exit code.
func Main(f *railfactory.Factory, args []string) railexit.Code {
	cmd := NewCmdBench(f)
	cmd.SetArgs(args)
	err := cmd.Execute()
	if err != nil {
		fmt.Fprintf(f.Err, "fulmarbench: %v\n", err)
	}
	return railexit.CodeOf(err)
}
