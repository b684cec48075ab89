package railconfigserver

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarrail/fulmarrail/internal/config/railactiveconfig"
	"github.com/fulmarrail/fulmarrail/internal/core/railsignal"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// maxWait limits how long an agent may wait for a change.
	maxWait = 30 * time.Second
	// ageCheckInterval is the interval at which the configuration's age is checked while an agent waits.
	ageCheckInterval = time.Second
)

// Server serves the configuration to agents; set its fields before first use.
type Server struct {
	railproto.DRPCEntryUnimplementedServer

	Config *railactiveconfig.Config
	// Age returns the time since the configuration was last confirmed to be current, and MaxAge is the one above which it is too old to
	// serve to agents.
	Age    func() time.Duration
	MaxAge time.Duration
	// Instances returns the registered endpoints, and Entries the entries, including this one.
	Instances func() []railinstance.Instance
	Entries   func() []railmember.Member

	changed railsignal.Signal
}

// NotifyChange wakes the agents that wait for a configuration change.
func (s *Server) NotifyChange() {
	s.changed.Notify()
}

// Brief returns the configuration for the agents of a service. It waits until that differs from what the caller knows by its hash,
// until the wait requested by the caller ends, or until the configuration is too old. In the latter two cases the reply holds
// only the hash, the age and the configuration's version. It returns the error of ctx once that is done.
func (s *Server) Brief(ctx context.Context, req *railproto.BriefRequest) (*railproto.BriefReply, error) {
	waitTimer := time.NewTimer(min(time.Duration(req.GetWaitMillis())*time.Millisecond, maxWait))
	defer waitTimer.Stop()
	ageTicker := time.NewTicker(ageCheckInterval)
	defer ageTicker.Stop()
	start := time.Now()
	for waited := false; ; {
		changed := s.changed.Changed()
		brief := s.newBrief(req.GetService())
		brief.HeldMillis = time.Since(start).Milliseconds()
		switch {
		case brief.GetHash() != req.GetKnown():
			return brief, nil
		case waited || s.Age() > s.MaxAge:
			return &railproto.BriefReply{
				Hash: brief.GetHash(), AgeMillis: brief.GetAgeMillis(), HeldMillis: brief.GetHeldMillis(), Configuration: brief.GetConfiguration(),
			}, nil
		}
		select {
		case <-ageTicker.C:
		case <-changed:
		case <-waitTimer.C:
			waited = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Agents returns the VMs of a service's endpoints, except those that are draining.
func (s *Server) Agents(_ context.Context, req *railproto.AgentsRequest) (*railproto.AgentsReply, error) {
	reply := &railproto.AgentsReply{}
	for _, i := range s.Instances() {
		if host := i.Host(); host != "" && i.Service == req.GetService() && !i.Draining {
			reply.Agents = append(reply.Agents, &railproto.AgentPlace{Host: host, Zone: i.Zone})
		}
	}
	return reply, nil
}

// newBrief returns the configuration for the agents of a service; its hash is 0 if no configuration is known yet.
func (s *Server) newBrief(service string) *railproto.BriefReply {
	catalog, known := s.Config.Get()
	backend, _ := catalog.Backend(service)
	reply := &railproto.BriefReply{AgeMillis: s.Age().Milliseconds(), Configuration: catalog.Version}
	if !known || backend.Engine == nil {
		return reply
	}
	origin, _ := catalog.Origin()
	reply.Model, reply.Layers = backend.Engine.Model, int32(backend.Engine.Layers)
	reply.Chunks, reply.ChunkBytes = int32(backend.Engine.Chunks), int32(backend.Engine.ChunkBytes)
	reply.Origin, reply.OriginZone, reply.OriginLink = origin.OriginAddress, origin.Zone, int64(origin.Link)
	for _, n := range s.Config.WantedVersions(backend.Engine.Model) {
		reply.Versions = append(reply.Versions, &railproto.NamedVersion{Version: n.Version, ForMillis: n.Age.Milliseconds(), Guessed: n.Guessed})
	}
	for _, m := range s.Entries() {
		reply.Entries = append(reply.Entries, &railproto.EntryPlace{Name: m.Name, Address: m.Address, Zone: m.Zone, Link: int64(m.Link)})
	}
	reply.Hash = hash(reply)
	return reply
}

// hash returns the hash of the fields that agents act upon. It omits the configuration's number and all ages, so that changes that
// are irrelevant to agents don't wake them.
func hash(b *railproto.BriefReply) uint64 {
	d := xxhash.New()
	for _, text := range []string{b.GetModel(), b.GetOrigin(), b.GetOriginZone()} {
		_, _ = d.WriteString(text + "\x00")
	}
	for _, n := range []int64{int64(b.GetLayers()), int64(b.GetChunks()), int64(b.GetChunkBytes()), b.GetOriginLink()} {
		_, _ = d.WriteString(strconv.FormatInt(n, 10) + "\x00")
	}
	for _, e := range b.GetEntries() {
		_, _ = d.WriteString(e.GetName() + "\x00" + e.GetAddress() + "\x00" + e.GetZone() + "\x00" + strconv.FormatInt(e.GetLink(), 10) + "\x00")
	}
	for _, v := range b.GetVersions() {
		_, _ = d.WriteString(strconv.FormatInt(v.GetVersion(), 10) + "\x00" + strconv.FormatBool(v.GetGuessed()) + "\x00")
	}
	return d.Sum64()
}
