package railinstance

import "net"

// Instance describes one run of an endpoint process, from its start to its end. It is immutable.
type Instance struct {
	ID, Service, Address string
	Zone, Region         string
	// Slots is the number of requests that the endpoint processes concurrently.
	Slots int
	// Draining reports whether the endpoint is shutting down.
	Draining bool
	// ColdRemainingMillis is the remaining cold start time in milliseconds when the endpoint wrote its row.
	ColdRemainingMillis int64
	// WeightsVersion is the version of the complete weights that the endpoint holds, or 0 for none.
	WeightsVersion int64
	// StartMillis is the endpoint's start time in Unix milliseconds. A restarted endpoint keeps no state, even when it keeps its ID.
	StartMillis int64
	// RowVersion is the version of the table row that the instance was read from.
	RowVersion int64
}

// Host returns the IP address of the endpoint's VM, or an empty string if the address is malformed.
func (i Instance) Host() string {
	host, _, err := net.SplitHostPort(i.Address)
	if err != nil {
		return ""
	}
	return host
}
