package railzonetrial

import (
	"fmt"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/lab/raildeployment"
	"github.com/fulmarrail/fulmarrail/internal/lab/railload"
)

const (
	maxNewWorkSeconds = 2
	maxFirstToken     = 1.5
)

// Result is what a trial measured.
type Result struct {
	Requests            int     `json:"requests"`
	Orders              int     `json:"orders"`
	FailedIdempotent    int     `json:"failedIdempotent"`
	OrdersTwice         int     `json:"ordersTwice"`
	OrdersLost          int     `json:"ordersLost"`
	UntrueNotRun        int     `json:"untrueNotRun"`
	OrdersNotRun        int     `json:"ordersNotRun"`
	MixedAnswers        int     `json:"mixedAnswers"`
	OverLimit           int     `json:"overLimit"`
	Overloads           int     `json:"overloads"`
	NewWorkAfterSeconds float64 `json:"newWorkAfterSeconds"`
	P95FirstTokenMillis float64 `json:"p95FirstTokenMillis"`
	P95FirstTokenRatio  float64 `json:"p95FirstTokenRatio"`
	P95BetweenRatio     float64 `json:"p95BetweenTokensRatio"`
	ServedAfterReturn   bool    `json:"servedAfterReturn"`
	Rollout             bool    `json:"rollout"`
	RolloutComplete     bool    `json:"rolloutComplete"`
	FirstRolloutSeconds float64 `json:"firstRolloutSeconds"`
	OriginCopies        float64 `json:"originCopies"`
	Seconds             float64 `json:"seconds"`
	// FailedByCustomer and Reasons say who was refused and why.
	FailedByCustomer map[string]int `json:"failedByCustomer,omitempty"`
	Reasons          map[string]int `json:"reasons,omitempty"`
}

// Faults returns a line for each check that did not pass.
func (r Result) Faults() []string {
	var faults []string
	check := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Sprintf(format, args...))
		}
	}
	check(r.FailedIdempotent == 0, "%d of %d repeatable requests did not get their whole answer", r.FailedIdempotent, r.Requests)
	check(r.OrdersTwice == 0, "%d orders were committed more than once", r.OrdersTwice)
	check(r.OrdersLost == 0, "%d orders were answered and not committed", r.OrdersLost)
	check(r.UntrueNotRun == 0, "%d orders were reported as not run and were committed", r.UntrueNotRun)
	check(r.MixedAnswers == 0, "%d answers came from mixed weights", r.MixedAnswers)
	check(r.OverLimit == 0, "%d requests began above what an engine bears", r.OverLimit)
	check(r.ServedAfterReturn, "the zone got no work after its return")
	check(!r.Rollout || r.RolloutComplete, "the second version did not reach every engine")
	return faults
}

// Misses returns a line for each goal that was missed and is not a check.
func (r Result) Misses() []string {
	var misses []string
	if r.NewWorkAfterSeconds > maxNewWorkSeconds {
		misses = append(misses, fmt.Sprintf("the zone got new work for %.2f s after it was taken out, over %d s", r.NewWorkAfterSeconds, maxNewWorkSeconds))
	}
	if r.P95FirstTokenRatio > maxFirstToken {
		misses = append(misses, fmt.Sprintf("first tokens took %.2f times the steady state at p95, over %.1f", r.P95FirstTokenRatio, maxFirstToken))
	}
	return misses
}

func (r *Result) judge(assistant, orders *railload.Load, d *raildeployment.Deployment, steady, out time.Time) {
	end := time.Now().Add(far)
	r.FailedByCustomer, r.Reasons = map[string]int{}, map[string]int{}
	r.judgeRequests(assistant, steady, end)
	r.judgeOrders(orders, d.CommitCounts())
	for _, engine := range d.SimulatedEngines() {
		_, overloads, overLimit := engine.Counts()
		r.Overloads += overloads
		r.OverLimit += overLimit
	}
	calm := assistant.FirstTokenP95(steady, out)
	moved := assistant.FirstTokenP95(out, end)
	r.P95FirstTokenMillis = float64(moved.Microseconds()) / 1000
	r.P95FirstTokenRatio = ratio(moved, calm)
	r.P95BetweenRatio = ratio(assistant.BetweenTokensP95(out, end), assistant.BetweenTokensP95(steady, out))
}

func (r *Result) judgeRequests(assistant *railload.Load, from, to time.Time) {
	for _, a := range assistant.Answers(from, to) {
		r.Requests++
		if len(a.Weights) > 1 {
			r.MixedAnswers++
		}
		if !a.Whole {
			r.FailedIdempotent++
			r.FailedByCustomer[a.Customer]++
			r.Reasons[fmt.Sprintf("%d %s %s", a.Status, a.Verdict, a.Reason)]++
		}
	}
}

func (r *Result) judgeOrders(orders *railload.Load, ledger map[string]int) {
	for _, a := range orders.Answers(time.Time{}, time.Now().Add(far)) {
		r.Orders++
		commits := ledger[a.Key]
		switch {
		case commits > 1:
			r.OrdersTwice++
		case a.Whole && commits == 0:
			r.OrdersLost++
		case a.Verdict == "notRun" && commits > 0:
			r.UntrueNotRun++
		}
		if a.Verdict == "notRun" {
			r.OrdersNotRun++
			r.Reasons[fmt.Sprintf("order %d %s %s", a.Status, a.Verdict, a.Reason)]++
		}
	}
}

func ratio(a, b time.Duration) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}
