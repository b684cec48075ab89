package railconfigclient

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/fulmarrail/fulmarrail/internal/config/railactiveconfig"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// callTimeout bounds every call but a poll, and the reply to a poll beyond the time for which it is held open.
	callTimeout    = time.Second
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second
)

// Client polls the entries for the configuration. It is safe for concurrent use once Run is called; set its fields before that.
type Client struct {
	// Self describes this agent.
	Self   railmember.Member
	Config *railactiveconfig.Config
	// MaxConfigAge is the age above which an entry's configuration is not taken.
	MaxConfigAge time.Duration
	// ZoneRegions holds the region of each zone.
	ZoneRegions map[string]string
	// RequestBrief requests the configuration from the entry at an address, and RequestAgents the list of the service's agents.
	RequestBrief  func(ctx context.Context, address string, req *railproto.BriefRequest) (*railproto.BriefReply, error)
	RequestAgents func(ctx context.Context, address string, req *railproto.AgentsRequest) (*railproto.AgentsReply, error)
	// Store is read if no entry answers.
	Store Store
	// OnChange is called after each change of the configuration.
	OnChange func()
	// Now returns the time since boot, including time in suspend.
	Now func() time.Duration
	Log *slog.Logger

	// confirmedAt is the time since boot, in nanoseconds, at which the configuration was last known to be current. It is not guarded by
	// mu, which is held during calls.
	confirmedAt atomic.Int64

	mu        sync.Mutex
	entries   []railmember.Member
	lastEntry railmember.Member
	knownHash uint64
	listedAt  time.Time
	agents    []railinstance.Instance
}

// Store reads the platform's store for an agent.
type Store interface {
	// Entries returns the registered entries.
	Entries(ctx context.Context) ([]railmember.Member, error)
	// LoadConfig reads the operator's configuration and puts it in force.
	LoadConfig(ctx context.Context) error
	// Instances returns the registered endpoints.
	Instances(ctx context.Context) ([]railinstance.Instance, error)
}

// Run polls for configuration changes until ctx is done.
func (c *Client) Run(ctx context.Context) {
	retryBackoff := &backoff.ExponentialBackOff{InitialInterval: initialBackoff, RandomizationFactor: 0.5, Multiplier: 2, MaxInterval: maxBackoff}
	retryBackoff.Reset()
	for ctx.Err() == nil {
		if c.poll(ctx) {
			retryBackoff.Reset()
			continue
		}
		if !c.readStore(ctx) {
			railtimer.Sleep(ctx, retryBackoff.NextBackOff())
		}
	}
}

// MaxChangeAge returns the longest time for which a change that is learned of now may have existed: the time since the configuration
// was last known to be current.
func (c *Client) MaxChangeAge() time.Duration {
	return c.Now() - time.Duration(c.confirmedAt.Load())
}

// readStore reads the entries from the store. It returns true if these are the first known entries, which can be polled at once;
// otherwise it reads the configuration from the store as well.
func (c *Client) readStore(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, err := c.Store.Entries(callCtx)
	if err != nil {
		c.Log.Warn("can't read entries from the store", "err", err)
		return false
	}
	c.mu.Lock()
	knownBefore := len(c.entries)
	if len(entries) > 0 { // A store that was restored from an older copy may lack them for a moment.
		c.entries = entries
	}
	c.mu.Unlock()
	if knownBefore == 0 && len(entries) > 0 {
		return true
	}
	start := c.Now()
	if err := c.Store.LoadConfig(callCtx); err != nil {
		c.Log.Warn("can't read configuration from the store", "err", err)
		return false
	}
	c.confirm(c.Now() - start)
	c.OnChange()
	return false
}

// confirm records that the configuration was current the given time ago. Only Run calls it.
func (c *Client) confirm(age time.Duration) {
	c.confirmedAt.Store(max(c.confirmedAt.Load(), int64(c.Now()-age)))
}
