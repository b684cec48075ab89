package railordertrial

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/lab/railcluster"
	"github.com/fulmarrail/fulmarrail/internal/lab/railpercentile"
	"github.com/fulmarrail/fulmarrail/internal/node/railrouter"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/standin/raildesk"
	"github.com/fulmarrail/fulmarrail/internal/standin/railnetwork"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
)

const (
	phase     = 5 * time.Second
	settle    = 5 * time.Second
	pause     = 20 * time.Millisecond
	deadline  = 2 * time.Second
	deskDelay = 20 * time.Millisecond
	slowness  = 300 * time.Millisecond
)

// Result is what one phase measured for orders with or without a caller's key.
type Result struct {
	Platform       string  `json:"platform"`
	Keyed          bool    `json:"keyed"`
	Orders         int     `json:"orders"`
	Ran            int     `json:"ran"`
	NotRun         int     `json:"notRun"`
	MayHaveRun     int     `json:"mayHaveRun"`
	P50Millis      float64 `json:"p50Millis"`
	P95Millis      float64 `json:"p95Millis"`
	WritesAnOrder  float64 `json:"writesAnOrder"`
	CommittedTwice int     `json:"committedTwice"`
	UntrueNotRun   int     `json:"untrueNotRun"`
}

// Run runs all phases and returns their results, or an error when the system can't be brought up.
func Run(ctx context.Context) ([]Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	platform := &railplatform.Platform{}
	cluster := &railcluster.Cluster{
		Network: &railnetwork.Network{Delay: time.Millisecond}, Platform: platform, Log: slog.New(slog.DiscardHandler),
	}
	cluster.WriteFile("10.ini", railcluster.OrdersConfig)
	cluster.WriteFile("20.ini", limits)
	var routers []*railrouter.Router
	var desks []*raildesk.OrderService
	for _, zone := range []string{"a", "b", "c"} {
		desk := &raildesk.OrderService{Delay: deskDelay}
		desks = append(desks, desk)
		if err := cluster.StartAgent(ctx, "orders-"+zone, zone, "orders", desk); err != nil {
			return nil, err
		}
		r, err := cluster.StartRouter(ctx, "entry-"+zone, zone, cluster.Folder)
		if err != nil {
			return nil, err
		}
		routers = append(routers, r)
	}
	time.Sleep(settle)
	var results []Result
	for _, state := range []string{"up", "slow", "down"} {
		for _, keyed := range []bool{true, false} {
			platform.SetDown(state == "down")
			platform.SetDelay(map[string]time.Duration{"slow": slowness}[state])
			results = append(results, measure(ctx, platform, routers, desks, state, keyed))
			platform.SetDown(false)
			platform.SetDelay(0)
			time.Sleep(settle)
		}
	}
	cancel()
	cluster.Wait()
	return results, nil
}

func measure(ctx context.Context, platform *railplatform.Platform, routers []*railrouter.Router, desks []*raildesk.OrderService, state string, keyed bool) Result {
	r := Result{Platform: state, Keyed: keyed}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var took []time.Duration
	notRun := map[string]bool{}
	writes, _ := platform.CallCounts()
	for n, end := 0, time.Now().Add(phase); time.Now().Before(end); n++ {
		wg.Go(func() {
			key := ""
			if keyed {
				key = fmt.Sprintf("%s-%d", state, n)
			}
			req := railcluster.NewRequest("orders", "castle", key, "x", false, deadline)
			verdict, _, _ := railcluster.Submit(ctx, routers[n%len(routers)], req)
			mu.Lock()
			defer mu.Unlock()
			r.Orders++
			switch verdict {
			case railverdict.Ran:
				r.Ran++
				took = append(took, time.Since(req.ReceivedAt))
			case railverdict.NotRun:
				r.NotRun++
				notRun[key] = true
				notRun[req.ID] = true
			default:
				r.MayHaveRun++
			}
		})
		time.Sleep(pause)
	}
	wg.Wait()
	time.Sleep(time.Second)
	later, _ := platform.CallCounts()
	r.WritesAnOrder = float64(later-writes) / float64(max(r.Orders, 1))
	for _, desk := range desks {
		for entry, commits := range desk.CommitCounts() {
			if commits > 1 {
				r.CommittedTwice++
			}
			if notRun[entry] {
				r.UntrueNotRun++
			}
		}
	}
	r.P50Millis, r.P95Millis = railpercentile.Millis(took, 50), railpercentile.Millis(took, 95)
	return r
}

const limits = "[service orders]\ncoldLimit = 32\n"
