package railinstance

import "net"

// Instance is one start of an endpoint; it is immutable.
type Instance struct {
	ID, Service, Address string
	Zone, Region         string
	// Slots is the number of requests that the endpoint works on at once.
	Slots int
	// Draining says that the endpoint is about to leave.
	Draining bool
	// ColdMillis is the time for which the endpoint stayed cold when it wrote its entry.
	ColdRemainingMillis int64
	// Version is the version of the complete weights that the endpoint holds, or 0 for none.
	WeightsVersion int64
	// Born is the time of the endpoint's start in milliseconds of the Unix clock; one that starts again knows nothing of before,
	// also where it has the id that it had.
	StartMillis int64
	// Revision is the version of the row that the entry was read from.
	RowVersion int64
}

// Host returns the IP address of the endpoint's VM, or an empty string for a malformed address.
func (i Instance) Host() string {
	host, _, err := net.SplitHostPort(i.Address)
	if err != nil {
		return ""
	}
	return host
}
