package railburncmd

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/burn/railburnreport"
	"github.com/fulmarrail/fulmarrail/internal/command/raildeploymentflag"
	"github.com/fulmarrail/fulmarrail/internal/command/railexit"
	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
)

const surveyTimeout = 20 * time.Second

// Options holds the command's dependencies and its flags and arguments.
type Options struct {
	Factory  *railfactory.Factory
	Source   raildeploymentflag.Source
	JSON     bool
	PlotPath string
}

// NewCmdBurn returns the command "burn". If runF is not nil, the command calls it instead of doing its work.
func NewCmdBurn(f *railfactory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "burn",
		Short: "Report how fast service-level objectives burn their budgets",
		Long:  "Merge the counts of all entries into burn rates and the error budgets left, and name the entries that did not answer.\n\nThe exit code is 3 when an objective burns its budget too fast.",
		Example: `  $ fulmarrail burn --settings entry-1.ini
  $ fulmarrail burn --settings entry-1.ini --plot burn.svg
  $ fulmarrail burn --site gateway.ini`,
		PreRunE: func(*cobra.Command, []string) error {
			if extension := filepath.Ext(opts.PlotPath); opts.PlotPath != "" && extension != ".svg" && extension != ".png" {
				return railexit.WithCode(errors.Newf("--plot %s: the name must end in .svg or .png", opts.PlotPath), railexit.Usage)
			}
			return nil
		},
	}
	raildeploymentflag.Bind(cmd, &opts.Source, opts, burnRun, runF)
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "print the report as JSON")
	cmd.Flags().StringVar(&opts.PlotPath, "plot", "", "write a plot to this .svg or .png file")
	return cmd
}

func burnRun(opts *Options) error {
	ctx, cancel := context.WithTimeout(context.Background(), surveyTimeout)
	defer cancel()
	survey, err := opts.Source.SurveyMatching(ctx, opts.Factory, func(m railmember.Member) bool { return m.Role == railmember.RoleEntry })
	if err != nil {
		return err
	}
	report := railburnreport.New(survey.Entries, survey.Missing)
	if opts.PlotPath != "" {
		if err := writePlot(report, opts.PlotPath); err != nil {
			return err
		}
	}
	if opts.JSON {
		err = opts.Factory.WriteJSON(report)
	} else {
		report.WriteText(opts.Factory.Out)
	}
	if err == nil && report.Burning() {
		err = railexit.WithCode(errors.New("an objective burns its budget too fast"), railexit.CheckFailed)
	}
	return err
}

func writePlot(report railburnreport.Report, path string) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create the plot")
	}
	err = report.WritePlot(file, strings.TrimPrefix(filepath.Ext(path), "."))
	return errors.CombineErrors(err, file.Close())
}
