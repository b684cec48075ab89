package railrouter

import (
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/report/railentryreport"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// Status returns the entry's status report for operators. Running is the number of its requests in flight.
func (r *Router) Status(running int) railentryreport.Report {
	revision, _ := r.revisions.Current()
	configError, _ := r.configError.Load().(string)
	s := railentryreport.Report{
		Name: r.Self.Name, Zone: r.Self.Zone, Revision: revision.Number, ConfirmedAgeMillis: r.revisions.Age().Milliseconds(),
		Leaving: r.stopping.Load(), Isolated: r.isolated(),
		Running: running, ConfigError: configError, Rejections: revision.Rejections(), PendingVersions: revision.Pending,
		Versions: revision.Versions, Manifests: revision.Manifests, QueuedRequests: map[string]int{},
	}
	for _, zone := range revision.Spec().Zones() {
		s = s.WithZone(zone.Name, zone.Region, zone.State)
	}
	r.watcher.VisitEndpoints(func(m railmember.Member, v *railproto.HeartbeatReply) {
		s = s.WithEndpoint(m.Name, m.Zone, m.Service, v.GetRevision(), v.GetServing(), v.GetLeaving(),
			int(v.GetLoad().GetRunning()), int(v.GetLoad().GetLimit()))
	})
	for _, service := range revision.Spec().Services() {
		s.QueuedRequests[service.Name] = r.dispatcher(service.Name).Waiting()
	}
	return r.burnRecorder.AddTo(s, revision.Spec().Objectives())
}
