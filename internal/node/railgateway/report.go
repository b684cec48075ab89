package railgateway

import (
	"github.com/fulmarrail/fulmarrail/internal/config/railobjective"
	"github.com/fulmarrail/fulmarrail/internal/config/railroute"
	"github.com/fulmarrail/fulmarrail/internal/report/railentryreport"
	"github.com/fulmarrail/fulmarrail/internal/routing/railadmitter"
)

// Report returns what operators see of the gateway; its name, its zone and the zones are for the caller to add.
func (g *Gateway) Report() railentryreport.Report {
	catalog, _ := g.Catalog()
	r := railentryreport.Report{
		Revision: uint64(catalog.Version), ConfirmedAgeMillis: g.ConfigAge().Milliseconds(), Leaving: g.stopping.Load(), Running: int(g.running.Load()),
		Isolated: g.unready() != "", Waiting: map[string]int{},
	}
	g.admitters.Range(func(service, a any) bool {
		r.Waiting[service.(string)] = a.(*railadmitter.Admitter).Waiting()
		return true
	})
	for _, s := range g.Fleet.Snapshot() {
		r = r.WithEndpoint(s.Instance.ID, s.Instance.Zone, s.Instance.Service, uint64(s.Instance.RowVersion), s.Instance.WeightsVersion > 0, s.Instance.Draining, s.InFlight, s.Instance.Slots)
	}
	var objectives []railobjective.Objective
	for _, route := range catalog.Routes() {
		objectives = append(objectives, g.objective(route))
	}
	return g.burn.Describe(r, objectives)
}

// objective returns the objective that a route's requests are answered whole and on time.
func (g *Gateway) objective(r railroute.Route) railobjective.Objective {
	return railobjective.Objective{Name: r.Name, Service: r.Name, Target: g.ObjectivePercent, FirstToken: r.Target, BetweenTokens: r.TargetGap}
}

// observe counts a request that has ended, whole or not. Those that no route matches and those whose callers have left are nobody's
// objective.
func (g *Gateway) observe(c *call, whole bool) {
	if c.route.Name == "" || c.callerLeft() {
		return
	}
	g.burn.Observe([]railobjective.Objective{g.objective(c.route)}, c.route.Name, "", whole, c.first, c.gap)
}
