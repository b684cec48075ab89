package railsiteprocess

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"reflect"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/command/railexit"
	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
	"github.com/fulmarrail/fulmarrail/internal/config/railcurrent"
	"github.com/fulmarrail/fulmarrail/internal/config/railsite"
	"github.com/fulmarrail/fulmarrail/internal/core/railadmin"
	"github.com/fulmarrail/fulmarrail/internal/core/railclock"
	"github.com/fulmarrail/fulmarrail/internal/core/raillog"
	"github.com/fulmarrail/fulmarrail/internal/core/railsignal"
	"github.com/fulmarrail/fulmarrail/internal/core/railsink"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/store/railrows"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/platform"
)

const (
	// TableEntries holds where each entry is reached by the system's other processes, by its name.
	TableEntries = "entries"

	// originConnect bounds an attempt to connect to the origin: one that was lost is made again sooner than TCP would.
	originConnect = 250 * time.Millisecond
	// innerConnect bounds an attempt to connect to another process of the system.
	innerConnect = 500 * time.Millisecond

	settingsFlag = "settings"
	// settingsVariable names the settings file where no flag does.
	settingsVariable = "FULMARRAIL_CONFIG"
)

// Process is one process; its fields are set before Run.
type Process struct {
	Factory *railfactory.Factory
	Role    string
	Site    railsite.Settings

	// Log to Clock are set while the role runs.
	Log     *slog.Logger
	Store   *platform.Store
	Current *railcurrent.Config
	Clock   railclock.BootClock

	path   string
	level  slog.LevelVar
	config *railrows.Follower
	// answers is notified when the store answers again.
	answers railsignal.Signal
	// faults holds the rows that can't be read, by their table.
	faults map[string]*railrows.Faults
	// recorded says that the times at which versions of weights were named have been read.
	recorded atomic.Bool
}

// Command returns a command that loads the settings and runs a role.
func Command(f *railfactory.Factory, role, short, long string, run func(context.Context, *Process) error) *cobra.Command {
	cmd := &cobra.Command{Use: role, Short: short, Long: long, Args: cobra.NoArgs}
	cmd.Example = "  # Start the process with the settings of its VM\n  $ fulmarrail " + role + " --settings /etc/fulmarrail/settings.ini"
	path := cmd.Flags().String(settingsFlag, "", "INI file with the process's settings (default: the file that "+settingsVariable+" names)")
	cmd.RunE = func(*cobra.Command, []string) error {
		hangups := hangups()
		if *path == "" {
			*path = os.Getenv(settingsVariable)
		}
		site, err := railsite.Load(*path)
		if err != nil {
			return railexit.WithCode(err, railexit.Usage)
		}
		p := &Process{Factory: f, Role: role, Site: site, path: *path}
		return p.run(run, hangups)
	}
	return cmd
}

func (p *Process) run(run func(context.Context, *Process) error, hangups <-chan os.Signal) error {
	sink := railsink.New(p.Factory.Out)
	logs, endLogs := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		sink.Run(logs)
		close(written)
	}()
	defer func() {
		endLogs()
		<-written
	}()
	p.level.Set(p.Site.Level())
	p.Log = slog.New(slog.NewJSONHandler(sink, &slog.HandlerOptions{Level: &p.level, ReplaceAttr: raillog.ReadableDurations})).With("role", p.Role, "name", p.Site.Process.Name)
	ctx, cancel := p.Factory.Context()
	defer cancel()
	go p.reload(hangups)
	p.connect()
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

// connect sets what reading the store takes.
func (p *Process) connect() {
	p.faults = map[string]*railrows.Faults{}
	for _, table := range []string{platform.TableOperator, platform.TableInstances, TableEntries, tableNamings} {
		p.faults[table] = &railrows.Faults{Log: raillog.Named(p.Log, "store")}
	}
	p.Clock = railclock.New()
	p.Store = &platform.Store{HTTP: &platform.HTTPClient{Timeout: p.Site.Process.CallTimeout}, Address: p.Site.Process.StoreAddress}
	p.Current = &railcurrent.Config{RolloutTime: p.Site.Bounds.RolloutTime, RecordsLoaded: p.recorded.Load, Log: raillog.Named(p.Log, "config")}
}

// reload reads the settings again on each hang-up signal. The level of the logs changes at once; for all else that is
// different the line says that it takes a new start. It goes on while the process stops: a hang-up that nobody takes ends it.
func (p *Process) reload(hangups <-chan os.Signal) {
	for range hangups {
		site, err := railsite.Load(p.path)
		if err != nil {
			p.Log.Error("settings can't be read, the last ones stay in force", "err", err)
			continue
		}
		p.level.Set(site.Level())
		p.Log.Info("settings read again", "needsRestart", !reflect.DeepEqual(site, p.Site))
	}
}

// hangups returns the hang-up signals that come from now on, to the end of the process.
func hangups() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// Dialer returns the dialer for the system's other processes.
func (p *Process) Dialer() *raildialer.Dialer {
	return &raildialer.Dialer{Key: []byte(p.Site.Process.SharedKey), Timeout: innerConnect}
}

// Origin returns the client of the origin of weights; it uses a connection for each call, since the origin bears few.
func (p *Process) Origin() *platform.Origin {
	return &platform.Origin{HTTP: &platform.HTTPClient{Timeout: originConnect, DisableKeepAlives: true}}
}

// Follow keeps a copy of a table; changed gets all rows after each change.
func (p *Process) Follow(table string, wait, pause time.Duration, changed func(map[string]railrows.Row)) *railrows.Follower {
	return &railrows.Follower{
		Source: p.Store, Table: table, Wait: wait, PollDelay: pause, Timeout: p.Site.Process.CallTimeout, Now: p.Clock.Now,
		Recovered: &p.answers, OnChange: changed, Log: raillog.Named(p.Log, "store"),
	}
}

// FollowConfig keeps the configuration in force; changed, if it isn't nil, is called after each change.
func (p *Process) FollowConfig(wait time.Duration, changed func()) *railrows.Follower {
	p.config = p.Follow(platform.TableOperator, wait, 0, func(rows map[string]railrows.Row) {
		p.takeCatalog(rows)
		if changed != nil {
			changed()
		}
	})
	return p.config
}

// ReadConfig reads the configuration once.
func (p *Process) ReadConfig(ctx context.Context) error {
	page, err := p.Store.Table(ctx, platform.TableOperator)
	if err != nil {
		return err
	}
	p.takeCatalog(railrows.ByKey(page.Rows))
	return nil
}

// takeCatalog takes the operator's rows over, or keeps what is in force when they can't be read.
func (p *Process) takeCatalog(rows map[string]railrows.Row) {
	catalog, faults, err := platform.Catalog(rows)
	p.faults[platform.TableOperator].Report(faults)
	if err != nil {
		raillog.Named(p.Log, "config").Error("configuration can't be read, the last one stays in force", "err", err)
		return
	}
	if _, known := p.Current.Get(); !known && catalog.HasWantedVersions() {
		p.restoreNamings()
	}
	p.Current.Set(catalog)
}

// Instances returns the endpoints that the engines' rows name now.
func (p *Process) Instances(rows map[string]railrows.Row) []railinstance.Instance {
	catalog, _ := p.Current.Get()
	listed, faults := platform.Instances(rows, p.Site.ZoneRegions, p.Layers)
	p.faults[platform.TableInstances].Report(faults)
	return railinstance.Latest(listed, func(service string) bool {
		_, known := catalog.Backend(service)
		return known
	})
}

// Entries returns the entries that their rows name.
func (p *Process) Entries(rows []railrows.Row) []railmember.Member {
	var list []railmember.Member
	var faults []railrows.Fault
	for _, row := range rows {
		e, err := parseEntry(row.Value)
		if err != nil {
			faults = append(faults, railrows.Fault{Table: TableEntries, Key: row.Key, Version: row.Version, Err: err})
			continue
		}
		list = append(list, railmember.Member{
			Name: row.Key, Role: railmember.RoleEntry, Address: e.Address, Zone: e.Zone, Region: p.Site.ZoneRegions[e.Zone], Link: e.Link,
		})
	}
	p.faults[TableEntries].Report(faults)
	return list
}

// EntryRow returns this process's row among the entries.
func (p *Process) EntryRow() ([]byte, error) {
	row, err := json.Marshal(entryRow{Address: p.Site.Process.InternalAddress, Zone: p.Site.Process.Zone, Link: p.Site.Process.LinkBytesPerSecond()})
	return row, errors.Wrap(err, "encode the entry's row")
}

// entryRow is an entry's row.
type entryRow struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Link is the rate of the entry's link in bytes a second.
	Link int `json:"link"`
}

func parseEntry(value []byte) (entryRow, error) {
	var e entryRow
	if err := json.Unmarshal(value, &e); err != nil {
		return e, err
	}
	_, err := netip.ParseAddrPort(e.Address)
	return e, errors.Wrap(err, "field address")
}

// Layers returns the number of layers of the model that a service's engines serve, or 0 where none is known.
func (p *Process) Layers(service string) int {
	catalog, _ := p.Current.Get()
	b, ok := catalog.Backend(service)
	if !ok || b.Engine == nil {
		return 0
	}
	return b.Engine.Layers
}

func (p *Process) serveAdmin(ctx context.Context) error {
	if p.Site.Process.AdminAddress == "" {
		return nil
	}
	lis, err := net.Listen("tcp", p.Site.Process.AdminAddress)
	if err != nil {
		return railexit.WithCode(errors.Wrap(err, "listen on admin; choose a free port or leave the key out"), railexit.Usage)
	}
	admin := &railadmin.Server{}
	go func() {
		if err := admin.Run(ctx, lis); err != nil && ctx.Err() == nil {
			p.Log.Error("admin address failed", "err", err)
		}
	}()
	return nil
}
