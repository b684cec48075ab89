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
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/node/railrouter"
	"github.com/fulmarrail/fulmarrail/internal/standin/railnetwork"
	"github.com/fulmarrail/fulmarrail/internal/standin/railorderservice"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
)

var zones = []string{"a", "b", "c"}

// ordersCluster is a cluster of three zones, each in a region of its own, with one order service and one entry per zone.
type ordersCluster struct {
	*railcluster.Cluster
	seed    uint64
	delay   time.Duration
	history *orderHistory
	// folderReader returns the function with which an entry reads the configuration folder. If it is nil, entries read the
	// current folder.
	folderReader  func(o *ordersCluster, entry string) func() (railfolder.Folder, error)
	orderServices map[string]*railorderservice.OrderService
	routers       map[string]*railrouter.Router
}

// run starts the cluster in virtual time, waits until revision 1 is in effect and every entry knows the others, and then
// calls body.
func (o *ordersCluster) run(t *testing.T, platform *railplatform.Platform, body func(ctx context.Context, c *qt.C)) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		o.Cluster = newCluster(platform, o.seed)
		o.history = newOrderHistory()
		o.WriteFile("10.ini", railcluster.OrdersConfig)
		o.orderServices, o.routers = map[string]*railorderservice.OrderService{}, map[string]*railrouter.Router{}
		for _, zone := range zones {
			orderService := &railorderservice.OrderService{Delay: o.delay, OnCommit: o.history.recordCommit}
			o.orderServices["orders-"+zone] = orderService
			c.Assert(o.StartAgent(ctx, "orders-"+zone, zone, "orders", orderService), qt.IsNil)
			o.startEntry(ctx, c, "entry-"+zone, zone)
		}
		c.Assert(o.WaitRevision(ctx, 1), qt.IsNil)
		time.Sleep(5 * time.Second)
		body(ctx, c)
		cancel()
		o.Wait()
	})
}

func (o *ordersCluster) startEntry(ctx context.Context, c *qt.C, name, zone string) {
	readFolder := o.Folder
	if o.folderReader != nil {
		readFolder = o.folderReader(o, name)
	}
	r, err := o.StartRouter(ctx, name, zone, readFolder)
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
