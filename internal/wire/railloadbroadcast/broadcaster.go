package railloadbroadcast

import (
	"context"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// batchDelay is the delay after a digest that reports an increase, so that a burst of requests needs only a few digests.
	batchDelay = 2 * time.Millisecond
	// decreaseInterval is the interval at which decreases are reported. They are less urgent than increases.
	decreaseInterval = 20 * time.Millisecond
	// fullDigestInterval is the interval of digests with all loads, which are needed because datagrams may be lost.
	fullDigestInterval = 500 * time.Millisecond
)

// Source provides this entry's load by endpoint, with a sequence number that increases with each change.
type Source interface {
	// AllLoads returns the load at all endpoints where requests are in flight, and the sequence number.
	AllLoads() ([]*railproto.EndpointLoad, uint64)
	// ChangedLoads returns the load at the endpoints where it has changed since the last call of AllLoads or ChangedLoads, and the
	// sequence number.
	ChangedLoads() ([]*railproto.EndpointLoad, uint64)
	// AllLimits returns the limits of endpoints of which this entry has the latest response.
	AllLimits() []*railproto.EndpointLimit
	// ChangedLimits returns the limits that have changed in responses to this entry since the last call of AllLimits or ChangedLimits.
	ChangedLimits() []*railproto.EndpointLimit
	// LoadIncreased returns a channel that receives a value after requests were sent or a limit has changed.
	LoadIncreased() <-chan struct{}
}

// Broadcaster sends digests of this entry's load to the other entries. Its fields must be set before Run.
type Broadcaster struct {
	// Name is this entry's name. Incarnation is a number that it chooses at random when it starts.
	Name        string
	Incarnation uint32
	Source      Source
	// Send sends a digest to the other entries. Digests may be lost.
	Send  func(digest *railproto.LoadDigest)
	Timer *railtimer.Service
}

// Run sends digests until ctx is done: increases and changes of limits at once, decreases periodically, and a full digest every half second.
func (b *Broadcaster) Run(ctx context.Context) {
	decreaseTicks, stopDecreaseTicks := b.Timer.Subscribe(decreaseInterval)
	defer stopDecreaseTicks()
	fullTicks, stopFullTicks := b.Timer.Subscribe(fullDigestInterval)
	defer stopFullTicks()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-fullTicks:
			b.sendAll()
		case <-decreaseTicks:
			b.sendChanges()
		case <-b.Source.LoadIncreased():
			b.sendChanges()
			railtimer.Sleep(ctx, batchDelay)
		}
	}
}

func (b *Broadcaster) sendAll() {
	loads, sequence := b.Source.AllLoads()
	b.send(&railproto.LoadDigest{Sequence: sequence, Loads: loads, Limits: b.Source.AllLimits()})
}

func (b *Broadcaster) sendChanges() {
	loads, sequence := b.Source.ChangedLoads()
	limits := b.Source.ChangedLimits()
	if len(loads) > 0 || len(limits) > 0 {
		b.send(&railproto.LoadDigest{Sequence: sequence, Loads: loads, Limits: limits, Partial: true})
	}
}

func (b *Broadcaster) send(digest *railproto.LoadDigest) {
	digest.Entry, digest.Incarnation = b.Name, b.Incarnation
	b.Send(digest)
}
