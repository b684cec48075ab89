package railversioncmd

import (
	"fmt"
	"runtime"

	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
)

// Version is the version of the release. The linker sets it.
var Version = "development"

// Options holds the command's dependencies and its flags and arguments.
type Options struct {
	Factory *railfactory.Factory
	JSON    bool
}

// NewCmdVersion returns the command "version". If runF is not nil, the command calls it instead of doing its work.
func NewCmdVersion(f *railfactory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  $ fulmarrail version --json",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if runF != nil {
				return runF(opts)
			}
			return versionRun(opts)
		},
	}
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "print the version as JSON")
	return cmd
}

func versionRun(opts *Options) error {
	if opts.JSON {
		return opts.Factory.WriteJSON(map[string]string{"version": Version, "go": runtime.Version()})
	}
	fmt.Fprintf(opts.Factory.Out, "fulmarrail %s (%s)\n", Version, runtime.Version())
	return nil
}
