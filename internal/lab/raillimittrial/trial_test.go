package raillimittrial_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/raillimittrial"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
)

func run(t *testing.T, trial *raillimittrial.Trial) raillimittrial.Result {
	var r raillimittrial.Result
	railvirtualtime.Test(t, func(t *testing.T) {
		r = trial.Run(t.Context())
	})
	t.Logf("%+v", r)
	return r
}

// overload returns a trial with twice the demand that the limits allow.
func overload(policy string, gateways int, seed uint64) *raillimittrial.Trial {
	return &raillimittrial.Trial{
		Policy: policy, Gateways: gateways, Engines: 18, Limits: []float64{1, 1.5, 3.2}, Demand: 2, Skew: 1, Customers: 8, LostDatagrams: 0.2, Disturbed: true,
		Duration: 20 * time.Second, Seed: seed,
	}
}

// Several gateways keep to an endpoint's limit together, whatever datagrams are lost and whichever gateway freezes, stops or joins.
func TestNoEndpointGetsMoreThanItsLimitAllows(t *testing.T) {
	for _, gateways := range []int{6, 18, 60} {
		for seed := range uint64(2) {
			r := run(t, overload(raillimittrial.PolicySystem, gateways, seed))
			qt.Check(t, r.Overruns, qt.Equals, 0, qt.Commentf("%d gateways, seed %d: %d requests, %d tolerated", gateways, seed, r.Most, r.Tolerated))
		}
	}
}

// Guards against parts of a limit that lie unused at idle gateways while busy ones reject requests.
func TestRequestsWithinTheLimitsAreServedAtUnevenGateways(t *testing.T) {
	for _, gateways := range []int{6, 18, 60} {
		for seed := range uint64(2) {
			trial := overload(raillimittrial.PolicySystem, gateways, seed)
			trial.Demand = 0.5
			r := run(t, trial)
			qt.Check(t, r.Served*100 >= r.Requests*97, qt.IsTrue, qt.Commentf("%d gateways, seed %d: %d of %d served", gateways, seed, r.Served, r.Requests))
		}
	}
}

func TestOverloadUsesTheLimits(t *testing.T) {
	for _, gateways := range []int{1, 6, 18} {
		trial := overload(raillimittrial.PolicySystem, gateways, 1)
		trial.Disturbed = gateways > 1 // While a single gateway is frozen, nothing is served.
		r := run(t, trial)
		qt.Check(t, r.UsedShare > 0.85, qt.IsTrue, qt.Commentf("%d gateways: %v", gateways, r.UsedShare))
	}
}

// The trial has to show what is wrong with the baselines.
func TestBaselinesOverrunLimitsOrRejectNeedlessly(t *testing.T) {
	r := run(t, overload(raillimittrial.PolicyNoLimits, 6, 1))
	qt.Check(t, r.Overruns*2 >= r.Engines, qt.IsTrue, qt.Commentf("%d of %d endpoints", r.Overruns, r.Engines))
	trial := overload(raillimittrial.PolicyEqualParts, 6, 1)
	trial.Demand = 0.5
	r = run(t, trial)
	qt.Check(t, r.Overruns, qt.Equals, 0)
	qt.Check(t, r.Served*100 < r.Requests*95, qt.IsTrue, qt.Commentf("%d of %d served", r.Served, r.Requests))
}

func TestRunsWithOneSeedSendTheSameRequests(t *testing.T) {
	first, second := run(t, overload(raillimittrial.PolicyNoLimits, 6, 3)), run(t, overload(raillimittrial.PolicyNoLimits, 6, 3))
	qt.Check(t, first.Requests, qt.Equals, second.Requests)
}
