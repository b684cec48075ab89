package railentrycmd

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/command/railexit"
	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
	"github.com/fulmarrail/fulmarrail/internal/command/railprocess"
	"github.com/fulmarrail/fulmarrail/internal/config/railsettings"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/node/railentry"
)

// Options holds the command's dependencies and its flags and arguments.
type Options struct {
	Factory  *railfactory.Factory
	Settings railsettings.Settings
}

// NewCmdEntry returns the command "entry". If runF is not nil, the command calls it instead of doing its work.
func NewCmdEntry(f *railfactory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "entry",
		Short: "Take callers' requests to endpoints",
		Long:  "Take callers' requests to endpoints, and publish the operators' folder.\n\nThe first interrupt or SIGTERM stops the process as planned: it is no longer ready, and running answers end. A second interrupt ends it at once; further SIGTERMs change nothing.",
		Example: `  # Start an entry from its settings file
  $ fulmarrail entry --settings entry-1.ini

  # The same with more lines in the log
  $ fulmarrail entry --settings entry-1.ini --logLevel debug`,
	}
	railprocess.Bind(cmd, railmember.RoleEntry, &opts.Settings, opts, entryRun, runF)
	return cmd
}

func entryRun(opts *Options) error {
	process := &railprocess.Process{Factory: opts.Factory, Role: railmember.RoleEntry, Settings: opts.Settings}
	return process.Run(func(ctx context.Context) error {
		callerListener, err := net.Listen("tcp", opts.Settings.CallerAddress)
		if err != nil {
			return railexit.WithCode(errors.Wrap(err, "listen on callers; choose a free port"), railexit.Usage)
		}
		entry := &railentry.Entry{
			Self: process.Self, SharedKey: []byte(opts.Settings.SharedKey), CallerListener: callerListener, InternalListener: process.InternalListener, Platform: process.Platform,
			ConfigDir: opts.Settings.ConfigDir, Dialer: process.Dialer, Log: process.Log,
		}
		return entry.Run(ctx, opts.Settings.DrainTimeout)
	})
}
