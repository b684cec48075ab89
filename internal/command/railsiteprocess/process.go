package railsiteprocess

import (
	"context"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/command/railexit"
	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
	"github.com/fulmarrail/fulmarrail/internal/config/railactiveconfig"
	"github.com/fulmarrail/fulmarrail/internal/config/railsite"
	"github.com/fulmarrail/fulmarrail/internal/config/railstaleness"
	"github.com/fulmarrail/fulmarrail/internal/core/railadmin"
	"github.com/fulmarrail/fulmarrail/internal/core/railclock"
	"github.com/fulmarrail/fulmarrail/internal/core/raillog"
	"github.com/fulmarrail/fulmarrail/internal/core/raillogsink"
	"github.com/fulmarrail/fulmarrail/internal/core/railsignal"
	"github.com/fulmarrail/fulmarrail/internal/store/railreplica"
	"github.com/fulmarrail/fulmarrail/internal/store/railstoreclock"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/platform"
)

const (
	// originConnectTimeout is the timeout for connecting to the origin. It is shorter than TCP's own retransmission timeout, so that
	// a lost connection attempt is retried sooner.
	originConnectTimeout = 250 * time.Millisecond
	// internalConnectTimeout is the timeout for connecting to another process of the deployment.
	internalConnectTimeout = 500 * time.Millisecond

	settingsFlag = "settings"
	// settingsEnv is the environment variable with the path of the settings file, used when the flag is not set.
	settingsEnv = "FULMARRAIL_CONFIG"
)

// Process is one running process of the deployment.
type Process struct {
	Factory *railfactory.Factory
	Role    string
	Site    railsite.Settings
	// Limits holds the polling times and ages that follow from the settings.
	Limits railstaleness.Limits

	// The fields from Log to StoreClock are set before the role runs.
	Log    *slog.Logger
	Store  *platform.Store
	Config *railactiveconfig.Config
	Clock  railclock.BootClock
	// StoreClock is shared by all followers of the store.
	StoreClock *railstoreclock.Clock

	settingsPath   string
	logLevel       slog.LevelVar
	configFollower *railreplica.Follower
	// storeRecovered is notified when the store responds again after an outage, or was restored.
	storeRecovered railsignal.Signal
	// rowFaults holds the rows that can't be decoded, by table.
	rowFaults map[string]*railreplica.Faults
	// wantedVersionsRead is true once the times at which versions of weights became wanted have been read.
	wantedVersionsRead atomic.Bool
	// restoringWantedVersions is true while a background goroutine tries to read them.
	restoringWantedVersions atomic.Bool
}

// NewCommand returns the command of a role. It loads the settings and calls run, whose ctx is done when the process has to stop.
func NewCommand(f *railfactory.Factory, role, short, long string, run func(context.Context, *Process) error) *cobra.Command {
	cmd := &cobra.Command{Use: role, Short: short, Long: long, Args: cobra.NoArgs}
	cmd.Example = "  # Start the process with the settings of its VM\n  $ fulmarrail " + role + " --settings /etc/fulmarrail/settings.ini"
	path := cmd.Flags().String(settingsFlag, "", "INI file with the process's settings (default: the file that "+settingsEnv+" names)")
	cmd.RunE = func(*cobra.Command, []string) error {
		hangups := notifyHangups()
		if *path == "" {
			*path = os.Getenv(settingsEnv)
		}
		site, err := railsite.Load(*path)
		if err != nil {
			return railexit.WithCode(err, railexit.Usage)
		}
		p := &Process{Factory: f, Role: role, Site: site, settingsPath: *path}
		return p.run(run, hangups)
	}
	return cmd
}

func (p *Process) run(run func(context.Context, *Process) error, hangups <-chan os.Signal) error {
	sink := raillogsink.New(p.Factory.Out)
	sinkCtx, stopSink := context.WithCancel(context.Background())
	sinkDone := make(chan struct{})
	go func() {
		sink.Run(sinkCtx)
		close(sinkDone)
	}()
	defer func() {
		stopSink()
		<-sinkDone
	}()
	p.logLevel.Set(p.Site.Level())
	p.Log = slog.New(slog.NewJSONHandler(sink, &slog.HandlerOptions{Level: &p.logLevel, ReplaceAttr: raillog.ReadableDurations})).With("role", p.Role, "name", p.Site.Process.Name)
	ctx, cancel := p.Factory.Context()
	defer cancel()
	go p.reloadSettings(hangups)
	debug.SetMemoryLimit(p.Site.Process.MemoryBytes() / 4 * 3) // Leaves room for what the runtime does not count.
	p.initStore()
	if err := p.serveAdmin(ctx); err != nil {
		return err
	}
	p.Log.Info("process started", "zone", p.Site.Process.Zone)
	err := run(ctx, p)
	p.Log.Info("process stopped", "err", err)
	if ctx.Err() != nil {
		return railexit.WithCode(err, railexit.Interrupted)
	}
	return err
}

// initStore creates the store's client and everything that is needed to read its tables.
func (p *Process) initStore() {
	p.Limits = railstaleness.New(p.Site.Bounds, p.Site.Process.CallTimeout)
	p.rowFaults = map[string]*railreplica.Faults{}
	for _, table := range []string{platform.TableOperator, platform.TableInstances, TableEntries, tableWantedVersions} {
		p.rowFaults[table] = &railreplica.Faults{Log: raillog.Named(p.Log, "store")}
	}
	p.Clock = railclock.New()
	p.StoreClock = &railstoreclock.Clock{Local: p.Clock.Now}
	p.Store = &platform.Store{HTTP: &platform.HTTPClient{Timeout: p.Site.Process.CallTimeout, Patient: true}, Address: p.Site.Process.StoreAddress}
	p.Config = &railactiveconfig.Config{RolloutTime: p.Site.Bounds.RolloutTime, RecordsLoaded: p.wantedVersionsRead.Load, Now: p.Clock.Now, Log: raillog.Named(p.Log, "config")}
}

// Dialer returns a dialer for the deployment's other processes.
func (p *Process) Dialer() *raildialer.Dialer {
	return &raildialer.Dialer{Key: []byte(p.Site.Process.SharedKey), Timeout: internalConnectTimeout}
}

// Origin returns a client for the origin of weights. It opens a connection for each call, since the origin supports only a few
// connections.
func (p *Process) Origin() *platform.Origin {
	return &platform.Origin{HTTP: &platform.HTTPClient{Timeout: originConnectTimeout, DisableKeepAlives: true}}
}

// NewFollower returns a follower that replicates a table. The store may delay a response by pollWait until there is a change, and
// pollDelay is the delay between two requests. onChange is called with all rows after each change.
func (p *Process) NewFollower(table string, pollWait, pollDelay time.Duration, onChange func(map[string]railreplica.Row)) *railreplica.Follower {
	return &railreplica.Follower{
		Source: p.Store, Table: table, Wait: pollWait, PollDelay: pollDelay, Timeout: p.Site.Process.CallTimeout, Now: p.Clock.Now,
		Clock: p.StoreClock, Recovered: &p.storeRecovered, OnChange: onChange, Log: raillog.Named(p.Log, "store"),
	}
}

func (p *Process) serveAdmin(ctx context.Context) error {
	if p.Site.Process.AdminAddress == "" {
		return nil
	}
	lis, err := net.Listen("tcp", p.Site.Process.AdminAddress)
	if err != nil {
		return railexit.WithCode(errors.Wrap(err, "listen on admin; choose a free port or remove the key"), railexit.Usage)
	}
	admin := &railadmin.Server{}
	go func() {
		if err := admin.Run(ctx, lis); err != nil && ctx.Err() == nil {
			p.Log.Error("admin server failed", "err", err)
		}
	}()
	return nil
}
