package railfactory

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/command/railexit"
	"github.com/fulmarrail/fulmarrail/internal/config/railsettings"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/report/railsurvey"
	"github.com/fulmarrail/fulmarrail/internal/store/railstore"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/platform"
)

// signalsKept is the number of signals that wait while one is obeyed.
const signalsKept = 4

// Factory holds what commands share; tests swap its fields.
type Factory struct {
	In       io.Reader
	Out, Err io.Writer
	// Terminal says that Out is a terminal.
	Terminal bool
	// Platform returns the platform as the settings name it.
	Platform func(settings railsettings.Settings, log *slog.Logger) railstore.Store
	// Members reads the platform's list of VMs.
	Members func(ctx context.Context, settings railsettings.Settings) ([]railmember.Member, error)
	// Survey asks processes for their reports.
	Survey func(ctx context.Context, settings railsettings.Settings, members []railmember.Member) railsurvey.Survey
}

// New returns the factory of a real process.
func New() *Factory {
	info, err := os.Stdout.Stat()
	return &Factory{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr,
		Terminal: err == nil && info.Mode()&os.ModeCharDevice != 0,
		Platform: openPlatform,
		Members:  members,
		Survey:   survey,
	}
}

// Logger returns a logger whose lines begin with the role.
func (f *Factory) Logger(role string, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(f.Err, &slog.HandlerOptions{Level: level})).With("role", role)
}

// Context returns a context that is done at the first interrupt or request to terminate. A second interrupt, as from a terminal,
// ends the process at once; further requests to terminate change nothing, since supervisors repeat them.
func (f *Factory) Context() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, signalsKept)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go f.obey(signals, cancel, os.Exit)
	return ctx, cancel
}

// obey stops at the first signal and exits at a later interrupt.
func (f *Factory) obey(signals <-chan os.Signal, stop func(), exit func(code int)) {
	<-signals
	stop()
	for s := range signals {
		if s != os.Interrupt {
			continue
		}
		_, _ = io.WriteString(f.Err, "second interrupt: running work is cut off\n")
		exit(int(railexit.Interrupted))
		return
	}
}

// Ask surveys the listed processes that match, or returns an error when the list shows none.
func (f *Factory) Ask(ctx context.Context, settings railsettings.Settings, match func(railmember.Member) bool) (railsurvey.Survey, error) {
	list, err := f.Members(ctx, settings)
	if err != nil {
		return railsurvey.Survey{}, err
	}
	list = slices.DeleteFunc(list, func(m railmember.Member) bool { return !match(m) })
	s := f.Survey(ctx, settings, list)
	if len(s.Entries)+len(s.Agents)+len(s.Missing) == 0 {
		return s, errors.New("the platform's VM list shows no process to ask; it lags behind a start, so try again in a few seconds")
	}
	return s, nil
}

// WriteJSON writes a value as indented JSON.
func (f *Factory) WriteJSON(v any) error {
	encoder := json.NewEncoder(f.Out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(v), "write JSON")
}

func openPlatform(s railsettings.Settings, log *slog.Logger) railstore.Store {
	store := &platform.Store{HTTP: &platform.HTTPClient{Timeout: s.CallTimeout}, Address: s.PlatformAddress}
	return &platform.DeploymentStore{Store: store, Log: log}
}

func members(ctx context.Context, s railsettings.Settings) ([]railmember.Member, error) {
	list, err := openPlatform(s, slog.New(slog.DiscardHandler)).Members(ctx, s.Region)
	return list, errors.Wrap(err, "read the VM list; is the platform up, and is the settings' platform address right?")
}

func survey(ctx context.Context, s railsettings.Settings, list []railmember.Member) railsurvey.Survey {
	dialer := &raildialer.Dialer{Key: []byte(s.SharedKey), Timeout: s.CallTimeout}
	defer func() { _ = dialer.Close() }()
	return railsurvey.Collect(ctx, dialer, list)
}
