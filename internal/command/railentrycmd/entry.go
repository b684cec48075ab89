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

// Options holds what the command was given.
type Options struct {
	Factory  *railfactory.Factory
	Settings railsettings.Settings
}

// NewCmdEntry returns the command; runF replaces its work in tests.
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
	p := &railprocess.Process{Factory: opts.Factory, Role: railmember.RoleEntry, Settings: opts.Settings}
	return p.Run(func(ctx context.Context) error {
		callers, err := net.Listen("tcp", opts.Settings.CallerAddress)
		if err != nil {
			return railexit.WithCode(errors.Wrap(err, "listen for callers; choose a free port"), railexit.Usage)
		}
		entry := &railentry.Entry{
			Self: p.Self, SharedKey: []byte(opts.Settings.SharedKey), CallerListener: callers, InternalListener: p.InternalListener, Platform: p.Platform,
			ConfigDir: opts.Settings.ConfigDir, Dialer: p.Dialer, Log: p.Log,
		}
		return entry.Run(ctx, opts.Settings.DrainTimeout)
	})
}
