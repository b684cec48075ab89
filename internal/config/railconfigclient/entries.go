package railconfigclient

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// Entries returns the last known entries.
func (c *Client) Entries() []railmember.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries
}

// candidates returns the entries in polling order: the one that answered last, then by increasing distance, random among equals.
func (c *Client) candidates() []railmember.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := slices.Clone(c.entries)
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	slices.SortStableFunc(list, func(a, b railmember.Member) int { return cmp.Compare(c.distance(a), c.distance(b)) })
	return list
}

func (c *Client) distance(m railmember.Member) int {
	switch {
	case m.Name == c.lastEntry.Name:
		return 0
	case m.Zone == c.Self.Zone:
		return 1
	case m.Region == c.Self.Region:
		return 2
	}
	return 3
}

func (c *Client) setLastEntry(m railmember.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastEntry = m
}

func (c *Client) setEntries(list []*railproto.EntryPlace) {
	var entries []railmember.Member
	for _, e := range list {
		entries = append(entries, railmember.Member{
			Name: e.GetName(), Role: railmember.RoleEntry, Address: e.GetAddress(), Zone: e.GetZone(), Region: c.ZoneRegions[e.GetZone()],
			Link: int(e.GetLink()),
		})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(entries) > 0 {
		c.entries = entries
	}
}
