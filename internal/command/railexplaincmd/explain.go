package railexplaincmd

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
	"github.com/fulmarrail/fulmarrail/internal/report/raillife"
)

// standardInput stands for the command's own input among the files.
const standardInput = "-"

// Options holds what the command was given.
type Options struct {
	Factory *railfactory.Factory
	Request string
	Files   []string
	JSON    bool
}

// NewCmdExplain returns the command; runF replaces its work in tests.
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
			opts.Request, opts.Files = args[0], args[1:]
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
	life := raillife.New(opts.Request)
	files := opts.Files
	if len(files) == 0 {
		files = []string{standardInput}
	}
	for _, path := range files {
		if err := read(opts, life, path); err != nil {
			return err
		}
	}
	life.Finish()
	var err error
	if opts.JSON {
		err = opts.Factory.WriteJSON(life)
	} else {
		life.WriteText(opts.Factory.Out)
	}
	if err == nil && len(life.Lines) == 0 {
		err = errors.Newf("no line names request %s; are the logs of all processes there, and of the right time?", opts.Request)
	}
	return err
}

func read(opts *Options, life *raillife.Trace, path string) error {
	if path == standardInput {
		return life.Read(opts.Factory.In)
	}
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open the log")
	}
	defer func() { _ = file.Close() }()
	return errors.Wrap(life.Read(file), path)
}
