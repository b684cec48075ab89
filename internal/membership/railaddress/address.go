package railaddress

import (
	"net/netip"

	"github.com/cockroachdb/errors"
)

// limitedBroadcast is the IPv4 address of all hosts of a network.
var limitedBroadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// Parse returns the canonical text of an IP address and port. It returns an error if it isn't one, or if no single process can be called there.
func Parse(text string) (string, error) {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return "", err
	}
	ip := parsed.Addr().Unmap()
	switch {
	case parsed.Port() == 0:
		return "", errors.Newf("address %q has port 0", text)
	case ip.IsUnspecified() || ip.IsMulticast() || ip == limitedBroadcast || ip.Zone() != "":
		return "", errors.Newf("address %q is not that of a single host", text)
	}
	return netip.AddrPortFrom(ip, parsed.Port()).String(), nil
}
