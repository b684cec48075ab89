package railprocess

import (
	"context"
	"log/slog"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/fulmarrail/fulmarrail/internal/command/railexit"
	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
	"github.com/fulmarrail/fulmarrail/internal/config/railschema"
	"github.com/fulmarrail/fulmarrail/internal/config/railsettings"
	"github.com/fulmarrail/fulmarrail/internal/core/railadmin"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/store/railstore"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
)

const settingsFlag = "settings"

// Process is one running entry or agent. Its fields up to Settings must be set before Run is called.
type Process struct {
	Factory  *railfactory.Factory
	Role     string
	Settings railsettings.Settings

	// The fields from Self to Log are set by Run.
	Self             railmember.Member
	InternalListener net.Listener
	Platform         railstore.Store
	Dialer           *raildialer.Dialer
	Log              *slog.Logger
}

// Bind adds the flag --settings and a flag for each settings key to a command. The command loads the settings and calls run with
// opts, or runF instead if it is not nil.
func Bind[O any](cmd *cobra.Command, role string, settings *railsettings.Settings, opts *O, run, runF func(*O) error) {
	bindFlags(cmd)
	if runF != nil {
		run = runF
	}
	cmd.Args = cobra.NoArgs
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		var err error
		if *settings, err = loadSettings(cmd, role); err != nil {
			return err
		}
		return run(opts)
	}
}

func bindFlags(cmd *cobra.Command) {
	cmd.Flags().String(settingsFlag, "", "INI file with the process's settings")
	railschema.Schema[railsettings.Settings]{}.EachKey(func(key, defaultValue, help string) {
		if defaultValue != "" {
			help += " (default " + defaultValue + ")"
		}
		cmd.Flags().String(key, "", help)
	})
}

// loadSettings loads the settings from the file and the flags of a command. Its errors have the exit code for usage.
func loadSettings(cmd *cobra.Command, role string) (railsettings.Settings, error) {
	flags := map[string]string{}
	path := ""
	cmd.Flags().Visit(func(f *pflag.Flag) {
		switch f.Name {
		case settingsFlag:
			path = f.Value.String()
		default:
			if isSettingsKey(f.Name) {
				flags[f.Name] = f.Value.String()
			}
		}
	})
	settings, err := railsettings.Load(path, flags, role)
	return settings, railexit.WithCode(err, railexit.Usage)
}

// Run runs the process's role until the first interrupt or SIGTERM. Its errors have the exit code for usage if an address can't be
// listened on, and the one for interrupted work if the role fails after the signal.
func (p *Process) Run(run func(ctx context.Context) error) error {
	p.Log = p.Factory.Logger(p.Role, p.Settings.Level())
	ctx, cancel := p.Factory.Context()
	defer cancel()
	internalListener, err := net.Listen("tcp", p.Settings.InternalAddress)
	if err != nil {
		return railexit.WithCode(errors.Wrap(err, "listen on inner; check that no other process with this name is still running"), railexit.Usage)
	}
	if err := p.serveAdmin(ctx); err != nil {
		return err
	}
	p.Self, p.InternalListener = p.Settings.Member(p.Role), internalListener
	p.Platform = p.Factory.Platform(p.Settings, p.Log)
	p.Dialer = &raildialer.Dialer{Key: []byte(p.Settings.SharedKey), Timeout: p.Settings.CallTimeout}
	defer func() { _ = p.Dialer.Close() }()
	err = run(ctx)
	if ctx.Err() != nil {
		return railexit.WithCode(err, railexit.Interrupted)
	}
	return err
}

func (p *Process) serveAdmin(ctx context.Context) error {
	if p.Settings.AdminAddress == "" {
		return nil
	}
	lis, err := net.Listen("tcp", p.Settings.AdminAddress)
	if err != nil {
		return railexit.WithCode(errors.Wrap(err, "listen on admin; choose a free port or remove the key"), railexit.Usage)
	}
	admin := &railadmin.Server{Key: []byte(p.Settings.SharedKey)}
	go func() {
		if err := admin.Run(ctx, lis); err != nil && ctx.Err() == nil {
			p.Log.Error("admin server failed", "err", err)
		}
	}()
	return nil
}

func isSettingsKey(name string) bool {
	found := false
	railschema.Schema[railsettings.Settings]{}.EachKey(func(key, _, _ string) { found = found || key == name })
	return found
}
