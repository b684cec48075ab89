package railexplaincmd

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
	"github.com/fulmarrail/fulmarrail/internal/report/railtrace"
)

// stdinPath is the path that stands for standard input.
const stdinPath = "-"

// Options holds the command's dependencies and its flags and arguments.
type Options struct {
	Factory   *railfactory.Factory
	RequestID string
	LogPaths  []string
	JSON      bool
}

// NewCmdExplain returns the command "explain". If runF is not nil, the command calls it instead of doing its work.
func NewCmdExplain(f *railfactory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Tell the life of one request from the processes' logs",
		Long: `Tell the life of one request from the logs of all processes: each decision about it in the order of time, its outcome, and what the
processes that decided had learned before.

Logs are read from files, or from standard input if none is named; the order of lines and files is of no matter.`,
		Example: `  $ fulmarrail explain 4a83e89948fc86b2 logs/*.json
  $ collect-logs | fulmarrail explain 4a83e89948fc86b2 --json`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			opts.RequestID, opts.LogPaths = args[0], args[1:]
			if runF != nil {
				return runF(opts)
			}
			return explainRun(opts)
		},
	}
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "print the life as JSON")
	return cmd
}

func explainRun(opts *Options) error {
	trace := railtrace.New(opts.RequestID)
	paths := opts.LogPaths
	if len(paths) == 0 {
		paths = []string{stdinPath}
	}
	for _, path := range paths {
		if err := readLog(opts, trace, path); err != nil {
			return err
		}
	}
	trace.Finish()
	var err error
	if opts.JSON {
		err = opts.Factory.WriteJSON(trace)
	} else {
		trace.WriteText(opts.Factory.Out)
	}
	if err == nil && len(trace.Lines) == 0 {
		err = errors.Newf("no log line mentions request %s; check that the logs of all processes are included and cover the time of the request", opts.RequestID)
	}
	return err
}

func readLog(opts *Options, trace *railtrace.Trace, path string) error {
	if path == stdinPath {
		return trace.Read(opts.Factory.In)
	}
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open the log")
	}
	defer func() { _ = file.Close() }()
	return errors.Wrap(trace.Read(file), path)
}
