package railroot

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/command/railagentcmd"
	"github.com/fulmarrail/fulmarrail/internal/command/railburncmd"
	"github.com/fulmarrail/fulmarrail/internal/command/railcarriercmd"
	"github.com/fulmarrail/fulmarrail/internal/command/railcheckcmd"
	"github.com/fulmarrail/fulmarrail/internal/command/raildemocmd"
	"github.com/fulmarrail/fulmarrail/internal/command/raildiffcmd"
	"github.com/fulmarrail/fulmarrail/internal/command/railentrycmd"
	"github.com/fulmarrail/fulmarrail/internal/command/railexit"
	"github.com/fulmarrail/fulmarrail/internal/command/railexplaincmd"
	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
	"github.com/fulmarrail/fulmarrail/internal/command/railgatewaycmd"
	"github.com/fulmarrail/fulmarrail/internal/command/railshowcmd"
	"github.com/fulmarrail/fulmarrail/internal/command/railstatuscmd"
	"github.com/fulmarrail/fulmarrail/internal/command/railversioncmd"
)

// NewCmdRoot returns the command fulmarrail with all its subcommands.
func NewCmdRoot(f *railfactory.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:           "fulmarrail",
		Short:         "Get new weights onto serving VMs while they keep answering",
		Long:          "Get new weights onto serving VMs while they keep answering.\n\nExit codes: 0 done, 1 failed, 2 wrong usage or settings, 3 a check did not pass, 4 a stop cut off running work.",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	cmd.SetOut(f.Out)
	cmd.SetErr(f.Err)
	cmd.SetFlagErrorFunc(func(c *cobra.Command, err error) error {
		return railexit.WithCode(fmt.Errorf("%w; see %s --help", err, c.CommandPath()), railexit.Usage)
	})
	config := &cobra.Command{Use: "config <command>", Short: "Check and compare operators' folders"}
	config.AddCommand(railcheckcmd.NewCmdCheck(f, nil), railshowcmd.NewCmdShow(f, nil), raildiffcmd.NewCmdDiff(f, nil))
	cmd.AddCommand(
		railentrycmd.NewCmdEntry(f, nil), railagentcmd.NewCmdAgent(f, nil), config,
		railstatuscmd.NewCmdStatus(f, nil), railburncmd.NewCmdBurn(f, nil), raildemocmd.NewCmdDemo(f, nil),
		railexplaincmd.NewCmdExplain(f, nil), railversioncmd.NewCmdVersion(f, nil), railgatewaycmd.NewCmdGateway(f), railcarriercmd.NewCmdCarrier(f),
	)
	return cmd
}

// Main runs the command line with the given arguments, writes an error to f.Err and returns the exit code.
func Main(f *railfactory.Factory, args []string) railexit.Code {
	cmd := NewCmdRoot(f)
	cmd.SetArgs(args)
	err := cmd.Execute()
	if err != nil {
		fmt.Fprintf(f.Err, "fulmarrail: %v\n", err)
	}
	return railexit.CodeOf(err)
}
