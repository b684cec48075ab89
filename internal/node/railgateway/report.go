package railgateway

import (
	"github.com/fulmarrail/fulmarrail/internal/config/railobjective"
	"github.com/fulmarrail/fulmarrail/internal/config/railroute"
	"github.com/fulmarrail/fulmarrail/internal/report/railentryreport"
	"github.com/fulmarrail/fulmarrail/internal/routing/railadmitter"
)

// Report returns the gateway's status report for operators. The caller must add the process's name and zone, and the list of zones.
func (g *Gateway) Report() railentryreport.Report {
	catalog, _ := g.Catalog()
	r := railentryreport.Report{
		Revision: uint64(catalog.Version), ConfirmedAgeMillis: g.ConfigAge().Milliseconds(), Leaving: g.drainState.draining.Load(), Running: int(g.inFlight.Load()),
		Isolated: g.unreadyReason() != "", QueuedRequests: map[string]int{},
	}
	g.admitters.Range(func(service, a any) bool {
		r.QueuedRequests[service.(string)] = a.(*railadmitter.Admitter).Waiting()
		return true
	})
	for _, s := range g.Fleet.Snapshot() {
		r = r.WithEndpoint(s.Instance.ID, s.Instance.Zone, s.Instance.Service, uint64(s.Instance.RowVersion), s.Instance.WeightsVersion > 0 && !s.Paused, s.Leaving, s.InFlight, s.Instance.Slots)
	}
	var objectives []railobjective.Objective
	for _, route := range catalog.Routes() {
		objectives = append(objectives, g.objective(route))
	}
	return g.burnRecorder.AddTo(r, objectives)
}

// objective returns the service level objective of a route: complete and on-time responses.
func (g *Gateway) objective(r railroute.Route) railobjective.Objective {
	return railobjective.Objective{Name: r.Name, Service: r.Name, TargetPercent: g.ObjectivePercent, MaxTimeToFirstToken: r.TargetLatency, MaxTimeBetweenTokens: r.MaxEventGap}
}

// observe records a finished request for its route's objective. Requests that match no route and those whose callers have disconnected
// do not count.
func (g *Gateway) observe(c *call, complete bool) {
	if c.route.Name == "" || c.callerDisconnected() {
		return
	}
	g.burnRecorder.Observe([]railobjective.Objective{g.objective(c.route)}, c.route.Name, "", complete, c.firstDelay, c.maxGap)
}
