package railstaleness

import (
	"math"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/config/railsite"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
)

const (
	// keyShare is the share of the revocation delay for which a configuration may accept customers' keys. The rest is for requests that were
	// accepted just before.
	keyShare = 0.8
	// configWaitShare is the long polling time for the configuration, as a share of the configuration delay.
	configWaitShare = 0.8
	// keyWaitShare and keyTimeoutShare are the largest shares of the keys' time that a poll may wait for a change, and that its response may
	// take beyond that. The rest is for one retry.
	keyWaitShare    = 0.4
	keyTimeoutShare = 0.25
	// listDelayShare is the delay between two reads of the endpoint list, as a share of the drain delay.
	listDelayShare = 0.4
)

// Limits holds the times at which a process reads the store, and the ages up to which it relies on what it has read. The configuration's age
// exceeds its limits only if the store does not respond within ConfigTimeout.
type Limits struct {
	// ConfigWait is the time for which a poll for the configuration waits for a change, and ConfigTimeout that within which its response has
	// to arrive after that.
	ConfigWait, ConfigTimeout time.Duration
	// MaxKeyAge is the age of the configuration above which customers' keys are not accepted, since one may have been revoked.
	MaxKeyAge time.Duration
	// MaxServedAge is the age of the configuration above which an entry does not serve it to agents, since others may know a newer one.
	MaxServedAge time.Duration
	// ListDelay is the mean delay between two reads of the endpoint list.
	ListDelay time.Duration
}

// New returns the limits that follow from a deployment's bounds. callTimeout is the longest timeout of a call of the store. Without a
// revocation delay, keys are accepted at any age.
func New(bounds railsite.Bounds, callTimeout time.Duration) Limits {
	l := Limits{
		ConfigWait: railtimer.Scale(configWaitShare, bounds.ConfigDelay), ConfigTimeout: callTimeout, MaxKeyAge: math.MaxInt64,
		ListDelay: railtimer.Scale(listDelayShare, bounds.DrainDelay),
	}
	if bounds.RevocationDelay > 0 {
		l.MaxKeyAge = railtimer.Scale(keyShare, bounds.RevocationDelay)
		l.ConfigWait = min(l.ConfigWait, railtimer.Scale(keyWaitShare, l.MaxKeyAge))
		l.ConfigTimeout = min(l.ConfigTimeout, railtimer.Scale(keyTimeoutShare, l.MaxKeyAge))
	}
	l.MaxServedAge = l.ConfigWait + 2*l.ConfigTimeout
	return l
}
