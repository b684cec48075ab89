package railstandcmd

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/command/railexit"
	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
	"github.com/fulmarrail/fulmarrail/internal/lab/raillayout"
	"github.com/fulmarrail/fulmarrail/internal/lab/railstandins"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
)

// chunkSize is the size of a chunk of weights in bytes.
const chunkSize = 256 << 10

// Options holds the dependencies and flags of the commands.
type Options struct {
	Factory     *railfactory.Factory
	LayoutPath  string
	SettingsDir string
	ConfigDir   string
	Versions    string
	// WeightsSize is the size of each version of weights in bytes.
	WeightsSize int
}

// NewCmdStand returns the command fulmarstand with all its subcommands.
func NewCmdStand(f *railfactory.Factory) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:           "fulmarstand <command>",
		Short:         "Stand in for the platform, the endpoints and the links between regions",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	cmd.PersistentFlags().StringVar(&opts.LayoutPath, "layout", "", "INI file with the deployment's layout")
	if err := cmd.MarkPersistentFlagRequired("layout"); err != nil {
		panic(err) // Not reached, since the flag was defined above.
	}
	cmd.AddCommand(newCmdRun(opts), newCmdSettings(opts), newCmdAddresses(opts), newCmdKnob(opts))
	return cmd
}

// Main runs the command line with the given arguments, writes an error to f.Err and returns the exit code.
func Main(f *railfactory.Factory, args []string) railexit.Code {
	cmd := NewCmdStand(f)
	cmd.SetArgs(args)
	err := cmd.Execute()
	if err != nil {
		fmt.Fprintf(f.Err, "fulmarstand: %v\n", err)
	}
	return railexit.CodeOf(err)
}

func newCmdRun(opts *Options) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "run",
		Short:   "Run all stand-ins of a layout in this process",
		Example: "  $ fulmarstand run --layout examples/bandwoven/layout.ini",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return standRun(opts) },
	}
	cmd.Flags().StringVar(&opts.Versions, "versions", "v1,v2,v3", "versions of weights in the origin")
	cmd.Flags().IntVar(&opts.WeightsSize, "bytes", 4<<20, "length of each version in bytes")
	return cmd
}

func newCmdSettings(opts *Options) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "settings",
		Short:   "Write the settings files of a layout's processes",
		Example: "  $ fulmarstand settings --layout examples/bandwoven/layout.ini --out run/settings --folder run/folder",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			layout, err := raillayout.Load(opts.LayoutPath)
			if err != nil {
				return railexit.WithCode(err, railexit.Usage)
			}
			return layout.WriteSettings(opts.SettingsDir, opts.ConfigDir)
		},
	}
	cmd.Flags().StringVar(&opts.SettingsDir, "out", "run/settings", "directory for the settings files")
	cmd.Flags().StringVar(&opts.ConfigDir, "folder", "run/folder", "the operators' directory")
	return cmd
}

func newCmdAddresses(opts *Options) *cobra.Command {
	return &cobra.Command{
		Use:     "addresses",
		Short:   "Print the callers' addresses of a layout's entries",
		Example: "  $ fulmarstand addresses --layout examples/bandwoven/layout.ini",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			layout, err := raillayout.Load(opts.LayoutPath)
			if err != nil {
				return railexit.WithCode(err, railexit.Usage)
			}
			for _, p := range layout.Processes {
				if p.Member.Role == railmember.RoleEntry {
					fmt.Fprintln(opts.Factory.Out, p.CallerAddress)
				}
			}
			return nil
		},
	}
}

func newCmdKnob(opts *Options) *cobra.Command {
	return &cobra.Command{
		Use:   "knob NAME VALUE",
		Short: "Change how the platform's stand-in behaves",
		Example: `  $ fulmarstand knob down yes --layout examples/bandwoven/layout.ini
  $ fulmarstand knob slow 500ms --layout examples/bandwoven/layout.ini
  $ fulmarstand knob lossy 0.2 --layout examples/bandwoven/layout.ini
  $ fulmarstand knob restore 9s --layout examples/bandwoven/layout.ini`,
		Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			layout, err := raillayout.Load(opts.LayoutPath)
			if err != nil {
				return railexit.WithCode(err, railexit.Usage)
			}
			return setKnob(layout.PlatformAddress, args[0], args[1])
		},
	}
}

func standRun(opts *Options) error {
	layout, err := raillayout.Load(opts.LayoutPath)
	if err != nil {
		return railexit.WithCode(err, railexit.Usage)
	}
	ctx, cancel := opts.Factory.Context()
	defer cancel()
	simulators := &railstandins.Simulators{
		Layout: layout, Weights: generateWeights(opts), ChunkSize: chunkSize, Log: opts.Factory.Logger("standin", slog.LevelInfo),
	}
	return simulators.Run(ctx)
}

// generateWeights returns pseudorandom weights by version. Any two versions differ in every chunk.
func generateWeights(opts *Options) map[string][]byte {
	versions := map[string][]byte{}
	for i, name := range strings.Split(opts.Versions, ",") {
		random := rand.NewChaCha8([32]byte{byte(i)})
		content := make([]byte, opts.WeightsSize)
		_, _ = random.Read(content) // Never returns an error.
		versions[name] = content
	}
	return versions
}

// setKnob changes a setting of the simulated platform at the given address. An error response has the exit code for usage.
func setKnob(platformAddress, name, value string) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + platformAddress + "/knob/" + name)
	req.Header.SetMethod(fasthttp.MethodPut)
	req.SetBodyString(value)
	if err := fasthttp.Do(req, resp); err != nil {
		return errors.Wrap(err, "call the simulated platform; check that it is running")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return railexit.WithCode(errors.Newf("knob %s: %s", name, resp.Body()), railexit.Usage)
	}
	return nil
}
