package railrouter

import (
	"context"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// Heartbeat replies to another process's heartbeat and applies its confirmation of the current revision and what it reports of
// shared parts of requests.
func (r *Router) Heartbeat(_ context.Context, req *railproto.HeartbeatRequest) (*railproto.HeartbeatReply, error) {
	r.init()
	r.revisions.Confirm(req.GetRevision(), time.Duration(req.GetConfirmedAgeMillis())*time.Millisecond)
	if changed := req.GetChangedParts(); changed != nil {
		r.quarantine.Merge(changed)
	}
	r.era.Observe(req.GetStoreEra(), time.Duration(req.GetStoreEraAgeMillis())*time.Millisecond)
	era, eraAge := r.era.Latest()
	return &railproto.HeartbeatReply{
		Revision:           r.revisions.Number(),
		ConfirmedAgeMillis: r.revisions.Age().Milliseconds(), Leaving: r.stopping.Load(), Parts: r.quarantine.Digest(),
		StoreEra: era, StoreEraAgeMillis: eraAge.Milliseconds(),
	}, nil
}

// ExchangeRevision updates whichever side has the older revision to the other's.
func (r *Router) ExchangeRevision(_ context.Context, req *railproto.RevisionRequest) (*railproto.RevisionReply, error) {
	r.init()
	return r.revisions.Exchange(req)
}
