package railagentcmd

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
	"github.com/fulmarrail/fulmarrail/internal/command/railprocess"
	"github.com/fulmarrail/fulmarrail/internal/config/railsettings"
	"github.com/fulmarrail/fulmarrail/internal/endpoint/railupstream"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/node/railagent"
)

// Options holds the command's dependencies and its flags and arguments.
type Options struct {
	Factory  *railfactory.Factory
	Settings railsettings.Settings
}

// NewCmdAgent returns the command "agent". If runF is not nil, the command calls it instead of doing its work.
func NewCmdAgent(f *railfactory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "agent",
		Short: "Guard one endpoint and bring weights to it",
		Long:  "Guard the endpoint beside this process: admit what it bears, run each order at most once, and bring weights to it.\n\nThe first interrupt or SIGTERM stops the process as planned: it takes no new work, and running calls end. A second interrupt ends it at once; further SIGTERMs change nothing.",
		Example: `  # Start the agent beside an engine
  $ fulmarrail agent --settings assistant-7.ini`,
	}
	railprocess.Bind(cmd, railmember.RoleAgent, &opts.Settings, opts, agentRun, runF)
	return cmd
}

func agentRun(opts *Options) error {
	process := &railprocess.Process{Factory: opts.Factory, Role: railmember.RoleAgent, Settings: opts.Settings}
	return process.Run(func(ctx context.Context) error {
		client := &railupstream.Client{Address: opts.Settings.EndpointAddress}
		agent := &railagent.Agent{
			Self: process.Self, SharedKey: []byte(opts.Settings.SharedKey), InternalListener: process.InternalListener, Platform: process.Platform,
			Endpoint: client, Dialer: process.Dialer, Log: process.Log,
		}
		client.OnReport, client.OnLimit, client.OnResume = agent.RecordReport, agent.RecordLimit, agent.RecordResume
		client.Intact = agent.Intact
		return agent.Run(ctx, opts.Settings.DrainTimeout)
	})
}
