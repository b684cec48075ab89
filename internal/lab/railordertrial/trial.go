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
	"github.com/fulmarrail/fulmarrail/internal/standin/railnetwork"
	"github.com/fulmarrail/fulmarrail/internal/standin/railorderservice"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
)

const (
	phaseDuration     = 5 * time.Second
	settleTime        = 5 * time.Second
	requestInterval   = 20 * time.Millisecond
	requestDeadline   = 2 * time.Second
	orderServiceDelay = 20 * time.Millisecond
	slowDelay         = 300 * time.Millisecond
)

// Result holds the measurements of one phase. Keyed reports whether clients sent an idempotency key with their orders.
type Result struct {
	Platform        string  `json:"platform"`
	Keyed           bool    `json:"keyed"`
	Orders          int     `json:"orders"`
	Ran             int     `json:"ran"`
	NotRun          int     `json:"notRun"`
	MayHaveRun      int     `json:"mayHaveRun"`
	P50Millis       float64 `json:"p50Millis"`
	P95Millis       float64 `json:"p95Millis"`
	WritesPerOrder  float64 `json:"writesAnOrder"`
	CommittedTwice  int     `json:"committedTwice"`
	CommittedNotRun int     `json:"untrueNotRun"`
}

// Run runs all phases and returns their results, or an error if the cluster does not start.
func Run(ctx context.Context) ([]Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	platform := &railplatform.Platform{}
	cluster := &railcluster.Cluster{
		Network: &railnetwork.Network{Delay: time.Millisecond}, Platform: platform, Log: slog.New(slog.DiscardHandler),
	}
	cluster.WriteFile("10.ini", railcluster.OrdersConfig)
	cluster.WriteFile("20.ini", limitsConfig)
	var routers []*railrouter.Router
	var orderServices []*railorderservice.OrderService
	for _, zone := range []string{"a", "b", "c"} {
		orderService := &railorderservice.OrderService{Delay: orderServiceDelay}
		orderServices = append(orderServices, orderService)
		if err := cluster.StartAgent(ctx, "orders-"+zone, zone, "orders", orderService); err != nil {
			return nil, err
		}
		r, err := cluster.StartRouter(ctx, "entry-"+zone, zone, cluster.Folder)
		if err != nil {
			return nil, err
		}
		routers = append(routers, r)
	}
	time.Sleep(settleTime)
	var results []Result
	for _, state := range []string{"up", "slow", "down"} {
		for _, keyed := range []bool{true, false} {
			platform.SetDown(state == "down")
			platform.SetDelay(map[string]time.Duration{"slow": slowDelay}[state])
			results = append(results, measure(ctx, platform, routers, orderServices, state, keyed))
			platform.SetDown(false)
			platform.SetDelay(0)
			time.Sleep(settleTime)
		}
	}
	cancel()
	cluster.Wait()
	return results, nil
}

func measure(ctx context.Context, platform *railplatform.Platform, routers []*railrouter.Router, orderServices []*railorderservice.OrderService, state string, keyed bool) Result {
	r := Result{Platform: state, Keyed: keyed}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var latencies []time.Duration
	notRun := map[string]bool{}
	writesBefore, _ := platform.CallCounts()
	for n, end := 0, time.Now().Add(phaseDuration); time.Now().Before(end); n++ {
		wg.Go(func() {
			key := ""
			if keyed {
				key = fmt.Sprintf("%s-%d", state, n)
			}
			req := railcluster.NewRequest("orders", "castle", key, "x", false, requestDeadline)
			verdict, _, _ := railcluster.Submit(ctx, routers[n%len(routers)], req)
			mu.Lock()
			defer mu.Unlock()
			r.Orders++
			switch verdict {
			case railverdict.Ran:
				r.Ran++
				latencies = append(latencies, time.Since(req.ReceivedAt))
			case railverdict.NotRun:
				r.NotRun++
				notRun[key] = true
				notRun[req.ID] = true
			default:
				r.MayHaveRun++
			}
		})
		time.Sleep(requestInterval)
	}
	wg.Wait()
	time.Sleep(time.Second)
	writesAfter, _ := platform.CallCounts()
	r.WritesPerOrder = float64(writesAfter-writesBefore) / float64(max(r.Orders, 1))
	for _, orderService := range orderServices {
		for key, commits := range orderService.CommitCounts() {
			if commits > 1 {
				r.CommittedTwice++
			}
			if notRun[key] {
				r.CommittedNotRun++
			}
		}
	}
	r.P50Millis, r.P95Millis = railpercentile.Millis(latencies, 50), railpercentile.Millis(latencies, 95)
	return r
}

const limitsConfig = "[service orders]\ncoldLimit = 32\n"
