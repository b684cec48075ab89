package railsiteprocess

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/command/railexit"
	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
	"github.com/fulmarrail/fulmarrail/internal/config/railactiveconfig"
	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/config/railsite"
	"github.com/fulmarrail/fulmarrail/internal/config/railstaleness"
	"github.com/fulmarrail/fulmarrail/internal/core/railadmin"
	"github.com/fulmarrail/fulmarrail/internal/core/railclock"
	"github.com/fulmarrail/fulmarrail/internal/core/raillog"
	"github.com/fulmarrail/fulmarrail/internal/core/raillogsink"
	"github.com/fulmarrail/fulmarrail/internal/core/railsignal"
	"github.com/fulmarrail/fulmarrail/internal/membership/railaddress"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/store/railreplica"
	"github.com/fulmarrail/fulmarrail/internal/store/railstoreclock"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/platform"
)

const (
	// TableEntries is the table that holds the internal address of each entry, by the entry's name.
	TableEntries = "entries"

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

// reloadSettings reloads the settings on each SIGHUP. A changed log level takes effect immediately. Any other change requires a
// restart, which the log line reports. It also runs during shutdown, since an unhandled SIGHUP would end the process.
func (p *Process) reloadSettings(hangups <-chan os.Signal) {
	for range hangups {
		site, err := railsite.Load(p.settingsPath)
		if err != nil {
			p.Log.Error("failed to reload settings; keeping the previous ones", "err", err)
			continue
		}
		p.logLevel.Set(site.Level())
		p.Log.Info("settings read again", "needsRestart", !reflect.DeepEqual(site, p.Site))
	}
}

// notifyHangups returns a channel that receives each SIGHUP until the process ends.
func notifyHangups() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
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

// NewConfigFollower returns a follower that keeps the configuration up to date. onChange is called after each change and may be nil.
func (p *Process) NewConfigFollower(onChange func()) *railreplica.Follower {
	p.configFollower = p.NewFollower(platform.TableOperator, p.Limits.ConfigWait, 0, func(rows map[string]railreplica.Row) {
		p.applyCatalog(rows)
		if onChange != nil {
			onChange()
		}
	})
	p.configFollower.Timeout = p.Limits.ConfigTimeout
	p.Config.MaxChangeAge = p.configFollower.MaxChangeAge
	return p.configFollower
}

// ReadConfig reads and applies the configuration once. It returns an error if the store can't be read. A configuration that can't be
// decoded is only logged.
func (p *Process) ReadConfig(ctx context.Context) error {
	page, err := p.Store.Table(ctx, platform.TableOperator)
	if err != nil {
		return err
	}
	p.applyCatalog(railreplica.ByKey(page.Rows))
	return nil
}

// applyCatalog applies the configuration in the operators' rows. If they can't be decoded, it keeps the current configuration.
func (p *Process) applyCatalog(rows map[string]railreplica.Row) {
	catalog, faults, err := platform.Catalog(rows)
	p.rowFaults[platform.TableOperator].Report(faults)
	if err != nil {
		raillog.Named(p.Log, "config").Error("failed to decode the configuration; keeping the previous one", "err", err)
		return
	}
	if _, known := p.Config.Get(); !known && catalog.HasWantedVersions() && !p.wantedVersionsRead.Load() {
		p.RestoreWantedVersions()
	}
	p.Config.Set(catalog)
}

// Instances returns the current endpoint instances of known services from the rows of the endpoint list, and reports rows that can't
// be decoded.
func (p *Process) Instances(rows map[string]railreplica.Row) []railinstance.Instance {
	catalog, _ := p.Config.Get()
	instances, faults := platform.Instances(rows, p.Site.ZoneRegions, p.Layers)
	p.rowFaults[platform.TableInstances].Report(faults)
	return railinstance.Latest(instances, func(service string) bool {
		_, known := catalog.Backend(service)
		return known
	})
}

// Entries returns the entries from the rows of the table of entries, and reports rows that can't be decoded.
func (p *Process) Entries(rows []railreplica.Row) []railmember.Member {
	var members []railmember.Member
	var faults []railreplica.Fault
	for _, row := range rows {
		entry, err := parseEntryRow(row.Value)
		if err != nil {
			faults = append(faults, railreplica.Fault{Table: TableEntries, Key: row.Key, Version: row.Version, Err: err})
			continue
		}
		members = append(members, railmember.Member{
			Name: row.Key, Role: railmember.RoleEntry, Address: entry.Address, Zone: entry.Zone, Region: p.Site.ZoneRegions[entry.Zone], Link: entry.Link,
		})
	}
	p.rowFaults[TableEntries].Report(faults)
	return members
}

// NewestConfig returns the newest configuration that the rows of the table of entries mention, or 0 if there is none.
func NewestConfig(rows []railreplica.Row) int64 {
	newest := int64(0)
	for _, row := range rows {
		if entry, err := parseEntryRow(row.Value); err == nil {
			newest = max(newest, entry.Config)
		}
	}
	return newest
}

// EntryRow returns the encoded row of this process in the table of entries.
func (p *Process) EntryRow() ([]byte, error) {
	catalog, _ := p.Config.Get()
	row, err := json.Marshal(entryRow{
		Address: p.Site.Process.InternalAddress, Zone: p.Site.Process.Zone, Link: p.Site.Process.LinkBytesPerSecond(), Config: catalog.Version,
	})
	return row, errors.Wrap(err, "encode the entry's row")
}

// entryRow is the value of a row in the table of entries.
type entryRow struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Link is the rate of the entry's network link in bytes per second, or 0 if it is unknown.
	Link int `json:"link"`
	// Config is the version of the configuration that was in force when the entry wrote the row, or 0 for none.
	Config int64 `json:"config"`
}

func parseEntryRow(value []byte) (entryRow, error) {
	var e entryRow
	if err := json.Unmarshal(value, &e); err != nil {
		return e, err
	}
	if e.Link < 0 {
		return e, errors.Newf("field link is %d", e.Link)
	}
	address, err := railaddress.Parse(e.Address)
	e.Address = address
	return e, errors.Wrap(err, "parse the field address")
}

// Layers returns the number of layers of the model that a service's engines serve, or 0 if it is unknown.
func (p *Process) Layers(service string) int {
	return p.engine(service).Layers
}

// PieceBytes returns the size in bytes of a piece of the weights that a service's engines load, or 0 if it is unknown.
func (p *Process) PieceBytes(service string) int {
	return p.engine(service).ChunkBytes
}

// engine returns the configuration of a service's engines, or the zero value if it is unknown.
func (p *Process) engine(service string) railbackend.Engine {
	catalog, _ := p.Config.Get()
	b, ok := catalog.Backend(service)
	if !ok || b.Engine == nil {
		return railbackend.Engine{}
	}
	return *b.Engine
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
