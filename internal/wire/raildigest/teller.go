package raildigest

import (
	"context"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// apart is the least time between two tellings, so that a burst is told in a few.
	apart = 2 * time.Millisecond
	// lessUrgent is the time within which it is told that less is in flight.
	lessUrgent = 20 * time.Millisecond
	// wholeAgain is the time after which all is told again, since datagrams may be lost.
	wholeAgain = 500 * time.Millisecond
)

// Source is what is in flight here, with a number that grows with each change.
type Source interface {
	// Whole returns what is in flight at all endpoints.
	AllLoads() ([]*railproto.EndpointLoad, uint64)
	// Changes returns what is in flight at the endpoints at which that has changed since the last call.
	ChangedLoads() ([]*railproto.EndpointLoad, uint64)
	// News returns a channel that tells of requests that were sent.
	LoadIncreased() <-chan struct{}
}

// Broadcaster reports the requests in flight from this entry to the other entries. Its fields must be set before Run.
type Broadcaster struct {
	// Name is this entry's name, and Incarnation a number that it has drawn at its start.
	Name        string
	Incarnation uint32
	Source      Source
	// Send sends a digest to the other entries; it may be lost.
	Send  func(digest *railproto.LoadDigest)
	Timer *railtimer.Service
}

// Run tells of changes until ctx is done.
func (t *Broadcaster) Run(ctx context.Context) {
	late, stopLate := t.Timer.Subscribe(lessUrgent)
	defer stopLate()
	whole, stopWhole := t.Timer.Subscribe(wholeAgain)
	defer stopWhole()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-whole:
			loads, sequence := t.Source.AllLoads()
			t.send(loads, sequence, false)
		case <-late:
			t.sendChanges()
		case <-t.Source.LoadIncreased():
			t.sendChanges()
			railtimer.Sleep(ctx, apart)
		}
	}
}

func (t *Broadcaster) sendChanges() {
	if loads, sequence := t.Source.ChangedLoads(); len(loads) > 0 {
		t.send(loads, sequence, true)
	}
}

func (t *Broadcaster) send(loads []*railproto.EndpointLoad, sequence uint64, partial bool) {
	t.Send(&railproto.LoadDigest{Entry: t.Name, Incarnation: t.Incarnation, Sequence: sequence, Loads: loads, Partial: partial})
}
