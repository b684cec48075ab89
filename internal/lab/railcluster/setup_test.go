package railcluster_test

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railfolder"
	"github.com/fulmarrail/fulmarrail/internal/lab/railcluster"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtual"
	"github.com/fulmarrail/fulmarrail/internal/node/railrouter"
	"github.com/fulmarrail/fulmarrail/internal/standin/raildesk"
	"github.com/fulmarrail/fulmarrail/internal/standin/railnetwork"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
)

var zones = []string{"a", "b", "c"}

// orders is a cluster of three zones, each a region, with an order desk and an entry each.
type orders struct {
	*railcluster.Cluster
	seed    uint64
	delay   time.Duration
	history *history
	// views returns each entry's view of the folder; nil means the folder itself.
	views   func(o *orders, entry string) func() (railfolder.Folder, error)
	desks   map[string]*raildesk.OrderService
	routers map[string]*railrouter.Router
}

// run starts the cluster in virtual time, waits until revision 1 is in force and every entry knows the others, and hands
// it to the body.
func (o *orders) run(t *testing.T, platform *railplatform.Platform, body func(ctx context.Context, c *qt.C)) {
	railvirtual.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		o.Cluster = newCluster(platform, o.seed)
		o.history = newHistory()
		o.WriteFile("10.ini", railcluster.OrdersConfig)
		o.desks, o.routers = map[string]*raildesk.OrderService{}, map[string]*railrouter.Router{}
		for _, zone := range zones {
			desk := &raildesk.OrderService{Delay: o.delay, OnCommit: o.history.commit}
			o.desks["orders-"+zone] = desk
			c.Assert(o.StartAgent(ctx, "orders-"+zone, zone, "orders", desk), qt.IsNil)
			o.startEntry(ctx, c, "entry-"+zone, zone)
		}
		c.Assert(o.WaitRevision(ctx, 1), qt.IsNil)
		time.Sleep(5 * time.Second)
		body(ctx, c)
		cancel()
		o.Wait()
	})
}

func (o *orders) startEntry(ctx context.Context, c *qt.C, name, zone string) {
	view := o.Folder
	if o.views != nil {
		view = o.views(o, name)
	}
	r, err := o.StartRouter(ctx, name, zone, view)
	c.Assert(err, qt.IsNil)
	o.routers[name] = r
}

func newCluster(platform *railplatform.Platform, seed uint64) *railcluster.Cluster {
	log := slog.New(slog.DiscardHandler)
	if os.Getenv("VERBOSE") != "" {
		log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	return &railcluster.Cluster{
		Network:  &railnetwork.Network{Delay: time.Millisecond, Random: rand.New(rand.NewPCG(seed, 77))},
		Platform: platform, Log: log,
	}
}
