package railadmitter_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/routing/railadmitter"
)

const (
	endpoints, slots = 10, 4
	// maxQueuedAtEndpoint is the number of requests that the fleet sends to an endpoint beyond its slots.
	maxQueuedAtEndpoint = 2
	customers           = 10
	// serviceTime is the time for which a request holds its endpoint, and startWithin the time within which it has to begin.
	serviceTime, startWithin = 500 * time.Millisecond, 400 * time.Millisecond
	loadTime                 = 20 * time.Second
	// capacity is the number of requests per second that the endpoints serve, and usualLoad the share of it that customers ask for.
	capacity, usualLoad = float64(endpoints*(slots+maxQueuedAtEndpoint)) / 0.5, 0.6
)

// servedCounts is the number of requests that were asked for and served, by customer, and of those that were rejected, at once or after a wait.
type servedCounts struct {
	mu                           sync.Mutex
	asked                        map[string]int
	served                       map[string]int
	rejectedAtOnce, rejectedLate int
}

// playLoad plays a load in which each customer asks for the same, but for the customer "hot", which asks for hotFactor times that.
func playLoad(t *testing.T, hotFactor float64) *servedCounts {
	f := &railfleet.Fleet{Share: func(_ string, total int) int { return total }, Log: slog.New(slog.DiscardHandler)}
	a := &railadmitter.Admitter{Fleet: f}
	f.OnChange = a.Wake
	var instances []railinstance.Instance
	for i := range endpoints {
		instances = append(instances, railinstance.Instance{ID: fmt.Sprint(i), Service: "orders", Address: fmt.Sprintf("10.0.0.%d:1", i), Slots: slots})
	}
	f.SetInstances(instances)
	requirements := railfleet.Requirements{
		Backend: railbackend.Backend{Name: "orders"}, StartWithin: startWithin,
		RegionAllowed: func(string) bool { return true }, ZoneOut: func(string) bool { return false },
	}
	counts := &servedCounts{asked: map[string]int{}, served: map[string]int{}}
	var wg sync.WaitGroup
	request := func(customer string) {
		defer wg.Done()
		start := time.Now()
		l, err := a.Acquire(t.Context(), requirements, 1, customer, start.Add(startWithin))
		counts.mu.Lock()
		counts.asked[customer]++
		if err != nil {
			if time.Since(start) == 0 {
				counts.rejectedAtOnce++
			} else {
				counts.rejectedLate++
			}
		} else {
			counts.served[customer]++
		}
		counts.mu.Unlock()
		if err == nil {
			time.Sleep(serviceTime)
			l.Done(railfleet.Answered)
		}
	}
	client := func(customer string, perSecond float64, seed uint64) {
		defer wg.Done()
		r := rand.New(rand.NewPCG(seed, 0))
		for start := time.Now(); time.Since(start) < loadTime; {
			railtimer.Sleep(t.Context(), time.Duration(r.ExpFloat64()/perSecond*float64(time.Second)))
			wg.Add(1)
			go request(customer)
		}
	}
	usual := usualLoad * capacity / customers
	for i := range customers {
		wg.Add(1)
		if i == 0 {
			go client("hot", hotFactor*usual, 0)
			continue
		}
		go client(fmt.Sprint(i), usual, uint64(i))
	}
	wg.Wait()
	return counts
}

// The pattern of one customer that asks for many times its usual load: the others get what they get without it, and the endpoints are used
// fully. Guards against a queue that is ordered by arrival alone, in which the hot customer's requests take the places of all others.
func TestHotCustomerDoesNotDisplaceOthers(t *testing.T) {
	shareOfOthers := func(counts *servedCounts) float64 {
		asked, served := 0, 0
		for customer, n := range counts.asked {
			if customer != "hot" {
				asked, served = asked+n, served+counts.served[customer]
			}
		}
		return float64(served) / float64(asked)
	}
	var usual float64
	railvirtualtime.Test(t, func(t *testing.T) { usual = shareOfOthers(playLoad(t, 1)) })
	for _, factor := range []float64{5, 12, 30} {
		t.Run(fmt.Sprintf("%v times the usual", factor), func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				counts := playLoad(t, factor)
				others := shareOfOthers(counts)
				qt.Check(t, others >= 0.9*usual, qt.IsTrue, qt.Commentf("others are served %.3f of their requests, %.3f usually", others, usual))
				total := 0
				for _, n := range counts.served {
					total += n
				}
				want := 0.9 * min(capacity, usualLoad*capacity*(customers-1+factor)/customers) * loadTime.Seconds()
				qt.Check(t, float64(total) >= want, qt.IsTrue, qt.Commentf("%d served, want %.0f", total, want))
				t.Logf("%d rejected at once, %d after a wait", counts.rejectedAtOnce, counts.rejectedLate)
			})
		})
	}
}
