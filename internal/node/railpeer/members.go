package railpeer

import (
	"net"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
)

const (
	// maxRelayedBytes is the maximum size of a version that entries relay, since they keep it in memory. Larger weights are
	// distributed among the agents only.
	maxRelayedBytes = 16 << 20
	// minRelayLinkRatio is the minimum ratio of a relay's link capacity to the origin's. A relay uploads each chunk to a few agents
	// and to another region, in addition to the responses to its callers.
	minRelayLinkRatio = 6
)

// Relayable reports whether entries relay the weights of an engine's model.
func Relayable(e *railbackend.Engine) bool {
	size := e.Chunks * e.ChunkBytes
	return size > 0 && size <= maxRelayedBytes
}

// EligibleRelays returns the entries whose links are fast enough to relay weights from an origin. Like agents, they are named by the IP
// addresses of their VMs.
func EligibleRelays(entries []railmember.Member, origin railbackend.Backend) []railmember.Member {
	var list []railmember.Member
	for _, m := range entries {
		host, _, err := net.SplitHostPort(m.Address)
		if err != nil || origin.Link <= 0 || m.Link < minRelayLinkRatio*origin.Link {
			continue // Invalid addresses are reported where entries are read.
		}
		m.Name = host
		list = append(list, m)
	}
	return list
}

// Agents returns the agents of all endpoints that are not draining and whose service matches, each one once: after a restart, the list
// may hold an engine's old instance as well as its new one. All agents listen on the same port.
func Agents(endpoints []railinstance.Instance, matchService func(string) bool, port string) []railmember.Member {
	var list []railmember.Member
	seen := map[string]bool{}
	for _, i := range endpoints {
		host := i.Host()
		if !matchService(i.Service) || i.Draining || host == "" || seen[host] {
			continue
		}
		seen[host] = true
		list = append(list, railmember.Member{
			Name: host, Role: railmember.RoleAgent, Address: net.JoinHostPort(host, port), Zone: i.Zone, Region: i.Region, Service: i.Service,
		})
	}
	return list
}
