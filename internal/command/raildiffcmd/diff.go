package raildiffcmd

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/command/railexit"
	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
	"github.com/fulmarrail/fulmarrail/internal/config/raildocument"
	"github.com/fulmarrail/fulmarrail/internal/config/railfolder"
	"github.com/fulmarrail/fulmarrail/internal/config/railrevision"
)

// Options holds what the command was given.
type Options struct {
	Factory  *railfactory.Factory
	Old, New string
	JSON     bool
}

type change struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Old     string `json:"old,omitempty"`
	New     string `json:"new,omitempty"`
}

// NewCmdDiff returns the command; runF replaces its work in tests.
func NewCmdDiff(f *railfactory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "diff OLD NEW",
		Short: "Show which merged values differ between two folders",
		Example: `  # What a branch would change
  $ fulmarrail config diff ./folder ../branch/folder`,
		Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			opts.Old, opts.New = args[0], args[1]
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
	before, err := merged(opts.Old)
	if err != nil {
		return err
	}
	after, err := merged(opts.New)
	if err != nil {
		return err
	}
	changes := compare(before, after)
	if opts.JSON {
		return opts.Factory.WriteJSON(changes)
	}
	for _, c := range changes {
		fmt.Fprintf(opts.Factory.Out, "[%s] %s: %s -> %s\n", c.Section, c.Key, shown(c.Old), shown(c.New))
	}
	return nil
}

func merged(directory string) (raildocument.Document, error) {
	folder, err := railfolder.Read(directory)
	if err != nil {
		return raildocument.Document{}, err
	}
	revision, _, err := railrevision.Revision{}.Next(folder)
	if err != nil {
		return raildocument.Document{}, railexit.WithCode(err, railexit.CheckFailed)
	}
	return raildocument.Parse(directory, []byte(revision.Text()))
}

func compare(before, after raildocument.Document) []change {
	var changes []change
	all := before.WithOverlay(after)
	for _, section := range all.Sections() {
		for _, key := range all.Keys(section) {
			was, _ := before.Value(section, key)
			is, _ := after.Value(section, key)
			if was != is {
				changes = append(changes, change{Section: section, Key: key, Old: was, New: is})
			}
		}
	}
	return changes
}

func shown(value string) string {
	if value == "" {
		return "(not set)"
	}
	return value
}
