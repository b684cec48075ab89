package railconfigclient

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/config/railcatalog"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// maxPollWait is the longest time for which an entry holds a poll open while nothing changes.
	maxPollWait = 15 * time.Second
	// pollShare bounds that time as a share of the rollout time, so that an agent whose poll is lost still learns of a version in time.
	pollShare = 0.25
	// originBackend is the name of the origin's service in the agent's catalog; a brief does not carry its real name.
	originBackend = "origin of weights"
)

var errStale = errors.New("entry's configuration is missing or stale")

// poll requests the configuration from the entries, nearest first, until one returns a fresh one. It reports whether one did or
// ctx is done. The next poll starts with the entry that answered.
func (c *Client) poll(ctx context.Context) bool {
	for _, m := range c.candidates() {
		start := c.Now()
		reply, err := c.pollEntry(ctx, m)
		delay := max(c.Now()-start-time.Duration(reply.GetHeldMillis())*time.Millisecond, 0)
		if ctx.Err() != nil {
			return true
		}
		if err != nil {
			c.Log.Info("poll of entry failed; trying the next entry", "entry", m.Name, "err", err)
			c.setLastEntry(railmember.Member{})
			continue
		}
		c.setLastEntry(m)
		c.applyBrief(reply, delay)
		c.confirm(time.Duration(reply.GetAgeMillis())*time.Millisecond + delay)
		return true
	}
	return false
}

func (c *Client) pollEntry(ctx context.Context, m railmember.Member) (*railproto.BriefReply, error) {
	pollWait := min(maxPollWait, railtimer.Scale(pollShare, c.Config.RolloutTime))
	ctx, cancel := context.WithTimeout(ctx, pollWait+callTimeout)
	defer cancel()
	reply, err := c.RequestBrief(ctx, m.Address, &railproto.BriefRequest{Service: c.Self.Service, Known: c.knownHash, WaitMillis: pollWait.Milliseconds()})
	switch {
	case err != nil:
		return nil, err
	case reply.GetHash() == 0 || time.Duration(reply.GetAgeMillis())*time.Millisecond > c.MaxConfigAge:
		return nil, errStale
	}
	return reply, nil
}

// applyBrief puts the configuration in a brief in force unless its hash is unchanged. delay is the longest time for which the brief may
// have been on its way.
func (c *Client) applyBrief(b *railproto.BriefReply, delay time.Duration) {
	if b.GetModel() == "" || b.GetHash() == c.knownHash {
		return
	}
	c.knownHash = b.GetHash()
	wantedVersions := map[string]int64{}
	for _, v := range b.GetVersions() {
		age := time.Duration(v.GetForMillis())*time.Millisecond + delay
		c.Config.RecordWantedVersion(b.GetModel(), v.GetVersion(), age, v.GetGuessed())
		wantedVersions[b.GetModel()] = v.GetVersion()
	}
	backends := []railbackend.Backend{{Name: c.Self.Service, Engine: &railbackend.Engine{
		Model: b.GetModel(), Layers: int(b.GetLayers()), Chunks: int(b.GetChunks()), ChunkBytes: int(b.GetChunkBytes()),
	}}}
	if b.GetOrigin() != "" {
		backends = append(backends, railbackend.Backend{Name: originBackend, OriginAddress: b.GetOrigin(), Zone: b.GetOriginZone(), Link: int(b.GetOriginLink())})
	}
	c.Config.Set(railcatalog.Catalog{Version: b.GetConfiguration()}.WithBackends(backends).WithWantedVersions(wantedVersions))
	c.setEntries(b.GetEntries())
	c.OnChange()
}
