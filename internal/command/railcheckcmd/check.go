package railcheckcmd

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/command/railexit"
	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
	"github.com/fulmarrail/fulmarrail/internal/config/railfolder"
	"github.com/fulmarrail/fulmarrail/internal/config/railrevision"
)

// Options holds what the command was given.
type Options struct {
	Factory   *railfactory.Factory
	Directory string
	JSON      bool
}

type result struct {
	OK     bool              `json:"ok"`
	Files  []string          `json:"files"`
	Faults map[string]string `json:"faults,omitempty"`
	Fault  string            `json:"fault,omitempty"`
}

// NewCmdCheck returns the command; runF replaces its work in tests.
func NewCmdCheck(f *railfactory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "check DIR",
		Short: "Check a folder before it is put in force",
		Long:  "Check a folder as the system would, and print each fault with its file, line, section and key.\n\nThe exit code is 0 for a folder without faults and 3 for one with faults.",
		Example: `  # In a pre-commit hook
  $ fulmarrail config check ./folder`,
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			opts.Directory = args[0]
			if runF != nil {
				return runF(opts)
			}
			return checkRun(opts)
		},
	}
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "print the result as JSON")
	return cmd
}

func checkRun(opts *Options) error {
	r := check(opts.Directory)
	if opts.JSON {
		if err := opts.Factory.WriteJSON(r); err != nil {
			return err
		}
	} else {
		write(opts, r)
	}
	if !r.OK {
		return railexit.WithCode(errors.New("the folder has faults; mend them and check again"), railexit.CheckFailed)
	}
	return nil
}

func check(directory string) result {
	folder, err := railfolder.Read(directory)
	if err != nil {
		return result{Fault: err.Error()}
	}
	r := result{Files: folder.Names()}
	next, _, err := railrevision.Revision{}.Next(folder)
	r.Faults = next.Rejections()
	if err != nil {
		r.Fault = err.Error()
	}
	r.OK = err == nil && len(r.Faults) == 0
	return r
}

func write(opts *Options, r result) {
	for _, name := range r.Files {
		if fault, ok := r.Faults[name]; ok {
			fmt.Fprintln(opts.Factory.Out, fault)
		}
	}
	switch {
	case r.Fault != "":
		fmt.Fprintln(opts.Factory.Out, r.Fault)
	case r.OK:
		fmt.Fprintf(opts.Factory.Out, "%d files, no faults\n", len(r.Files))
	}
}
