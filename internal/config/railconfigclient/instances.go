package railconfigclient

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// Instances returns the endpoints from a cached list that is at most maxAge old. If an older list can't be refreshed, it returns
// that one.
func (c *Client) Instances(maxAge time.Duration) []railinstance.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.listedAt) < maxAge {
		return c.agents
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	list, err := c.fetchInstances(ctx)
	if err != nil {
		c.Log.Warn("can't list agents; using the last known list", "err", err, "known", len(c.agents))
		return c.agents
	}
	c.agents, c.listedAt = list, time.Now()
	return c.agents
}

// fetchInstances requests the endpoints from the entry that answered last, and reads them from the store if that fails.
func (c *Client) fetchInstances(ctx context.Context) ([]railinstance.Instance, error) {
	if c.lastEntry.Address == "" {
		return c.Store.Instances(ctx)
	}
	reply, err := c.RequestAgents(ctx, c.lastEntry.Address, &railproto.AgentsRequest{Service: c.Self.Service})
	if err != nil || len(reply.GetAgents()) == 0 {
		return c.Store.Instances(ctx)
	}
	_, port, err := net.SplitHostPort(c.Self.Address)
	if err != nil {
		return nil, errors.Wrap(err, "parse own address")
	}
	var list []railinstance.Instance
	for _, a := range reply.GetAgents() {
		list = append(list, railinstance.Instance{
			Service: c.Self.Service, Address: net.JoinHostPort(a.GetHost(), port), Zone: a.GetZone(), Region: c.ZoneRegions[a.GetZone()],
		})
	}
	return list, nil
}
