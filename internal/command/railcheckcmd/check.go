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

// Options holds the command's dependencies and its flags and arguments.
type Options struct {
	Factory *railfactory.Factory
	Dir     string
	JSON    bool
}

// checkResult is the result of a check. FileFaults holds the fault of each rejected file by its name, and Fault one that affects the
// whole folder.
type checkResult struct {
	OK         bool              `json:"ok"`
	Files      []string          `json:"files"`
	FileFaults map[string]string `json:"faults,omitempty"`
	Fault      string            `json:"fault,omitempty"`
}

// NewCmdCheck returns the command "config check". If runF is not nil, the command calls it instead of doing its work.
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
			opts.Dir = args[0]
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
	r := check(opts.Dir)
	if opts.JSON {
		if err := opts.Factory.WriteJSON(r); err != nil {
			return err
		}
	} else {
		writeText(opts, r)
	}
	if !r.OK {
		return railexit.WithCode(errors.New("the folder has faults; fix them and check again"), railexit.CheckFailed)
	}
	return nil
}

func check(dir string) checkResult {
	folder, err := railfolder.Read(dir)
	if err != nil {
		return checkResult{Fault: err.Error()}
	}
	r := checkResult{Files: folder.Names()}
	revision, _, err := railrevision.Revision{}.Next(folder)
	r.FileFaults = revision.Rejections()
	if err != nil {
		r.Fault = err.Error()
	}
	r.OK = err == nil && len(r.FileFaults) == 0
	return r
}

func writeText(opts *Options, r checkResult) {
	for _, name := range r.Files {
		if fault, ok := r.FileFaults[name]; ok {
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
