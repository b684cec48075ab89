package railzonetrial

import (
	"fmt"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/lab/raildeployment"
	"github.com/fulmarrail/fulmarrail/internal/lab/railloadgen"
)

const (
	maxLastRequestSeconds = 2
	maxFirstTokenRatio    = 1.5
)

// Result holds the measurements of a trial.
type Result struct {
	Requests                int     `json:"requests"`
	Orders                  int     `json:"orders"`
	FailedIdempotent        int     `json:"failedIdempotent"`
	DuplicateOrders         int     `json:"ordersTwice"`
	LostOrders              int     `json:"ordersLost"`
	CommittedNotRun         int     `json:"untrueNotRun"`
	OrdersNotRun            int     `json:"ordersNotRun"`
	MixedAnswers            int     `json:"mixedAnswers"`
	OverLimit               int     `json:"overLimit"`
	Overloads               int     `json:"overloads"`
	LastRequestAfterSeconds float64 `json:"newWorkAfterSeconds"`
	P95FirstTokenMillis     float64 `json:"p95FirstTokenMillis"`
	P95FirstTokenRatio      float64 `json:"p95FirstTokenRatio"`
	P95BetweenTokensRatio   float64 `json:"p95BetweenTokensRatio"`
	ServedAfterReturn       bool    `json:"servedAfterReturn"`
	Rollout                 bool    `json:"rollout"`
	RolloutComplete         bool    `json:"rolloutComplete"`
	FirstRolloutSeconds     float64 `json:"firstRolloutSeconds"`
	OriginCopies            float64 `json:"originCopies"`
	Seconds                 float64 `json:"seconds"`
	// FailedByCustomer counts failed repeatable requests by customer. Reasons counts these, and the orders that did not run, by status,
	// verdict and reason.
	FailedByCustomer map[string]int `json:"failedByCustomer,omitempty"`
	Reasons          map[string]int `json:"reasons,omitempty"`
}

// FailedChecks returns a message for each correctness check that failed.
func (r Result) FailedChecks() []string {
	var failures []string
	check := func(ok bool, format string, args ...any) {
		if !ok {
			failures = append(failures, fmt.Sprintf(format, args...))
		}
	}
	check(r.FailedIdempotent == 0, "%d of %d repeatable requests did not get their whole answer", r.FailedIdempotent, r.Requests)
	check(r.DuplicateOrders == 0, "%d orders were committed more than once", r.DuplicateOrders)
	check(r.LostOrders == 0, "%d orders were answered and not committed", r.LostOrders)
	check(r.CommittedNotRun == 0, "%d orders were reported as not run and were committed", r.CommittedNotRun)
	check(r.MixedAnswers == 0, "%d answers came from mixed weights", r.MixedAnswers)
	check(r.OverLimit == 0, "%d requests began above what an engine bears", r.OverLimit)
	check(r.ServedAfterReturn, "the zone got no work after its return")
	check(!r.Rollout || r.RolloutComplete, "the second version did not reach every engine")
	return failures
}

// MissedGoals returns a message for each missed performance goal. Goals are not correctness checks.
func (r Result) MissedGoals() []string {
	var missed []string
	if r.LastRequestAfterSeconds > maxLastRequestSeconds {
		missed = append(missed, fmt.Sprintf("the zone got new work for %.2f s after it was taken out, over %d s", r.LastRequestAfterSeconds, maxLastRequestSeconds))
	}
	if r.P95FirstTokenRatio > maxFirstTokenRatio {
		missed = append(missed, fmt.Sprintf("first tokens took %.2f times the steady state at p95, over %.1f", r.P95FirstTokenRatio, maxFirstTokenRatio))
	}
	return missed
}

func (r *Result) evaluate(assistant, orders *railloadgen.Load, d *raildeployment.Deployment, steadyStart, outStart time.Time) {
	end := time.Now().Add(farFuture)
	r.FailedByCustomer, r.Reasons = map[string]int{}, map[string]int{}
	r.evaluateRequests(assistant, steadyStart, end)
	r.evaluateOrders(orders, d.CommitCounts())
	for _, engine := range d.SimulatedEngines() {
		_, overloads, overLimit := engine.Counts()
		r.Overloads += overloads
		r.OverLimit += overLimit
	}
	steadyP95 := assistant.FirstTokenP95(steadyStart, outStart)
	outP95 := assistant.FirstTokenP95(outStart, end)
	r.P95FirstTokenMillis = float64(outP95.Microseconds()) / 1000
	r.P95FirstTokenRatio = durationRatio(outP95, steadyP95)
	r.P95BetweenTokensRatio = durationRatio(assistant.BetweenTokensP95(outStart, end), assistant.BetweenTokensP95(steadyStart, outStart))
}

func (r *Result) evaluateRequests(assistant *railloadgen.Load, from, to time.Time) {
	for _, a := range assistant.Answers(from, to) {
		r.Requests++
		if len(a.Weights) > 1 {
			r.MixedAnswers++
		}
		if !a.Complete {
			r.FailedIdempotent++
			r.FailedByCustomer[a.Customer]++
			r.Reasons[fmt.Sprintf("%d %s %s", a.Status, a.Verdict, a.Reason)]++
		}
	}
}

func (r *Result) evaluateOrders(orders *railloadgen.Load, commitCounts map[string]int) {
	for _, a := range orders.Answers(time.Time{}, time.Now().Add(farFuture)) {
		r.Orders++
		commits := commitCounts[a.Key]
		switch {
		case commits > 1:
			r.DuplicateOrders++
		case a.Complete && commits == 0:
			r.LostOrders++
		case a.Verdict == "notRun" && commits > 0:
			r.CommittedNotRun++
		}
		if a.Verdict == "notRun" {
			r.OrdersNotRun++
			r.Reasons[fmt.Sprintf("order %d %s %s", a.Status, a.Verdict, a.Reason)]++
		}
	}
}

func durationRatio(a, b time.Duration) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}
