package railstatuscmd

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/command/raildeploymentflag"
	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/report/railsurvey"
)

const (
	surveyTimeout = 20 * time.Second
	// barWidth is the width of a progress bar in characters.
	barWidth = 30
)

// Options holds the command's dependencies and its flags and arguments.
type Options struct {
	Factory *railfactory.Factory
	Source  raildeploymentflag.Source
	JSON    bool
}

// NewCmdStatus returns the command "status". If runF is not nil, the command calls it instead of doing its work.
func NewCmdStatus(f *railfactory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show zones, endpoints, the revision in force and the rollout",
		Long:  "Ask every process in the platform's list for its state, and show zones, endpoints, the revision in force with who is behind, and the rollout.\n\nThe settings are those of any entry.",
		Example: `  $ fulmarrail status --settings entry-1.ini
  $ fulmarrail status --settings entry-1.ini --json
  $ fulmarrail status --site gateway.ini`,
	}
	raildeploymentflag.Bind(cmd, &opts.Source, opts, statusRun, runF)
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "print the state as JSON")
	return cmd
}

func statusRun(opts *Options) error {
	ctx, cancel := context.WithTimeout(context.Background(), surveyTimeout)
	defer cancel()
	survey, err := opts.Source.SurveyMatching(ctx, opts.Factory, func(railmember.Member) bool { return true })
	if err != nil {
		return err
	}
	if opts.JSON {
		return opts.Factory.WriteJSON(map[string]any{"revision": survey.Revision(), "behind": survey.Behind(), "survey": survey})
	}
	writeText(opts, survey)
	return nil
}

func writeText(opts *Options, survey railsurvey.Survey) {
	out := opts.Factory.Out
	fmt.Fprintf(out, "revision %d", survey.Revision())
	if behind := survey.Behind(); len(behind) > 0 {
		fmt.Fprintf(out, ", behind: %s", strings.Join(behind, ", "))
	}
	fmt.Fprintln(out)
	writeConfig(opts, survey)
	fmt.Fprintf(out, "\n%-28s %-14s %-12s %-8s %9s %s\n", "ENDPOINT", "ZONE", "SERVICE", "STATE", "LOAD", "WEIGHTS")
	for _, a := range survey.Agents {
		fmt.Fprintf(out, "%-28s %-14s %-12s %-8s %4d/%-4d %s\n", a.Name, a.Zone, a.Service, agentState(a.Serving, a.Leaving), a.Running, a.Limit,
			formatProgress(opts.Factory.IsTerminal, a.Phase, a.ChunksHeld, a.ChunksTotal))
	}
	fmt.Fprintf(out, "\n%-28s %-14s %9s %s\n", "ENTRY", "ZONE", "RUNNING", "STATE")
	for _, e := range survey.Entries {
		fmt.Fprintf(out, "%-28s %-14s %9d %s\n", e.Name, e.Zone, e.Running, entryState(e.Leaving, e.Isolated))
	}
	if len(survey.Missing) > 0 {
		fmt.Fprintf(out, "\nno answer: %s\n", strings.Join(survey.Missing, ", "))
	}
}

// writeConfig writes the state of the configuration as reported by an entry with the newest revision. All entries with the same
// revision report the same.
func writeConfig(opts *Options, survey railsurvey.Survey) {
	for _, e := range survey.Entries {
		if e.Revision != survey.Revision() {
			continue
		}
		for _, z := range e.Zones {
			fmt.Fprintf(opts.Factory.Out, "zone %s in %s: %s\n", z.Name, z.Region, z.State)
		}
		for _, name := range slices.Sorted(maps.Keys(e.Rejections)) {
			fmt.Fprintf(opts.Factory.Out, "held: %s\n", e.Rejections[name])
		}
		for _, service := range slices.Sorted(maps.Keys(e.PendingVersions)) {
			fmt.Fprintf(opts.Factory.Out, "pending: version %s of service %s waits for its manifest\n", e.PendingVersions[service], service)
		}
		if e.ConfigError != "" {
			fmt.Fprintf(opts.Factory.Out, "folder refused: %s\n", e.ConfigError)
		}
		return
	}
}

func agentState(serving, leaving bool) string {
	switch {
	case leaving:
		return "leaving"
	case serving:
		return "serving"
	default:
		return "closed"
	}
}

func entryState(leaving, isolated bool) string {
	switch {
	case leaving:
		return "leaving"
	case isolated:
		return "isolated"
	default:
		return "ready"
	}
}

// formatProgress returns the phase and, unless all chunks are present and served, the number of chunks, with a bar on a terminal.
func formatProgress(drawBar bool, phase string, done, total int) string {
	if total == 0 || done == total && phase == "serving" {
		return phase
	}
	if !drawBar {
		return fmt.Sprintf("%s %d/%d", phase, done, total)
	}
	filled := barWidth * done / total
	return fmt.Sprintf("%s [%s%s] %d/%d", phase, strings.Repeat("#", filled), strings.Repeat(".", barWidth-filled), done, total)
}
