package raildiffcmd

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/command/railexit"
	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
	"github.com/fulmarrail/fulmarrail/internal/config/railfolder"
	"github.com/fulmarrail/fulmarrail/internal/config/railini"
	"github.com/fulmarrail/fulmarrail/internal/config/railrevision"
)

// Options holds the command's dependencies and its flags and arguments.
type Options struct {
	Factory        *railfactory.Factory
	OldDir, NewDir string
	JSON           bool
}

// change is a value that differs between the folders. Old or New is empty if the folder does not set the value.
type change struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Old     string `json:"old,omitempty"`
	New     string `json:"new,omitempty"`
}

// NewCmdDiff returns the command "config diff". If runF is not nil, the command calls it instead of doing its work.
func NewCmdDiff(f *railfactory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "diff OLD NEW",
		Short: "Show which merged values differ between two folders",
		Example: `  # What a branch would change
  $ fulmarrail config diff ./folder ../branch/folder`,
		Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			opts.OldDir, opts.NewDir = args[0], args[1]
			if runF != nil {
				return runF(opts)
			}
			return diffRun(opts)
		},
	}
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "print the differences as JSON")
	return cmd
}

func diffRun(opts *Options) error {
	before, err := readMerged(opts.OldDir)
	if err != nil {
		return err
	}
	after, err := readMerged(opts.NewDir)
	if err != nil {
		return err
	}
	changes := diffDocuments(before, after)
	if opts.JSON {
		return opts.Factory.WriteJSON(changes)
	}
	for _, c := range changes {
		fmt.Fprintf(opts.Factory.Out, "[%s] %s: %s -> %s\n", c.Section, c.Key, formatValue(c.Old), formatValue(c.New))
	}
	return nil
}

// readMerged reads a folder and merges its files into one document.
func readMerged(dir string) (railini.Document, error) {
	folder, err := railfolder.Read(dir)
	if err != nil {
		return railini.Document{}, err
	}
	revision, _, err := railrevision.Revision{}.Next(folder)
	if err != nil {
		return railini.Document{}, railexit.WithCode(err, railexit.CheckFailed)
	}
	return railini.Parse(dir, []byte(revision.Text()))
}

func diffDocuments(before, after railini.Document) []change {
	var changes []change
	combined := before.WithOverlay(after)
	for _, section := range combined.Sections() {
		for _, key := range combined.Keys(section) {
			oldValue, _ := before.Value(section, key)
			newValue, _ := after.Value(section, key)
			if oldValue != newValue {
				changes = append(changes, change{Section: section, Key: key, Old: oldValue, New: newValue})
			}
		}
	}
	return changes
}

func formatValue(value string) string {
	if value == "" {
		return "(not set)"
	}
	return value
}
