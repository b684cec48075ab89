package railpeer

import (
	"net"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
)

const (
	// mostRelayed bounds the bytes of one version that entries keep in memory to pass them on; larger weights go among the agents
	// only.
	maxRelayedBytes = 16 << 20
	// leastRelayLink is the rate of a relay's link over that of the origin's: it gives each chunk to a few agents and a further
	// region, beside its callers' answers.
	minRelayLinkRatio = 6
)

// Relayable reports whether entries pass on the weights of an engine's model.
func Relayable(e *railbackend.Engine) bool {
	size := e.Chunks * e.ChunkBytes
	return size > 0 && size <= maxRelayedBytes
}

// EligibleRelays returns the entries whose links are wide enough to pass weights on; like agents they go by the IP addresses of their VMs.
func EligibleRelays(entries []railmember.Member, origin railbackend.Backend) []railmember.Member {
	var list []railmember.Member
	for _, m := range entries {
		host, _, err := net.SplitHostPort(m.Address)
		if err != nil || origin.Link <= 0 || m.Link < minRelayLinkRatio*origin.Link {
			continue // An entry's address is checked where it is read.
		}
		m.Name = host
		list = append(list, m)
	}
	return list
}

// Agents returns the agents beside the endpoints of some services that stay, each once: after a start the list may show an engine's
// former entry beside its new one. All listen at the same port.
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
