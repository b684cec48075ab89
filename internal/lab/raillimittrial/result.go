package raillimittrial

import (
	"time"

	"github.com/fulmarrail/fulmarrail/internal/lab/railpercentile"
)

// Result sums up what has reached the endpoints and the outcomes of all requests. Requests count if they were sent after the endpoints had
// named their limits for some seconds.
type Result struct {
	Policy   string  `json:"policy"`
	Gateways int     `json:"gateways"`
	Engines  int     `json:"engines"`
	Demand   float64 `json:"demand"`
	Lost     float64 `json:"lostDatagrams"`

	// Most is the greatest number of requests within 4 s at the endpoint where it is highest against Tolerated, of gateways that had to know
	// the limit. Named is the number that the limit allows there, and Tolerated the number that is tolerated. MostOfAll is the greatest number
	// there of all gateways.
	Most      int     `json:"most"`
	MostOfAll int     `json:"mostOfAll"`
	Named     float64 `json:"named"`
	Tolerated int     `json:"tolerated"`
	// Overruns is the number of endpoints at which more arrived than is tolerated.
	Overruns int `json:"overruns"`
	// UsedShare is the number of requests that arrived as a share of what all limits allow.
	UsedShare float64 `json:"used"`
	Requests  int     `json:"asked"`
	Served    int     `json:"served"`
	// RefusedAtOnce and RefusedLate count the requests rejected without and after a wait. Abandoned counts those whose gateway froze while
	// they waited.
	RefusedAtOnce int     `json:"refusedAtOnce"`
	RefusedLate   int     `json:"waitedInVain"`
	Abandoned     int     `json:"abandoned"`
	P99WaitMillis float64 `json:"p99WaitMillis"`
	// WorstCustomerShare is the least share of a customer's requests that was served, and SmallestCustomerShare that of the customer with
	// the fewest requests. QuietGatewaysShare is the share of the requests at the half of the gateways with the fewest that was served.
	WorstCustomerShare    float64 `json:"worstCustomer"`
	SmallestCustomerShare float64 `json:"smallestCustomer"`
	QuietGatewaysShare    float64 `json:"quietGateways"`
	// DatagramsPerSecond and BytesPerSecond are what one gateway sends to others on average, counted once for each receiver.
	DatagramsPerSecond float64 `json:"datagramsPerSecond"`
	BytesPerSecond     float64 `json:"bytesPerSecond"`
}

// tally counts the requests of one customer or one gateway.
type tally struct {
	asked, served int
}

func (t tally) share() float64 {
	if t.asked == 0 {
		return 1
	}
	return float64(t.served) / float64(t.asked)
}

// outcome is the result of one request.
type outcome struct {
	customer, gateway int
	served, abandoned bool
	wait              time.Duration
}

// record counts the outcome of a request.
func (t *Trial) record(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &t.result
	r.Requests++
	t.customers[o.customer].asked++
	t.tallies[o.gateway].asked++
	switch {
	case o.served:
		r.Served++
		t.customers[o.customer].served++
		t.tallies[o.gateway].served++
		t.waits = append(t.waits, o.wait)
	case o.abandoned:
		r.Abandoned++
	case o.wait < atOnce:
		r.RefusedAtOnce++
	default:
		r.RefusedLate++
	}
}

// sumUp returns the result after all requests have ended. from and to are the span in which the requests that count were sent.
func (t *Trial) sumUp(from, to time.Time) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.result
	r.Policy, r.Gateways, r.Engines, r.Demand, r.Lost = t.Policy, t.Gateways, t.Engines, t.Demand, t.LostDatagrams
	t.compareWithLimits(&r, from, to)
	r.P99WaitMillis = railpercentile.Millis(t.waits, 99)
	r.SmallestCustomerShare = t.customers[len(t.customers)-1].share()
	r.WorstCustomerShare = 1
	for _, c := range t.customers {
		r.WorstCustomerShare = min(r.WorstCustomerShare, c.share())
	}
	var quiet tally
	for _, g := range t.tallies[t.Gateways/2 : t.Gateways] {
		quiet.asked += g.asked
		quiet.served += g.served
	}
	r.QuietGatewaysShare = quiet.share()
	for _, g := range t.gateways {
		g.mu.Lock()
		r.DatagramsPerSecond += float64(g.datagrams) / t.Duration.Seconds() / float64(t.Gateways)
		r.BytesPerSecond += float64(g.bytes) / t.Duration.Seconds() / float64(t.Gateways)
		g.mu.Unlock()
	}
	return r
}

// compareWithLimits sets the fields of r that compare arrivals with limits.
func (t *Trial) compareWithLimits(r *Result, from, to time.Time) {
	allowed, arrived, worst := 0.0, 0, -1.0
	for _, e := range t.engines {
		all, notified := e.mostArrivals()
		if notified > e.tolerated() {
			r.Overruns++
		}
		if ratio := float64(notified) / float64(e.tolerated()); ratio > worst {
			worst = ratio
			r.Most, r.MostOfAll, r.Named, r.Tolerated = notified, all, e.named(), e.tolerated()
		}
		allowed += e.limit * to.Sub(from).Seconds()
		arrived += e.countArrivals(from, to)
	}
	r.UsedShare = float64(arrived) / allowed
}
