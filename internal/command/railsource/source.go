package railsource

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
	"github.com/fulmarrail/fulmarrail/internal/command/railprocess"
	"github.com/fulmarrail/fulmarrail/internal/command/railsiteprocess"
	"github.com/fulmarrail/fulmarrail/internal/config/railsettings"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/report/railsurvey"
)

// SiteFlag names the flag for the settings of a gateway or a carrier.
const SiteFlag = "site"

// Source is what a command asks; it is set once the command that it is bound to runs.
type Source struct {
	Settings railsettings.Settings

	site *railsiteprocess.Reader
}

// Bind gives a command --settings with a flag for each key, --site, and its work: run with opts once either file was read, or runF
// when a test gives one.
func Bind[O any](cmd *cobra.Command, s *Source, opts *O, run, runF func(*O) error) {
	railprocess.Bind(cmd, railmember.RoleEntry, &s.Settings, opts, run, runF)
	path := SitePath(cmd)
	withSettings := cmd.RunE
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if *path == "" {
			return withSettings(cmd, args)
		}
		site, err := railsiteprocess.Open(*path)
		if err != nil {
			return err
		}
		s.site = site
		if runF != nil {
			return runF(opts)
		}
		return run(opts)
	}
}

// SitePath gives a command --site and returns its value.
func SitePath(cmd *cobra.Command) *string {
	return cmd.Flags().String(SiteFlag, "", "settings file of any gateway or carrier, for a deployment whose endpoints have no agents")
}

// Ask surveys the processes that match, or returns an error when none is listed.
func (s *Source) Ask(ctx context.Context, f *railfactory.Factory, match func(railmember.Member) bool) (railsurvey.Survey, error) {
	if s.site == nil {
		return f.Ask(ctx, s.Settings, match)
	}
	list, err := s.site.Members(ctx)
	if err != nil {
		return railsurvey.Survey{}, errors.Wrap(err, "read the tables; is the store up, and is the address in the settings right?")
	}
	list = slices.DeleteFunc(list, func(m railmember.Member) bool { return !match(m) })
	if len(list) == 0 {
		return railsurvey.Survey{}, errors.New("the store lists no process to ask; entries write their rows when they start")
	}
	return f.Survey(ctx, s.site.Settings(), list), nil
}
